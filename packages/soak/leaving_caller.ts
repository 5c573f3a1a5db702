import { connect } from "node:net";
import { clientHeaders } from "@kingcupglade/platform";
import { delay } from "./fault_injector.ts";
import type { CalledGateway } from "./load_generator.ts";
import type { InvariantMonitor } from "./invariant_monitor.ts";
import { longPath } from "./soak_target.ts";

const deadlineMilliseconds = 5000;
const maximumStayMilliseconds = 700;
/** Share of the callers that send a second request before the first response. */
const pipeliningShare = 0.3;
const resetShare = 0.4;
const closeMilliseconds = 20;

/**
 * Sends one request or two that run long, on one connection, and ends the
 * connection before the responses, in order or by a reset.
 */
export async function callAndLeave(options: {
  readonly id: string;
  readonly gateway: CalledGateway;
  readonly monitor: InvariantMonitor;
  readonly random: () => number;
}): Promise<void> {
  const { id, gateway, monitor, random } = options;
  const { departures } = monitor;
  const ids = random() < pipeliningShare ? [id, `${id}-second`] : [id];
  // Most leave soon.
  const stay = random() ** 2 * maximumStayMilliseconds;
  const isReset = random() < resetShare;
  for (const each of ids) {
    monitor.recordProbe(each, gateway.address);
    departures.recordRequest(each, gateway.address);
  }
  const [host, port] = gateway.address.split(":");
  const socket = connect(Number(port), host);
  socket.on("error", () => {});
  socket.resume();
  socket.write(ids.map(encodeRequest).join(""));
  await delay(stay);
  for (const each of ids) departures.recordDeparture(each);
  if (isReset) return void socket.resetAndDestroy();
  socket.end();
  await delay(closeMilliseconds);
  socket.destroy();
}

function encodeRequest(id: string): string {
  const headers = clientHeaders({
    id,
    host: "jigs.example",
    deadlineMilliseconds,
    position: 0,
  });
  const lines = Object.entries(headers).map(([name, value]) =>
    `${name}: ${value}\r\n`
  );
  return `GET ${longPath} HTTP/1.1\r\n${lines.join("")}\r\n`;
}

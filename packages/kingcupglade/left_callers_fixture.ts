import { execFileSync } from "node:child_process";
import { connect } from "node:net";
import type { Socket } from "node:net";

/** How a caller ends its connection. */
export const CallerEnd = {
  /** It closes the connection in order. */
  order: "order",
  reset: "reset",
} as const;
export type CallerEnd = typeof CallerEnd[keyof typeof CallerEnd];

/** A request without a body, as its caller writes it. */
export interface RawRequest {
  readonly id: string;
  readonly method: string;
  readonly path: string;
}

/** Returns the bytes of a request. */
export function encodeRequest(
  { id, method, path }: RawRequest,
  headers: readonly string[] = [],
): string {
  return [
    `${method} ${path} HTTP/1.1`,
    "host: jigs.example",
    `x-request-id: ${id}`,
    "x-deadline-ms: 5000",
    ...headers,
    "",
    "",
  ].join("\r\n");
}

/**
 * Sends requests, each on a connection of its own, and ends the connections,
 * while the event loop of this process does not run: a VM of this process reads
 * the requests and the ends of their connections together.
 *
 * @param options.address where the gateway listens, as IP:PORT.
 */
export function sendAndLeave(options: {
  readonly address: string;
  readonly requests: readonly RawRequest[];
  readonly end: CallerEnd;
}): void {
  const { address, requests, end } = options;
  execFileSync(process.execPath, [
    "--eval",
    callerScript,
    address,
    end,
    JSON.stringify(requests.map((each) => encodeRequest(each))),
  ]);
}

// The process exits once all connections have ended.
const callerScript = `
const { connect } = require("node:net");
const [, address, end, requests] = process.argv;
const [host, port] = address.split(":");
for (const bytes of JSON.parse(requests)) {
  const socket = connect({ host, port }, () => {
    if (end === "order") socket.end(bytes, () => socket.destroy());
    else socket.write(bytes, () => socket.resetAndDestroy());
  });
}
`;

/** Opens a connection that is never read. */
export function openConnection(address: string): Socket {
  const [host, port] = address.split(":");
  const socket = connect(Number(port), host).pause();
  socket.on("error", () => {});
  return socket;
}

import { once } from "node:events";
import { createServer } from "node:http";
import { connect } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { RequestKind } from "@kingcupglade/items";
import { MonotonicClock } from "@kingcupglade/tasks";
import { createMetrics } from "@kingcupglade/telemetry";
import { HttpListener } from "@kingcupglade/transport";
import { afterEach, describe, expect, it, vi } from "vitest";
import { createIdleHandler } from "../requests/request_handler_fixture.ts";
import { BodyReceiver } from "./body_receiver.ts";
import { GatewayListeners } from "./gateway_listeners.ts";
import { StopSchedule } from "./stop_schedule.ts";

const timeoutMilliseconds = 400;
const route = {
  name: "order",
  requests: RequestKind.once,
  maximumTargets: 2,
  homeRegions: [],
  objectiveMilliseconds: 300,
  timeoutMilliseconds,
};

describe("a body that arrives slowly", () => {
  const ends: (() => void)[] = [];

  afterEach(() => {
    vi.restoreAllMocks();
    for (const end of ends.splice(0)) end();
  });

  async function startHandler(
    routeMilliseconds = timeoutMilliseconds,
  ): Promise<number> {
    const handler = createIdleHandler({
      clock: new MonotonicClock(),
      table: () => ({
        hasConfiguration: true,
        matchRoute: () => ({
          ...route,
          timeoutMilliseconds: routeMilliseconds,
        }),
        service: () => ({}),
      }),
    });
    const server = createServer((request, response) =>
      handler.handle(request, response)
    ).listen(0, "127.0.0.1");
    await once(server, "listening");
    ends.push(() => server.close(), () => server.closeAllConnections());
    return (server.address() as AddressInfo).port;
  }

  function startRequest(port: number): { socket: Socket; received: string } {
    const socket = connect(port, "127.0.0.1");
    const caller = { socket, received: "" };
    socket.on("data", (chunk) => caller.received += chunk);
    socket.on("error", () => {});
    socket.write("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\n");
    ends.push(() => socket.destroy());
    return caller;
  }

  // Guards against requests that outlast their route while their bodies arrive.
  it("is refused at the deadline of its request, as not run", async () => {
    const caller = startRequest(await startHandler());
    await pause(timeoutMilliseconds / 2);
    caller.socket.write("12345");
    expect(caller.received).toBe("");
    await expect.poll(() => caller.received, {
      timeout: timeoutMilliseconds / 2 + 500,
    }).toMatch(/^HTTP\/1\.1 408 .*did not arrive in time/s);
    caller.socket.write("67890");
  });

  it("is received within the deadline, and its timer forgotten", async () => {
    const caller = startRequest(await startHandler());
    await pause(timeoutMilliseconds / 2);
    caller.socket.write("1234567890");
    await expect.poll(() => caller.received).toMatch(/^HTTP\/1\.1 503 /);
    await pause(timeoutMilliseconds);
    expect(caller.received).not.toContain("408");
  });

  // Guards against a fixed deadline in place of the one that the operator sets.
  it("has the time of its route if its caller states no deadline", async () => {
    const receive = vi.spyOn(BodyReceiver.prototype, "receive");
    const caller = startRequest(await startHandler(110_000));
    await expect.poll(() => receive.mock.calls.length).toBe(1);
    const [, { leftMilliseconds }] = receive.mock.calls[0]!;
    expect(leftMilliseconds).toBeGreaterThan(109_000);
    caller.socket.destroy();
  });

  // Guards against long bodies that are broken off after a fixed time, whatever
  // the deadline of their route.
  it("is not bounded by a time-out of the listeners", async () => {
    const open = vi.spyOn(HttpListener, "open").mockResolvedValue({} as never);
    await GatewayListeners.open({
      callersAddress: "127.0.0.1:1",
      readinessAddress: "127.0.0.1:2",
      peerAddress: "127.0.0.1:3",
      graceMilliseconds: 6000,
      handleCaller: () => {},
      handleRelayed: () => {},
      isReady: () => true,
      stopSchedule: new StopSchedule(6000),
      clock: new MonotonicClock(),
      logger: { debug() {}, info() {}, warn() {}, error() {} },
      metrics: createMetrics(),
      wire: {} as never,
    });
    const timeouts = new Map(
      open.mock.calls.map(([options]) => [
        options.name,
        options.requestTimeoutMilliseconds,
      ]),
    );
    expect([timeouts.get("callers"), timeouts.get("peers")]).toEqual([0, 0]);
  });
});

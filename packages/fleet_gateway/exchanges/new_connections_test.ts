import { MonotonicClock } from "@kingcupglade/tasks";
import { buildConnector } from "undici";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { Exchange } from "./exchange.ts";
import { RawServer } from "../requests/forwarding_fixture.ts";
import { TargetConnections } from "../targets/target_connections.ts";
import type { Connector } from "../targets/address_pool.ts";

/** Microtasks in which a request is sent on a connection that has opened. */
const sendingTurns = 40;

describe("a request whose connection to a target is being opened", () => {
  const connect = buildConnector({});
  let server: RawServer;
  let connections: TargetConnections;
  let onOpened: (socket: { destroy(): unknown }) => void;

  beforeEach(async () => {
    server = new RawServer();
    await server.start();
    const connector: Connector = (options, callback) =>
      connect(options, (...result: Parameters<typeof callback>) => {
        callback(...result);
        onOpened(result[1]!);
      });
    connections = new TargetConnections({
      clock: new MonotonicClock(),
      connector,
    });
  });

  afterEach(() => {
    connections.close();
    server.stop();
  });

  function send(): Exchange {
    const { address } = server;
    return new Exchange({
      connection: connections.acquire(address, { mustBeFresh: true }),
      wire: {} as never,
      stream: {} as never,
      request: {
        method: "GET",
        path: "/",
        headers: [],
        body: null,
        requestId: "r1",
        timeoutMilliseconds: 1000,
      },
    });
  }

  // Guards against requests that are sent in the turn in which the end of their
  // caller's connection is read, but before it.
  it("is not sent if it is abandoned in the turn in which it opens", async () => {
    onOpened = async () => {
      for (let turn = 0; turn < sendingTurns; turn += 1) await null;
      exchange.abandon();
    };
    const exchange = send();
    expect(await exchange.result).toMatchObject({ kind: "notSent" });
    expect(server.receivedCount).toBe(0);
  });

  it("is not sent if the target closes the connection meanwhile", async () => {
    onOpened = (socket) => void socket.destroy();
    expect(await send().result).toMatchObject({
      kind: "notSent",
      reason: "the target closed the connection at once",
    });
  });
});

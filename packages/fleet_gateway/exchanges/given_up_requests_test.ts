import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { RequestKind } from "@kingcupglade/items";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import {
  answerFor,
  ForwardingFixture,
} from "../requests/forwarding_fixture.ts";
import type { Received } from "../requests/forwarding_fixture.ts";
import { RequestForwarder } from "../requests/request_forwarder.ts";

/** More than the system receives for a process that does not read. */
const bodyBytes = 2 * 1024 * 1024;
const deadlineMilliseconds = 300;

describe("a request that is given up", () => {
  const sockets: Socket[] = [];
  let server: Server;
  let fixture: ForwardingFixture;

  beforeEach(async () => {
    server = createServer({ pauseOnConnect: true }, (socket) => {
      socket.on("error", () => {});
      sockets.push(socket);
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    fixture = new ForwardingFixture(
      [{ address: `127.0.0.1:${port}` } as never],
    );
  });

  afterEach(() => {
    fixture.connections.close();
    for (const socket of sockets.splice(0)) socket.destroy();
    server.close();
  });

  function forward(): Promise<Received> {
    const buffer = Buffer.alloc(bodyBytes, "a");
    const routed = fixture.routed({
      requestId: "r1",
      requests: RequestKind.once,
      deadlineMilliseconds,
    });
    const body = { buffer, canBeSent: true, open: () => buffer };
    return new Promise((resolve) =>
      new RequestForwarder({
        context: fixture.context() as never,
        routed: { ...routed, body } as never,
        answer: answerFor(resolve) as never,
        handOver: () => {},
      }).start()
    );
  }

  // Failure: a request reached its target after its caller had got a 504, as the
  // system went on to send what was held up on the way.
  it("does not arrive once the target reads again", async () => {
    expect((await forward()).status).toBe(504);
    expect(sockets.length).toBe(1);
    const [socket] = sockets as [Socket];
    let receivedBytes = 0;
    socket.on("data", (bytes) => (receivedBytes += bytes.length));
    const closed = once(socket, "close");
    socket.resume();
    await Promise.race([closed, pause(2000)]);
    expect(socket.destroyed).toBe(true);
    expect(receivedBytes).toBeLessThan(bodyBytes);
  });
});

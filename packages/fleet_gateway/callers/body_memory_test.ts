import { once } from "node:events";
import { createServer, request as send } from "node:http";
import type { Server } from "node:http";
import { connect } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { text } from "node:stream/consumers";
import { RequestKind } from "@kingcupglade/items";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { createIdleHandler } from "../requests/request_handler_fixture.ts";

const callers = 700;
/** Bytes that each caller sends of its body before it stalls. */
const sentBytes = 100 * 1024;
/** What the bodies of these callers may use, with some room for the parser. */
const maximumBytes = 48 * 1024 * 1024 + callers * 16 * 1024;
const route = {
  name: "lookup",
  requests: RequestKind.once,
  maximumTargets: 2,
  homeRegions: [],
  objectiveMilliseconds: 500,
  timeoutMilliseconds: 5000,
};

describe("a gateway whose callers stall in their bodies", () => {
  let server: Server;
  let sockets: Socket[];

  beforeEach(async () => {
    sockets = [];
    const handler = createIdleHandler({
      table: () => ({
        hasConfiguration: true,
        matchRoute: () => route,
        service: () => ({}),
      }),
    });
    server = createServer((request, response) =>
      handler.handle(request, response)
    );
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
  });

  afterEach(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
    server.closeAllConnections();
  });

  const port = () => (server.address() as AddressInfo).port;

  function stall(): { answer: string } {
    const caller = { answer: "" };
    const socket = connect(port(), "127.0.0.1");
    socket.on("data", (chunk) => (caller.answer += chunk));
    socket.on("error", () => {});
    socket.write(
      `POST / HTTP/1.1\r\nhost: a\r\ncontent-length: ${sentBytes + 1}\r\n\r\n`,
    );
    socket.write(Buffer.alloc(sentBytes));
    sockets.push(socket);
    return caller;
  }

  async function post(bytes: number): Promise<string> {
    const request = send({ port: port(), host: "127.0.0.1", method: "POST" });
    request.end(Buffer.alloc(bytes));
    const [response] = await once(request, "response");
    return JSON.parse(await text(response)).reason;
  }

  // Guards against a gateway that is killed as the bodies of its callers exceed
  // the memory of its VM.
  it("keeps their bodies within a bound and serves small ones", async () => {
    const stalled = Array.from({ length: callers }, stall);
    const refused = () => stalled.filter(({ answer }) => answer !== "");
    const kept = Math.ceil(maximumBytes / sentBytes);
    await expect.poll(() => refused().length, { timeout: 20_000 })
      .toBeGreaterThanOrEqual(callers - kept);
    for (const { answer } of refused()) {
      expect(answer).toMatch(/^HTTP\/1\.1 503 .*the memory for bodies/s);
    }
    expect(await post(16_000)).toBe("no target");
    expect(await post(100_000)).toBe("the memory for bodies is used up");
    for (const socket of sockets) socket.destroy();
    await expect.poll(() => post(100_000), { timeout: 20_000 })
      .toBe("no target");
  }, 60_000);
});

import { once } from "node:events";
import { connect, createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { RequestKind } from "@kingcupglade/items";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { RelayForwarder } from "../relay/relay_forwarder.ts";
import {
  answerFor,
  ForwardingFixture,
  responseText,
} from "../requests/forwarding_fixture.ts";
import type { Received } from "../requests/forwarding_fixture.ts";
import { RequestForwarder } from "../requests/request_forwarder.ts";
import { ResponsePath } from "./response_path_fixture.ts";
import { hasBeenReset } from "./socket_end.ts";

/** More than the system receives for a process that does not read. */
const bodyBytes = 2 * 1024 * 1024;
const deadlineMilliseconds = 300;

/** What a receiver sees of a connection until it ends, or for two seconds. */
async function readToEnd(
  socket: Socket,
): Promise<{ readonly bytes: number; readonly wasReset: boolean }> {
  let bytes = 0;
  let wasReset = false;
  socket.on("data", (chunk) => (bytes += chunk.length));
  socket.once("error", () => (wasReset = true));
  socket.once("end", () => (wasReset ||= hasBeenReset(socket)));
  const closed = new Promise((resolve) => socket.once("close", resolve));
  socket.resume();
  await Promise.race([closed, pause(2000)]);
  expect(socket.destroyed).toBe(true);
  return { bytes, wasReset };
}

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
    fixture = new ForwardingFixture([{ address: address() } as never]);
  });

  afterEach(() => {
    fixture.connections.close();
    for (const socket of sockets.splice(0)) socket.destroy();
    server.close();
  });

  const address = () => `127.0.0.1:${(server.address() as AddressInfo).port}`;

  function routed(bytes: number): Record<string, unknown> {
    const buffer = Buffer.alloc(bytes, "a");
    const routed = fixture.routed({
      requestId: "r1",
      requests: RequestKind.once,
      deadlineMilliseconds,
    });
    return {
      ...routed,
      body: { buffer, canBeSent: true, open: () => buffer },
    };
  }

  function forward(bytes: number): Promise<Received> {
    return new Promise((resolve) =>
      new RequestForwarder({
        context: fixture.context() as never,
        routed: routed(bytes) as never,
        answer: answerFor(resolve) as never,
        handOver: () => {},
      }).start()
    );
  }

  /** Sends a request to another gateway, which is at the target's address. */
  function relay(bytes: number): Promise<Received> {
    return new Promise((resolve) =>
      new RelayForwarder({
        context: {
          ...fixture.context(),
          name: "gateway-1",
          secret: "unguarded",
          table: () => ({ routeVersion: () => 1, target: () => undefined }),
          relayConnections: fixture.connections,
          relays: {
            next: ({ excluded }: { readonly excluded: ReadonlySet<string> }) =>
              excluded.size === 0
                ? { name: "gateway-2", address: address() }
                : undefined,
            begin: () => {},
            end: () => {},
          },
        } as never,
        routed: routed(bytes) as never,
        answer: answerFor(resolve) as never,
        progress: { arrived: [], mayHaveRun: false },
      }).start()
    );
  }

  // Failure: a request reached its target after its caller had got a 504, as the
  // system went on to send what was held up on the way.
  it("does not arrive once the target reads again", async () => {
    expect((await forward(bodyBytes)).status).toBe(504);
    expect(sockets.length).toBe(1);
    const { bytes } = await readToEnd(sockets[0]!);
    expect(bytes).toBeLessThan(bodyBytes);
  });

  // Failure: a gateway that was frozen received a relayed request after its caller
  // had got a 504, and sent it to a target.
  it("does not arrive once the other gateway reads again", async () => {
    expect((await relay(bodyBytes)).status).toBe(504);
    expect(sockets.length).toBe(1);
    const { bytes } = await readToEnd(sockets[0]!);
    expect(bytes).toBeLessThan(bodyBytes);
  });

  // Failure: a target could not tell a request that had arrived as a whole, and was
  // given up, from one of a caller that closes its side and waits.
  it.each([["target", forward], ["other gateway", relay]])(
    "is shown by a reset if it has arrived as a whole (%s)",
    async (_, send) => {
      expect((await send(1000)).status).toBe(504);
      expect(sockets.length).toBe(1);
      const { wasReset } = await readToEnd(sockets[0]!);
      expect(wasReset).toBe(true);
    },
  );

  // Failure: a target that had served its requests got resets.
  it("is not one that was answered, whose connection ends in order", async () => {
    server.once("connection", (socket: Socket) => {
      socket.once(
        "data",
        () => socket.write(responseText(200, "request: r1\r\n", "done")),
      );
      socket.resume();
    });
    const received = await forward(1000);
    expect(received).toEqual({ status: 200, body: "done" });
    fixture.connections.close();
    expect((await readToEnd(sockets[0]!)).wasReset).toBe(false);
  });
});

describe("a request whose caller leaves", () => {
  const streamedBytes = 1_000_000;
  let path: ResponsePath;

  afterEach(() => path.stop());

  // Failure: a request that had left the gateways arrived at a target that read it
  // after its caller had gone.
  it.each([["one gateway", false], ["two gateways", true]])(
    "does not arrive once the target reads again (%s)",
    async (_, isRelayed) => {
      path = new ResponsePath({ isRelayed });
      await path.start();
      const accepted = new Promise<Socket>((resolve) => {
        path.target.respond = (socket) => {
          socket.pause();
          resolve(socket);
        };
      });
      const caller = connect(path.callersPort, "127.0.0.1");
      caller.write(
        `POST /r1 HTTP/1.1\r\nhost: h\r\ncontent-length: ${streamedBytes}\r\n\r\n`,
      );
      caller.write(Buffer.alloc(streamedBytes, "a"));
      const socket = await accepted;
      const receivedBytes = socket.bytesRead;
      await pause(200);
      caller.destroy();
      await pause(200);
      path.target.respond = () => {};
      const { bytes } = await readToEnd(socket);
      expect(receivedBytes + bytes).toBeLessThan(streamedBytes);
    },
  );
});

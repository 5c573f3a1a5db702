import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { setImmediate as nextTurn } from "node:timers/promises";
import { buildConnector, Client } from "undici";
import type { Dispatcher } from "undici";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { resetIfUnanswered } from "./unanswered_reset.ts";

/** Records what a client reports of a request, which it aborts at an event. */
class RecordingHandler implements Dispatcher.DispatchHandler {
  readonly events: string[] = [];
  readonly #abortAt: string | undefined;

  constructor(abortAt?: string) {
    this.#abortAt = abortAt;
  }

  onRequestStart(): void {}

  onResponseStart(controller: Dispatcher.DispatchController): void {
    this.#record("head", controller);
  }

  onResponseData(controller: Dispatcher.DispatchController): void {
    this.#record("data", controller);
  }

  onResponseEnd(controller: Dispatcher.DispatchController): void {
    this.#record("end", controller);
  }

  onResponseError(_: Dispatcher.DispatchController, failure: Error): void {
    this.events.push(failure.message);
  }

  #record(event: string, controller: Dispatcher.DispatchController): void {
    this.events.push(event);
    if (event === this.#abortAt) controller.abort(new Error("given up"));
  }
}

describe("a client's connection", () => {
  let server: Server;
  let client: Client;
  let socket: Socket;
  let ends: string[];

  beforeEach(async () => {
    const seen: string[] = [];
    ends = seen;
    server = createServer();
    // The client opens another one once the first was reset.
    server.once("connection", (accepted: Socket) => {
      socket = accepted;
      socket.on("end", () => seen.push("end"));
      socket.on(
        "error",
        (failure: NodeJS.ErrnoException) => seen.push(failure.code!),
      );
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const connect = buildConnector({});
    const { port } = server.address() as AddressInfo;
    client = new Client(`http://127.0.0.1:${port}`, {
      connect: (options, callback) =>
        connect(options, (...result) => {
          const [, opened] = result;
          if (opened) resetIfUnanswered(opened, client);
          callback(...result);
        }),
    });
  });

  afterEach(async () => {
    await client.destroy();
    server.close();
  });

  /** Sends a request; resolves once it has arrived. */
  async function send(handler: RecordingHandler): Promise<void> {
    const accepted = once(server, "connection");
    client.dispatch({ method: "POST", path: "/", body: "some" }, handler);
    await accepted;
    await once(socket, "data");
  }

  /** Resolves with how the connection has ended for the server. */
  async function endSeen(): Promise<string[]> {
    if (!socket.closed) await once(socket, "close").catch(() => {});
    return ends;
  }

  // Failure: a request that was given up could not be told from one whose caller
  // waits for the response.
  it("is reset if it is closed before the response", async () => {
    await send(new RecordingHandler());
    const ended = endSeen();
    await client.destroy();
    expect(await ended).toEqual(["ECONNRESET"]);
  });

  // Failure: a failed assertion of undici, which takes a close without a failure
  // for the end of a response that has no length.
  it.each(["head", "data"])(
    "is reset if its request is aborted at the %s of an open response",
    async (event) => {
      const handler = new RecordingHandler(event);
      await send(handler);
      socket.write("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nsome");
      expect(await endSeen()).toEqual(["ECONNRESET"]);
      await nextTurn();
      expect(handler.events.at(-1)).toBe("given up");
    },
  );

  // Failure: resets of connections that only had been idle.
  it("is closed in order if its request was answered", async () => {
    const handler = new RecordingHandler();
    await send(handler);
    socket.write("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nsome");
    await expect.poll(() => handler.events).toEqual(["head", "data", "end"]);
    const ended = endSeen();
    await client.destroy();
    expect(await ended).toEqual(["end"]);
  });

  // Failure: a target that closes after its response got a reset in place of it.
  it("is closed in order behind a response that closes it", async () => {
    const handler = new RecordingHandler();
    await send(handler);
    socket.write(
      "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 4\r\n\r\nsome",
    );
    expect(await endSeen()).toEqual(["end"]);
    expect(handler.events).toEqual(["head", "data", "end"]);
  });
});

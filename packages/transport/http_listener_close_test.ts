import { connect } from "node:net";
import type { Socket } from "node:net";
import type { RequestListener, ServerResponse } from "node:http";
import { setTimeout as pause } from "node:timers/promises";
import { connect as connectTls } from "node:tls";
import { loopbackPrefix } from "@kingcupglade/fakes";
import selfsigned from "selfsigned";
import { afterEach, describe, expect, it } from "vitest";
import { HttpListener } from "./http_listener.ts";
import type { HttpListenerOptions } from "./http_listener.ts";
import { PipelineLimits } from "./pipeline_limits.ts";

const host = `${loopbackPrefix()}.1`;
const port = 7392;
const requestText = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";

/** A connection of a caller that records what it receives. */
class Caller {
  received = "";
  /** How the connection ended: "end", or the code of an error. */
  readonly ended: Promise<string>;
  readonly #socket: Socket;

  constructor(socket: Socket = connect(port, host)) {
    this.#socket = socket;
    socket.on("data", (chunk) => (this.received += chunk));
    this.ended = new Promise((resolve) => {
      socket.once("end", () => resolve("end"));
      socket.once(
        "error",
        (failure: NodeJS.ErrnoException) =>
          resolve(failure.code ?? failure.message),
      );
      socket.once("close", () => resolve("close"));
    });
  }

  send(text = requestText): void {
    this.#socket.write(text);
  }

  async untilReceived(text: string): Promise<void> {
    while (!this.received.includes(text)) await pause(5);
  }

  destroy(): void {
    this.#socket.destroy();
  }
}

describe("closing a listener", () => {
  let listener: HttpListener | undefined;
  let callers: Caller[] = [];
  let handled = 0;

  afterEach(() => {
    for (const caller of callers) caller.destroy();
    callers = [];
    handled = 0;
    listener?.destroy();
    listener = undefined;
  });

  const answer: RequestListener = (_request, response) => {
    handled += 1;
    response.end("whole");
  };

  async function open(
    options: Partial<HttpListenerOptions> = {},
  ): Promise<HttpListener> {
    listener = await HttpListener.open({
      name: "callers",
      address: `${host}:${port}`,
      handler: answer,
      ...options,
    });
    return listener;
  }

  function call(socket?: Socket): Caller {
    const caller = new Caller(socket);
    callers.push(caller);
    return caller;
  }

  async function callAndReceive(): Promise<Caller> {
    const caller = call();
    caller.send();
    await caller.untilReceived("whole");
    await pause(20);
    return caller;
  }

  // Guards against resets of connections whose first request is on its way.
  it("answers a request that arrives on an accepted connection", async () => {
    const closing = await open();
    const caller = call();
    await pause(50);
    const closed = closing.close();
    await pause(30);
    caller.send();
    expect(await caller.ended).toBe("end");
    expect(caller.received).toMatch(/connection: close[^]*whole/i);
    await closed;
  });

  // Guards against resets of connections that the process hasn't accepted yet.
  it("answers requests on connections that wait to be accepted", async () => {
    const closing = await open();
    const waiting = Array.from({ length: 60 }, () => call());
    for (const caller of waiting) caller.send();
    // The sockets connect now; the event loop accepts none before its next turn.
    await new Promise((resolve) => process.nextTick(resolve));
    const closed = closing.close();
    const ends = await Promise.all(waiting.map(({ ended }) => ended));
    await closed;
    expect(ends).toEqual(waiting.map(() => "end"));
    expect(waiting.filter(({ received }) => !received.includes("whole")))
      .toHaveLength(0);
  });

  // Guards against callers that ask again at once and never find the end.
  it("answers each of 60 callers that ask again at once", async () => {
    const closing = await open();
    let isClosing = false;
    const results: string[] = [];
    const askAgain = async (): Promise<void> => {
      for (;;) {
        const caller = new Caller();
        caller.send();
        const result = await caller.ended;
        caller.destroy();
        if (isClosing) {
          results.push(caller.received.includes("whole") ? "answered" : result);
        }
        if (result !== "end") return;
      }
    };
    const asking = Array.from({ length: 60 }, () => askAgain());
    // A response that closes its connection makes callers open one a request.
    const closed = closing.drain({
      minimumMilliseconds: 200,
      quietMilliseconds: 300,
      maximumMilliseconds: 250,
    });
    await pause(200);
    isClosing = true;
    await closed;
    await Promise.all(asking);
    const unanswered = results.filter((result) =>
      result !== "answered" && result !== "ECONNREFUSED"
    );
    expect(unanswered).toEqual([]);
    expect(results).toContain("answered");
  });

  // Guards against resets of kept connections whose next request is unread.
  it("answers a request that has arrived on a kept connection", async () => {
    const closing = await open();
    const caller = await callAndReceive();
    caller.received = "";
    caller.send();
    const closed = closing.close();
    expect(await caller.ended).toBe("end");
    await closed;
    expect(caller.received).toContain("whole");
  });

  // Guards against runs of requests that can't be answered any more.
  it("ends a kept connection in order and takes no later request", async () => {
    const closing = await open();
    const socket = connect({ port, host, allowHalfOpen: true });
    const caller = call(socket);
    caller.send();
    await caller.untilReceived("whole");
    await pause(20);
    const closed = closing.close();
    expect(await caller.ended).toBe("end");
    caller.send();
    const { unanswered } = await closed;
    expect(handled).toBe(1);
    expect(unanswered).toBe(1);
    expect(socket.errored).toBeNull();
  });

  // Guards against requests that are cut while their head or body arrives.
  it("waits for a request that is being received", async () => {
    const closing = await open();
    const caller = await callAndReceive();
    caller.received = "";
    caller.send("GET / HT");
    await pause(30);
    const closed = closing.close();
    await pause(100);
    caller.send("TP/1.1\r\nhost: a\r\n\r\n");
    expect(await caller.ended).toBe("end");
    await closed;
    expect(caller.received).toContain("whole");
  });

  // Guards against resets of a caller whose body arrives after its response.
  it.each([
    ["with", new PipelineLimits()],
    ["without", undefined],
  ])(
    "reads the rest of a body, %s limits of pipelined requests",
    async (_, pipelineLimits) => {
      const closing = await open({ pipelineLimits });
      closing.refuseReuse();
      const socket = connect({ port, host, allowHalfOpen: true });
      const caller = call(socket);
      caller.send(
        "PUT / HTTP/1.1\r\nhost: a\r\ncontent-length: 200000\r\n\r\n",
      );
      expect(await caller.ended).toBe("end");
      expect(caller.received).toContain("whole");
      for (let part = 0; part < 4; part += 1) {
        caller.send("x".repeat(50_000));
        await pause(1);
      }
      expect(socket.errored).toBeNull();
      socket.end();
      expect(await closing.close()).toMatchObject({ open: 0, unanswered: 0 });
      expect(socket.errored).toBeNull();
    },
  );

  // Guards against stops that wait for connections on which nothing comes.
  it("ends connections on which no request comes", async () => {
    const closing = await open();
    const caller = call();
    await pause(50);
    const startedAt = performance.now();
    await closing.close();
    expect(await caller.ended).toBe("end");
    expect(performance.now() - startedAt).toBeLessThan(2000);
  });

  // Guards against stops that outlast the grace period.
  it("ends by its time, and counts who got no answer", async () => {
    let pending: ServerResponse | undefined;
    const closing = await open({
      handler: (_request, response) => (pending = response),
    });
    const caller = call();
    caller.send();
    while (!pending) await pause(5);
    const startedAt = performance.now();
    const result = await closing.close({ maximumMilliseconds: 200 });
    expect(performance.now() - startedAt).toBeLessThan(1500);
    expect(result).toEqual({
      open: 1,
      unanswered: 1,
      uncheckedMilliseconds: expect.any(Number),
    });
  });

  // Guards against drains that outlast a grace period of a second or two.
  it("drains no longer than its time, even if the minimum is longer", async () => {
    const closing = await open();
    const startedAt = performance.now();
    await closing.drain({
      minimumMilliseconds: 60_000,
      quietMilliseconds: 300,
      maximumMilliseconds: 100,
    });
    expect(performance.now() - startedAt).toBeLessThan(10_000);
  });

  // Guards against responses over TLS that are cut as if they were idle.
  it("completes a response over TLS", async () => {
    const pem = await selfsigned.generate([{ name: "commonName", value: "a" }]);
    const closing = await open({
      tls: {
        listeners: new Set(["callers"]),
        material: {
          certificate: Buffer.from(pem.cert),
          key: Buffer.from(pem.private),
          authority: Buffer.from(pem.cert),
        },
      },
      handler: (_request, response) => {
        handled += 1;
        setTimeout(() => response.end("whole"), 1000);
      },
    });
    const caller = call(
      connectTls({ port, host, rejectUnauthorized: false }),
    );
    caller.send();
    while (handled === 0) await pause(5);
    const closed = closing.close();
    expect(await caller.ended).toBe("end");
    await closed;
    expect(caller.received).toContain("whole");
  });
});

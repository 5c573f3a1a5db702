import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { MonotonicClock } from "@kingcupglade/tasks";
import { afterEach, describe, expect, it } from "vitest";
import { CallerWire } from "../callers/caller_wire.ts";
import type {
  CallerRequestHead,
  TargetResponseHead,
} from "../callers/caller_wire.ts";
import { Exchange } from "./exchange.ts";
import type { ExchangeResult, ResponseStream } from "./exchange.ts";
import { TargetConnections } from "../targets/target_connections.ts";

class PlainWire extends CallerWire {
  override readRequest(): CallerRequestHead {
    return {
      requestId: "",
      deadlineMilliseconds: undefined,
      position: undefined,
      caller: "",
    };
  }

  override readResponse(
    _status: number,
    headers: Record<string, string | string[] | undefined>,
  ): TargetResponseHead {
    return {
      requestId: String(headers["request"] ?? ""),
      didNotRun: headers["not-run"] !== undefined,
      seemsNotRun: false,
      isSigned: true,
      load: undefined,
      maximumRequestsPerSecond: undefined,
      isLeaving: false,
      pauseMilliseconds: undefined,
      hasUnreadableNotice: false,
    };
  }

  override readonly guardedHeaders = new Set<string>();

  override readKey(): undefined {
    return undefined;
  }

  override targetHeaders(): Record<string, string> {
    return {};
  }
}

const discardStream: ResponseStream = {
  wouldLookWhole: () => false,
  begin: () => {},
  write: () => true,
  onDrain: () => {},
  end: () => {},
  fail: () => {},
};

describe("Exchange", () => {
  const connections = new TargetConnections({
    clock: new MonotonicClock(),
  });
  let server: Server | undefined;

  afterEach(() => {
    connections.close();
    server?.close();
  });

  /** Listens and calls back with each request; returns the address. */
  async function listen(respond: (socket: Socket) => void): Promise<string> {
    server = createServer((socket) => {
      socket.on("error", () => {});
      socket.on("data", () => respond(socket));
    });
    await new Promise<void>((resolve) =>
      server!.listen(0, "127.0.0.1", resolve)
    );
    const { port } = server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  async function exchange(
    respond: (socket: Socket) => void,
    timeoutMilliseconds = 1000,
  ): Promise<ExchangeResult> {
    return await send(
      await listen(respond),
      discardStream,
      timeoutMilliseconds,
    );
  }

  /** Sends a request over a kept connection, if there is one. */
  async function send(
    address: string,
    stream = discardStream,
    timeoutMilliseconds = 1000,
  ): Promise<ExchangeResult> {
    const connection = connections.acquire(address, { mustBeFresh: false });
    const result = await new Exchange({
      connection,
      wire: new PlainWire(),
      stream,
      request: {
        method: "GET",
        path: "/",
        headers: [],
        body: null,
        requestId: "r1",
        timeoutMilliseconds,
      },
    }).result;
    if (result.kind === "answered") connections.release(address, connection);
    return result;
  }

  // Guards against a request with a revoked key that was dispatched, and waited
  // for its connection.
  it("sends nothing if the request may no longer start", async () => {
    let requests = 0;
    const address = await listen(() => (requests += 1));
    const connection = connections.acquire(address, { mustBeFresh: false });
    const result = await new Exchange({
      connection,
      wire: new PlainWire(),
      stream: discardStream,
      mayStart: () => false,
      request: {
        method: "GET",
        path: "/",
        headers: [],
        body: null,
        requestId: "r1",
        timeoutMilliseconds: 1000,
      },
    }).result;
    connections.end(connection);
    expect(result).toMatchObject({ kind: "notSent", isWithheld: true });
    await pause(50);
    expect(requests).toBe(0);
  });

  it("accepts a response that is delimited by the end of the connection", async () => {
    const result = await exchange((socket) =>
      socket.end("HTTP/1.1 200 OK\r\nrequest: r1\r\n\r\nwhole")
    );
    expect(result.kind).toBe("answered");
  });

  it("rejects such a response when the connection was reset", async () => {
    const result = await exchange(async (socket) => {
      socket.write("HTTP/1.1 200 OK\r\nrequest: r1\r\n\r\npart");
      await pause(50);
      socket.resetAndDestroy();
    });
    expect(result.kind).toBe("unknown");
  });

  it("rejects a response that is shorter than its content-length", async () => {
    const result = await exchange((socket) =>
      socket.end(
        "HTTP/1.1 200 OK\r\nrequest: r1\r\ncontent-length: 9\r\n\r\npart",
      )
    );
    expect(result.kind).toBe("unknown");
  });

  it("rejects a response to another request", async () => {
    const result = await exchange((socket) =>
      socket.end("HTTP/1.1 200 OK\r\nrequest: r0\r\ncontent-length: 0\r\n\r\n")
    );
    expect(result.kind).toBe("unknown");
  });

  // Guards against a response whose head ends early and would look complete.
  for (
    const head of [
      "HTTP/1.1 200 OK",
      "HTTP/1.1 200 OK\r\nrequest: r1",
      "HTTP/1.1 200 OK\r\nrequest: r1\r\nconnection: close\r\n",
      "HTTP/1.1 200 OK\r\nrequest: r1\r\ncontent-length: 5\r\nx: y",
    ]
  ) {
    it(`rejects a head that ends early: ${JSON.stringify(head)}`, async () => {
      const result = await exchange((socket) => socket.end(head));
      expect(result).toMatchObject({ kind: "unknown", cause: "closed" });
    });
  }

  it("rejects a head that ends early on a connection in use again", async () => {
    let requests = 0;
    const address = await listen((socket) => {
      requests += 1;
      socket.write("HTTP/1.1 200 OK\r\nrequest: r1\r\n");
      if (requests === 1) socket.write("content-length: 0\r\n\r\n");
      else socket.end();
    });
    expect((await send(address)).kind).toBe("answered");
    expect((await send(address)).kind).toBe("unknown");
    expect(requests).toBe(2);
  });

  // Guards against an assertion of the HTTP client that ended the process when a
  // target closed the connection while its response was paused.
  it("completes a response that is paused when the target closes", async () => {
    const chunks: Buffer[] = [];
    let hasEnded = false;
    const address = await listen(async (socket) => {
      socket.write(
        "HTTP/1.1 200 OK\r\nrequest: r1\r\nconnection: close\r\n\r\n",
      );
      socket.write(Buffer.alloc(300_000));
      await pause(150);
      socket.write(Buffer.alloc(1000));
      await pause(50);
      socket.end();
    });
    const result = send(address, {
      ...discardStream,
      begin: (_head, first) => chunks.push(...first),
      write: (chunk) => {
        chunks.push(chunk);
        return false;
      },
      onDrain: (listener) => setTimeout(listener, 100),
      end: () => (hasEnded = true),
    });
    expect((await result).kind).toBe("answered");
    expect(hasEnded).toBe(true);
    expect(Buffer.concat(chunks).length).toBe(301_000);
  });

  // Guards against a failed assertion of undici, which ended the process when a
  // target reset its connection while its response was paused.
  for (const head of ["content-length: 400000\r\n", ""]) {
    it(`survives a reset while nothing is read ("${head.trim()}")`, async () => {
      const address = await listen(async (socket) => {
        socket.write(
          `HTTP/1.1 200 OK\r\nrequest: r1\r\nconnection: close\r\n${head}\r\n`,
        );
        socket.write(Buffer.alloc(300_000, "x"));
        await pause(100);
        socket.resetAndDestroy();
      });
      const result = await send(address, {
        ...discardStream,
        write: () => false,
        onDrain: (listener) => setTimeout(listener, 300),
      });
      expect(result.kind).toBe("unknown");
    });
  }

  it("reports a request as not sent when nothing listens", async () => {
    const result = await new Exchange({
      connection: connections.acquire("127.0.0.1:9", { mustBeFresh: false }),
      wire: new PlainWire(),
      stream: discardStream,
      request: {
        method: "GET",
        path: "/",
        headers: [],
        body: null,
        requestId: "r1",
        timeoutMilliseconds: 1000,
      },
    }).result;
    expect(result.kind).toBe("notSent");
  });

  it("ends with an unknown outcome at the timeout", async () => {
    const result = await exchange(() => {}, 100);
    expect(result).toMatchObject({ kind: "unknown", cause: "timeout" });
  });
});

import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { MonotonicClock } from "@kingcupglade/tasks";
import { afterEach, describe, expect, it } from "vitest";
import { CallerWire } from "./caller_wire.ts";
import type { CallerRequestHead, TargetResponseHead } from "./caller_wire.ts";
import { Exchange } from "./exchange.ts";
import type { ExchangeResult, ResponseStream } from "./exchange.ts";
import { TargetConnections } from "./target_connections.ts";

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
      isSigned: true,
      load: undefined,
      maximumRequestsPerSecond: undefined,
    };
  }

  override targetHeaders(): Record<string, string> {
    return {};
  }
}

const discardStream: ResponseStream = {
  begin: () => {},
  write: () => true,
  onDrain: () => {},
  end: () => {},
  fail: () => {},
};

describe("Exchange", () => {
  const connections = new TargetConnections(new MonotonicClock());
  let server: Server | undefined;

  afterEach(() => {
    connections.close();
    server?.close();
  });

  async function exchange(
    respond: (socket: Socket) => void,
    timeoutMilliseconds = 1000,
  ): Promise<ExchangeResult> {
    server = createServer((socket) => {
      socket.on("error", () => {});
      socket.once("data", () => respond(socket));
    });
    await new Promise<void>((resolve) =>
      server!.listen(0, "127.0.0.1", resolve)
    );
    const { port } = server.address() as AddressInfo;
    return await new Exchange({
      connection: connections.acquire(`127.0.0.1:${port}`, {
        mustBeFresh: false,
      }),
      wire: new PlainWire(),
      stream: discardStream,
      request: {
        method: "GET",
        path: "/",
        headers: [],
        body: null,
        requestId: "r1",
        timeoutMilliseconds,
      },
    }).result;
  }

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

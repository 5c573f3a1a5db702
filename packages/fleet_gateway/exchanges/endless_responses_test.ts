import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { MonotonicClock } from "@kingcupglade/tasks";
import { afterEach, describe, expect, it } from "vitest";
import { CallerWire } from "../callers/caller_wire.ts";
import type {
  CallerRequestHead,
  TargetResponseHead,
} from "../callers/caller_wire.ts";
import { Exchange } from "./exchange.ts";
import type { ExchangeResult, ResponseStream } from "./exchange.ts";
import { LoadProber } from "../targets/load_prober.ts";
import { TargetConnections } from "../targets/target_connections.ts";
import { TargetLimits } from "../targets/target_limits.ts";

const logger = { debug() {}, info() {}, warn() {}, error() {} };

const timeoutMilliseconds = 1500;
const megabyte = 1024 * 1024;
/** Sent at once in measurements, more than a connection buffers. */
const burstBytes = 256 * 1024;
const warmUpExchanges = 15;
const exchanges = 11;

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
    const load = { running: 1, waiting: 0, slots: 4, slowdown: 1 };
    return {
      requestId: String(headers["request"] ?? ""),
      didNotRun: false,
      seemsNotRun: false,
      isSigned: true,
      load: headers["load"] === undefined ? undefined : load,
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

/** Counts the bytes for a caller that reads either everything or nothing. */
class CountingStream implements ResponseStream {
  bytes = 0;
  hasFailed = false;
  readonly #acceptsAll: boolean;

  constructor(acceptsAll: boolean) {
    this.#acceptsAll = acceptsAll;
  }

  wouldLookWhole(): boolean {
    return false;
  }

  begin(_head: unknown, first: readonly Buffer[]): void {
    this.bytes += first.reduce((sum, { length }) => sum + length, 0);
  }

  write(chunk: Buffer): boolean {
    this.bytes += chunk.length;
    return this.#acceptsAll;
  }

  onDrain(): void {}

  end(): void {}

  fail(): void {
    this.hasFailed = true;
  }
}

/** A target that begins a response and then sends the same chunk forever. */
class EndlessTarget {
  sentBytes = 0;
  isClosed = false;
  readonly #server: Server;

  /** @param pieces Number of pieces that it sends. */
  constructor(first: string, piece: string, pieces = Infinity) {
    this.#server = createServer((socket) => {
      socket.on("error", () => {});
      socket.once("close", () => (this.isClosed = true));
      socket.once("data", () => {
        socket.write(first);
        this.#send(socket, { piece: Buffer.from(piece), pieces });
      });
    });
  }

  async start(): Promise<string> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  stop(): void {
    this.#server.close();
  }

  #send(
    socket: Socket,
    { piece, pieces }: { readonly piece: Buffer; readonly pieces: number },
  ): void {
    if (socket.destroyed || pieces === 0) return;
    this.sentBytes += piece.length;
    const sendNext = () => this.#send(socket, { piece, pieces: pieces - 1 });
    if (socket.write(piece)) setImmediate(sendNext);
    else socket.once("drain", sendNext);
  }
}

describe("an endless response of a target", () => {
  const connections = new TargetConnections({
    clock: new MonotonicClock(),
  });
  let target: EndlessTarget;

  afterEach(() => target.stop());

  async function exchange(options: {
    readonly first: string;
    readonly piece: string;
    readonly stream?: CountingStream;
  }): Promise<{
    readonly result: ExchangeResult;
    readonly milliseconds: number;
  }> {
    target = new EndlessTarget(options.first, options.piece);
    const address = await target.start();
    const startedAt = performance.now();
    const result = await exchangeWith(
      address,
      options.stream ?? new CountingStream(true),
    );
    const milliseconds = performance.now() - startedAt;
    await new Promise((resolve) => setTimeout(resolve, 50));
    return { result, milliseconds };
  }

  function exchangeWith(
    address: string,
    stream: CountingStream,
  ): Promise<ExchangeResult> {
    return new Exchange({
      connection: connections.acquire(address, { mustBeFresh: false }),
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
  }

  const chunkedHead = "HTTP/1.1 200 OK\r\nrequest: r1\r\n" +
    "transfer-encoding: chunked\r\n\r\n";
  const heads: readonly (readonly [string, string, string])[] = [
    ["header lines", "HTTP/1.1 200 OK\r\n", "name: value\r\n".repeat(50)],
    ["short header lines", "HTTP/1.1 200 OK\r\n", "a: b\r\n".repeat(10_000)],
    ["a line without an end", "HTTP/1.1 200 OK", "x".repeat(60_000)],
    ["trailers", `${chunkedHead}0\r\n`, "a: b\r\n".repeat(10_000)],
    ["a chunk's extension", `${chunkedHead}5;`, "x".repeat(60_000)],
    ["trailers after data", `${chunkedHead}1\r\ny\r\n0\r\n`, "a: b\r\n"],
    ["one header line", "HTTP/1.1 200 OK\r\nname: ", "x".repeat(1000)],
    ["interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"],
    ["bytes that are not HTTP", "", "\u0000\u0001\u0002 nothing of the kind"],
  ];
  for (const [name, first, piece] of heads) {
    it(`of ${name} ends the exchange early`, async () => {
      const { result, milliseconds } = await exchange({ first, piece });
      expect(result).toMatchObject({ kind: "unknown", cause: "invalid" });
      expect(milliseconds).toBeLessThan(timeoutMilliseconds / 2);
      expect(target.sentBytes).toBeLessThan(4 * megabyte);
      expect(target.isClosed).toBe(true);
    });
  }

  // Guards against one target's endless head or trailers that take the event loop
  // from all callers.
  it.each(heads)(
    "of %s costs at most 5 ms of processor time beyond that of garbage",
    async (_name, first, piece) => {
      const garbage = await measureCost("", "nothing of the kind");
      const cost = await measureCost(first, piece);
      expect(cost - garbage).toBeLessThan(5);
    },
    30_000,
  );

  /** Returns the median of the processor time of an exchange, in milliseconds. */
  async function measureCost(first: string, piece: string): Promise<number> {
    const repeats = Math.ceil(burstBytes / piece.length);
    target = new EndlessTarget(first, piece.repeat(repeats), 1);
    const address = await target.start();
    const costs: number[] = [];
    for (let count = 0; count < warmUpExchanges + exchanges; count += 1) {
      const before = process.cpuUsage();
      await exchangeWith(address, new CountingStream(true));
      const { user, system } = process.cpuUsage(before);
      if (count >= warmUpExchanges) costs.push((user + system) / 1000);
    }
    target.stop();
    return costs.sort((left, right) => left - right)[exchanges >> 1]!;
  }

  const body = {
    first: "HTTP/1.1 200 OK\r\nrequest: r1\r\ntransfer-encoding: chunked\r\n" +
      "\r\n",
    piece: `1000\r\n${"y".repeat(4096)}\r\n`,
  };

  it("with an endless body is streamed until the timeout", async () => {
    const stream = new CountingStream(true);
    const { result } = await exchange({ ...body, stream });
    expect(result).toMatchObject({ kind: "unknown", cause: "timeout" });
    expect(stream.bytes).toBeGreaterThan(megabyte);
    expect(stream.hasFailed).toBe(true);
    expect(target.isClosed).toBe(true);
  });

  it("is paused when the caller does not read it", async () => {
    const stream = new CountingStream(false);
    await exchange({ ...body, stream });
    expect(stream.bytes).toBeLessThan(megabyte);
    expect(target.sentBytes).toBeLessThan(16 * megabyte);
    expect(stream.hasFailed).toBe(true);
  });

  it("does not block a load probe", async () => {
    target = new EndlessTarget(
      "HTTP/1.1 200 OK\r\nload: 1\r\ntransfer-encoding: chunked\r\n\r\n",
      body.piece,
    );
    const address = await target.start();
    const prober = new LoadProber({
      reach: { isCutOff: false },
      notices: { record: () => {} },
      connections,
      wire: new PlainWire(),
      clock: new MonotonicClock(),
      limits: new TargetLimits({ clock: new MonotonicClock(), logger }),
      logger,
    });
    let isAnswered = false;
    await prober.probe({ name: "t", address } as never, {
      path: "/health",
      record: {
        recordProbeStart() {},
        recordProbeEnd: () => (isAnswered = true),
      } as never,
    });
    await new Promise((resolve) => setTimeout(resolve, 50));
    expect(isAnswered).toBe(true);
    expect(target.isClosed).toBe(true);
  });
});

describe("a late response that a load probe receives", () => {
  it("closes its connection", async () => {
    const late = "HTTP/1.1 200 OK\r\nrequest: r0\r\nload: 9\r\n" +
      "content-length: 0\r\n\r\n";
    const server = createServer((socket) => {
      socket.on("error", () => {});
      socket.once("data", () => socket.write(late));
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = server.address() as AddressInfo;
    const connections = new TargetConnections({
      clock: new MonotonicClock(),
    });
    const prober = new LoadProber({
      reach: { isCutOff: false },
      notices: { record: () => {} },
      connections,
      wire: new PlainWire(),
      clock: new MonotonicClock(),
      limits: new TargetLimits({ clock: new MonotonicClock(), logger }),
      logger,
    });
    const loads: unknown[] = [];
    const address = `127.0.0.1:${port}`;
    await prober.probe({ name: "t", address } as never, {
      path: "/health",
      record: {
        recordProbeStart() {},
        recordProbeEnd: (load: unknown) => loads.push(load),
      } as never,
    });
    expect(loads).toEqual([undefined]);
    expect(connections.acquire(address, { mustBeFresh: false }).wasUsed).toBe(
      false,
    );
    connections.close();
    server.close();
  });
});

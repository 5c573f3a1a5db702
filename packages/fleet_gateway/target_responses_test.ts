import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { RequestKind } from "@kingcupglade/items";
import { MonotonicClock } from "@kingcupglade/tasks";
import { createMetrics } from "@kingcupglade/telemetry";
import { RequestBody } from "@kingcupglade/transport";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import type { ResponseHead } from "./exchange.ts";
import { RequestForwarder } from "./request_forwarder.ts";
import { ServiceQueue } from "./service_queue.ts";
import { TargetConnections } from "./target_connections.ts";

const logger = { debug() {}, info() {}, warn() {}, error() {} };
const retryBudget = { ratio: 0.2, windowMilliseconds: 1000, slack: 5 };

/** What a caller received. */
interface Received {
  readonly status: number;
  readonly body: string;
}

/** Calls back with each request that a target has read, by its text. */
type Respond = (socket: Socket, request: string) => void;

describe("a response of a target", () => {
  const clock = new MonotonicClock();
  let connections: TargetConnections;
  let server: Server;
  let respond: Respond;

  beforeEach(async () => {
    connections = new TargetConnections({ clock });
    server = createServer((socket) => {
      socket.on("error", () => {});
      socket.on("data", (bytes) => respond(socket, bytes.toString()));
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
  });

  afterEach(() => {
    connections.close();
    server.close();
  });

  /** Forwards a request that may run only once, and returns what is received. */
  function forward(
    requestId: string,
    path = "/",
  ): Promise<Received> {
    const { port } = server.address() as AddressInfo;
    const queue = new ServiceQueue({
      now: () => clock.now(),
      budget: retryBudget,
    });
    const context = {
      clock,
      logger,
      metrics: createMetrics(),
      random: Math.random,
      connections,
      gatewayCount: () => 1,
      wire: {
        readResponse: (status: number, headers: ResponseHead["headers"]) => ({
          requestId: String(headers["request"] ?? ""),
          didNotRun: headers["not-run"] !== undefined,
          seemsNotRun: status === 503,
          isSigned: true,
        }),
        targetHeaders: () => ({}),
      },
      notices: { record: () => {} },
      limits: { record: () => {}, of: () => undefined },
      selector: {
        service: () => queue,
        select: () => ({
          kind: "found",
          target: { name: "t", address: `127.0.0.1:${port}` },
          record: { expectedDuration: () => 1, begin() {}, end() {} },
        }),
        laneOf: () => ({ lane: "", inFlight: 0, maximumPerSecond: Infinity }),
      },
      reach: {
        onCutOff: () => () => {},
        begin: () => {},
        end: () => {},
        recordResponse: () => {},
      },
      suspects: {
        isSuspect: () => false,
        recordRun: () => {},
        examine: () => Promise.resolve(false),
      },
      pools: { poolFor: () => undefined },
    };
    const startedAt = clock.now();
    return new Promise((resolve) =>
      new RequestForwarder({
        context: context as never,
        routed: {
          request: { headers: {}, method: "POST", url: path },
          head: { requestId },
          route: {
            name: "reserve",
            requests: RequestKind.once,
            maximumTargets: 2,
            homeRegions: [],
            objectiveMilliseconds: 500,
          },
          service: "catalogue",
          position: undefined,
          body: RequestBody.empty,
          digest: () => "",
          arrivedAt: startedAt,
          deadlineAt: startedAt + 900,
        } as never,
        answer: {
          isClosed: false,
          hasStarted: false,
          forward: (head: ResponseHead, bytes: Buffer) =>
            resolve({ status: head.status, body: bytes.toString() }),
          respond: ({ status }: { readonly status: number }) =>
            resolve({ status, body: "" }),
        } as never,
        handOver: () => {},
      }).start()
    );
  }

  /** A response with the lines given and a body. */
  function response(status: number, lines: string, body: string): string {
    return `HTTP/1.1 ${status} Some\r\n${lines}content-length: ${body.length}\r\n\r\n${body}`;
  }

  // Guards against a second copy of a response that reaches the next caller:
  // without an ID nothing tells it from that caller's own response.
  it("that has no ID is not taken for the next response without one", async () => {
    const previous = new Map<Socket, string>();
    respond = (socket, request) => {
      const path = request.split(" ")[1] ?? "";
      const own = response(200, "", path);
      socket.write((previous.get(socket) ?? "") + own);
      previous.set(socket, own);
    };
    expect(await forward("", "/first")).toMatchObject({
      status: 200,
      body: "/first",
    });
    expect(await forward("", "/second")).toMatchObject({
      status: 200,
      body: "/second",
    });
  });

  // Guards against a copy of a refusal that is taken for the response to a
  // request with the same ID, which a caller sent once more.
  it("is not taken for the response to a later request with its ID", async () => {
    let runs = 0;
    const refusal = response(503, "request: r1\r\nnot-run: 1\r\n", "");
    let isRefusing = true;
    const refusedOn = new Set<Socket>();
    respond = (socket) => {
      if (isRefusing) {
        refusedOn.add(socket);
        socket.write(refusal);
        return;
      }
      runs += 1;
      const own = response(200, "request: r1\r\n", "done");
      socket.write(refusedOn.has(socket) ? refusal + own : own);
    };
    expect((await forward("r1")).status).toBe(503);
    isRefusing = false;
    const second = await forward("r1");
    expect(runs).toBe(second.status === 503 ? 0 : 1);
  });

  // Guards against the promise "not run" for a request that may have run, as its
  // target answered 503 without stating it.
  it("with 503 is no promise unless it states that nothing ran", async () => {
    let lines = "request: r1\r\n";
    respond = (socket) => socket.write(response(503, lines, "failed"));
    expect((await forward("r1")).status).toBe(502);
    lines = "request: r2\r\nnot-run: 1\r\n";
    expect((await forward("r2")).status).toBe(503);
  });
});

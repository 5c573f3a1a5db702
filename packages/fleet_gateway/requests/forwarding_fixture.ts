import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { RequestKind } from "@kingcupglade/items";
import { MonotonicClock } from "@kingcupglade/tasks";
import { createMetrics } from "@kingcupglade/telemetry";
import { BodyMemory, RequestBody } from "@kingcupglade/transport";
import { buildConnector } from "undici";
import type { ResponseHead } from "../exchanges/exchange.ts";
import type { ForwardingProgress } from "../relay/relay_forwarder.ts";
import { BodyFraming } from "../callers/response_framing.ts";
import { RequestForwarder } from "./request_forwarder.ts";
import { ServiceQueue } from "../slots/service_queue.ts";
import { TargetConnections } from "../targets/target_connections.ts";

const logger = { debug() {}, info() {}, warn() {}, error() {} };
const retryBudget = { ratio: 0.2, windowMilliseconds: 1000, slack: 5 };
const objectiveMilliseconds = 500;

/** Decisions on keys where none are required. */
export const noKeys = {
  areKeysRequired: false,
  authenticate: ({ route }: { readonly route: unknown }) => ({
    kind: "accepted",
    route,
  }),
  decideOnRelayed: (route: unknown) => ({ kind: "accepted", route }),
  recheck: () => undefined,
};

/** Decisions on limits where no workspace has one. */
export const noQuotas = {
  admit: () => Promise.resolve({ kind: "accepted" }),
};

/** What a caller received; status 0 if its request was handed over. */
export interface Received {
  readonly status: number;
  readonly body: string;
}

/** A server that writes bytes by hand. */
export class RawServer {
  /** Called with every part of a request, by its text. */
  respond: (socket: Socket, text: string) => void = () => {};
  /** Parts of requests that were received. */
  receivedCount = 0;
  readonly #sockets = new Set<Socket>();
  readonly #server: Server = createServer((socket) => {
    this.#sockets.add(socket);
    socket.on("error", () => {});
    socket.on("data", (bytes) => {
      this.receivedCount += 1;
      this.respond(socket, bytes.toString());
    });
  });

  /** IP:PORT. */
  get address(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
  }

  stop(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }
}

/** Returns a response with a body and further header lines. */
export function responseText(
  status: number,
  lines: string,
  body: string,
): string {
  return `HTTP/1.1 ${status} Some\r\n${lines}content-length: ${body.length}\r\n\r\n${body}`;
}

/** Returns numbers between 0 and 1 that depend on the seed alone. */
export function seededRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0;
    return state / 2 ** 32;
  };
}

/** A request that is forwarded. */
export interface ForwardedRequest {
  readonly requestId: string;
  /** @default "/" */
  readonly path?: string;
  /** @default once */
  readonly requests?: RequestKind;
  /** @default 2 */
  readonly maximumTargets?: number;
  /** @default 10000 */
  readonly deadlineMilliseconds?: number;
}

/** A gateway whose targets are chosen in order. */
export class ForwardingFixture {
  readonly clock = new MonotonicClock();
  readonly connections: TargetConnections;
  /** Names of targets that the table lists as leaving. */
  readonly leaving = new Set<string>();
  readonly responseMemory: BodyMemory;
  /** What has happened to requests that were handed over. */
  readonly handedOver: ForwardingProgress[] = [];
  readonly #targets: readonly RawServer[];
  #cutOffListeners: (() => void)[] = [];

  constructor(
    targets: readonly RawServer[],
    options: {
      readonly responseMemoryBytes?: number;
      /** Called with the address of each connection, once it is open. */
      readonly onConnected?: (address: string) => void;
    } = {},
  ) {
    const { onConnected = () => {} } = options;
    const connect = buildConnector({});
    this.connections = new TargetConnections({
      clock: this.clock,
      connector: (connecting, callback) =>
        connect(connecting, (...result) => {
          onConnected(connecting.host ?? "");
          callback(...result);
        }),
    });
    this.#targets = targets;
    this.responseMemory = new BodyMemory(options.responseMemoryBytes);
  }

  /** Tells the requests in progress that no target can be reached. */
  cutOff(): void {
    for (const listener of this.#cutOffListeners) listener();
  }

  /** Forwards a request and returns what the caller receives. */
  forward(request: ForwardedRequest): Promise<Received> {
    return new Promise((resolve) =>
      new RequestForwarder({
        context: this.context() as never,
        routed: this.routed(request) as never,
        answer: answerFor(resolve) as never,
        handOver: (progress) => {
          this.handedOver.push(progress);
          resolve({ status: 0, body: "" });
        },
      }).start()
    );
  }

  /** The services that a forwarder uses. */
  context(): Record<string, unknown> {
    const { clock, connections } = this;
    const queue = new ServiceQueue({
      now: () => clock.now(),
      budget: retryBudget,
    });
    const record = { expectedDuration: () => 1, begin() {}, end() {} };
    const next = (tried: ReadonlySet<string>) => {
      const index = this.#targets.findIndex((_, at) =>
        !tried.has(`t${at}`) && !this.leaving.has(`t${at}`)
      );
      const { address } = this.#targets[Math.max(0, index)]!;
      return { target: { name: `t${Math.max(0, index)}`, address }, record };
    };
    return {
      clock,
      stalls: { readDelay: () => 0 },
      logger,
      metrics: createMetrics(),
      random: Math.random,
      connections,
      responseMemory: this.responseMemory,
      keys: noKeys,
      quotas: noQuotas,
      gatewayCount: () => 1,
      wire: {
        readRequest: () => ({ requestId: "" }),
        readResponse: (status: number, headers: ResponseHead["headers"]) => ({
          requestId: String(headers["request"] ?? ""),
          didNotRun: headers["not-run"] !== undefined,
          seemsNotRun: status === 503,
          isSigned: true,
        }),
        targetHeaders: () => ({}),
      },
      notices: { record: () => {}, mayUse: () => true },
      table: () => ({
        position: { index: 1 },
        target: (name: string) => ({ name }),
        mayServe: ({ name }: { readonly name: string }) =>
          !this.leaving.has(name),
      }),
      limits: { record: () => {}, of: () => undefined },
      selector: {
        service: () => queue,
        recordReceived: () => {},
        select: ({ tried }: { readonly tried: ReadonlySet<string> }) => ({
          kind: "found",
          ...next(tried),
        }),
        selectIdle: ({ tried }: { readonly tried: ReadonlySet<string> }) =>
          next(tried),
        record: () => record,
        laneOf: () => ({ lane: "", inFlight: 0, maximumPerSecond: Infinity }),
      },
      reach: {
        onCutOff: (listener: () => void) => {
          this.#cutOffListeners.push(listener);
          return () => {
            this.#cutOffListeners = this.#cutOffListeners.filter((each) =>
              each !== listener
            );
          };
        },
        begin: () => {},
        end: () => {},
        recordProgress: () => {},
        recordResponse: () => {},
      },
      suspects: {
        isSuspect: () => false,
        recordRun: () => {},
        examine: () => Promise.resolve(false),
      },
      pools: { poolFor: () => undefined },
    };
  }

  /** A request whose route is known. */
  routed(request: ForwardedRequest): Record<string, unknown> {
    const { requestId, path = "/", requests = RequestKind.once } = request;
    const { maximumTargets = 2, deadlineMilliseconds = 10_000 } = request;
    const arrivedAt = this.clock.now();
    return {
      request: { headers: {}, method: "POST", url: path },
      head: { requestId },
      route: {
        name: "reserve",
        requests,
        maximumTargets,
        homeRegions: [],
        objectiveMilliseconds,
      },
      service: "catalogue",
      position: undefined,
      body: RequestBody.empty,
      digest: () => "",
      arrivedAt,
      firstSentAt: arrivedAt,
      isAgeKnown: false,
      deadlineAt: arrivedAt + deadlineMilliseconds,
    };
  }
}

/** Returns a response to a caller that calls back with what it receives. */
export function answerFor(
  received: (response: Received) => void,
): Record<string, unknown> {
  return {
    isClosed: false,
    hasStarted: false,
    onClosed: () => {},
    wouldLookWhole: () => false,
    sent: { sent: BodyFraming.length, isStreamed: false, bytes: 0 },
    forward: ({ status }: ResponseHead, bytes: Buffer) =>
      received({ status, body: bytes.toString() }),
    respond: ({ status }: { readonly status: number }) =>
      received({ status, body: "" }),
  };
}

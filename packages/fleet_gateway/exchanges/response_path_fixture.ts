import { once } from "node:events";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { connect } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { RequestKind } from "@kingcupglade/items";
import { createMetrics } from "@kingcupglade/telemetry";
import { RequestBody } from "@kingcupglade/transport";
import { CallerResponse } from "../callers/caller_response.ts";
import {
  ForwardingFixture,
  RawServer,
} from "../requests/forwarding_fixture.ts";
import { GatewayLink } from "../link/gateway_link.ts";
import { RelayForwarder } from "../relay/relay_forwarder.ts";
import { decodeRelayRequest, relayHeader } from "../relay/relay_message.ts";
import { RequestForwarder } from "../requests/request_forwarder.ts";
import { hasBeenReset } from "./socket_end.ts";

const secret = "unguarded";
const defaultDeadlineMilliseconds = 10_000;
const maximumRequestBytes = 1024 * 1024;
const headEnd = "\r\n\r\n";

/** How a response ended, by its framing and its connection alone. */
export const ResponseEnd = {
  /** Its length was reached, or its last chunk was received. */
  complete: "complete",
  /** It has neither length nor chunks, and its connection ended in order. */
  open: "open",
  /** Its caller knows that a part is missing. */
  incomplete: "incomplete",
} as const;
export type ResponseEnd = typeof ResponseEnd[keyof typeof ResponseEnd];

/** A response as the bytes of a caller's connection show it. */
export interface ReceivedResponse {
  readonly status: number;
  /** In lower case. */
  readonly head: string;
  /** Latin-1 text. */
  readonly body: string;
  readonly end: ResponseEnd;
}

/** A request that a caller sends by hand. */
export interface CallerRequest {
  /** Also the request's ID. */
  readonly name: string;
  /** @default "1.1" */
  readonly httpVersion?: "1.0" | "1.1";
  /** Time that the gateway has for the response. @default 10000 */
  readonly deadlineMilliseconds?: number;
  /** Called with the number of bytes received so far. */
  readonly onData?: (bytes: number, socket: Socket) => void;
}

/** Options of a {@link ResponsePath}. */
export interface ResponsePathOptions {
  /** Memory of each gateway for held responses. @default 48 MiB */
  readonly responseMemoryBytes?: number;
  /** Whether the gateway reaches the target through a second one. @default false */
  readonly isRelayed?: boolean;
  /**
   * Whether the second gateway is of a release that does not name the framing of
   * its target. @default false
   */
  readonly isSecondEarlier?: boolean;
  /** Rate of the link of each gateway. @default none, and no pacing */
  readonly linkMegabitsPerSecond?: number;
  /** Bytes that a gateway with a link holds. @default 32 MiB */
  readonly maximumHeldBytes?: number;
  /**
   * Whether requests may run more than once, and are sent twice at most.
   * @default false
   */
  readonly isIdempotent?: boolean;
  /** Time that the gateway has for each response. @default 10000 */
  readonly deadlineMilliseconds?: number;
}

/**
 * One target that writes bytes by hand, callers that read them, and a gateway
 * between them, or two.
 */
export class ResponsePath {
  readonly target = new RawServer();
  /** The gateway that callers reach. */
  readonly gateway: ForwardingFixture;
  /** The gateway that reaches the target. */
  readonly lastGateway: ForwardingFixture;
  /** Lines that the gateways have logged at level info. */
  readonly lines: Record<string, unknown>[] = [];
  /** Called with the event of each of these lines. */
  onLine: (event: string) => void = () => {};
  readonly #isIdempotent: boolean;
  readonly #deadlineMilliseconds: number;
  readonly #isRelayed: boolean;
  readonly #isSecondEarlier: boolean;
  readonly #links = new Map<ForwardingFixture, GatewayLink>();
  readonly #deadlines = new Map<string, number>();
  readonly #logger = {
    debug() {},
    info: (event: string, fields: Record<string, unknown> = {}) => {
      this.lines.push({ event, ...fields });
      this.onLine(event);
    },
    warn() {},
    error() {},
  };
  readonly #server = createServer((request, response) =>
    (this.#isRelayed
      ? this.#relay(request, response)
      : this.#forward(request, new CallerResponse(response)))
      // Its caller left before all of it was received.
      .catch(() => request.destroy())
  );
  readonly #lastServer = createServer((request, response) => {
    const { id } = decodeRelayRequest(request.headers[relayHeader], secret);
    if (this.#isSecondEarlier) delete request.headers.te;
    this.#forward(request, new CallerResponse(response, id))
      .catch(() => request.destroy());
  });

  constructor(options: ResponsePathOptions = {}) {
    this.#isIdempotent = options.isIdempotent ?? false;
    this.#deadlineMilliseconds = options.deadlineMilliseconds ??
      defaultDeadlineMilliseconds;
    this.#isRelayed = options.isRelayed ?? false;
    this.#isSecondEarlier = options.isSecondEarlier ?? false;
    this.gateway = new ForwardingFixture([this.target], options);
    this.lastGateway = this.#isRelayed
      ? new ForwardingFixture([this.target], options)
      : this.gateway;
    const { linkMegabitsPerSecond: megabitsPerSecond } = options;
    if (megabitsPerSecond === undefined) return;
    for (const gateway of new Set([this.gateway, this.lastGateway])) {
      this.#links.set(
        gateway,
        new GatewayLink({
          ...options,
          megabitsPerSecond,
          clock: gateway.clock,
          logger: this.#logger,
          metrics: createMetrics(),
        }),
      );
    }
  }

  /** The link of the gateway that callers reach. */
  get link(): GatewayLink {
    return this.#links.get(this.gateway)!;
  }

  /** Port of the gateway that callers reach. */
  get callersPort(): number {
    return portOf(this.#server);
  }

  async start(): Promise<void> {
    await this.target.start();
    for (const server of [this.#server, this.#lastServer]) {
      server.listen(0, "127.0.0.1");
      await once(server, "listening");
    }
  }

  stop(): void {
    for (const link of this.#links.values()) link.close();
    this.gateway.connections.close();
    this.lastGateway.connections.close();
    for (const server of [this.#server, this.#lastServer]) {
      server.close();
      server.closeAllConnections();
    }
    this.target.stop();
  }

  /** Reserves the passage of a response over a gateway's link, if it has one. */
  #enter(
    gateway: ForwardingFixture,
    answer: CallerResponse,
    routed: Record<string, unknown>,
  ): void {
    const decision = this.#links.get(gateway)?.admit(routed as never);
    if (decision?.kind === "admitted") answer.passage = decision.passage;
  }

  async #forward(
    request: IncomingMessage,
    answer: CallerResponse,
  ): Promise<void> {
    const routed = await this.#routedOf(request);
    this.#enter(this.lastGateway, answer, routed);
    const forwarder = new RequestForwarder({
      context: this.#contextOf(this.lastGateway) as never,
      routed: routed as never,
      answer,
      handOver: () => {},
    });
    answer.onClosed(() => forwarder.abandon());
    forwarder.start();
  }

  async #relay(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const answer = new CallerResponse(response);
    const routed = await this.#routedOf(request);
    this.#enter(this.gateway, answer, routed);
    const other = {
      name: "gateway-2",
      address: `127.0.0.1:${portOf(this.#lastServer)}`,
    };
    const forwarder = new RelayForwarder({
      context: {
        ...this.#contextOf(this.gateway),
        name: "gateway-1",
        secret,
        table: () => ({ routeVersion: () => 1, target: () => undefined }),
        relayConnections: this.gateway.connections,
        relays: {
          next: ({ excluded }: { readonly excluded: ReadonlySet<string> }) =>
            excluded.size === 0 ? other : undefined,
          begin: () => {},
          end: () => {},
        },
      } as never,
      routed: routed as never,
      answer,
      progress: { arrived: [], mayHaveRun: false },
    });
    answer.onClosed(() => forwarder.abandon());
    forwarder.start();
  }

  #contextOf(gateway: ForwardingFixture): Record<string, unknown> {
    return {
      ...gateway.context(),
      logger: this.#logger,
      link: this.#links.get(gateway),
    };
  }

  async #routedOf(
    request: IncomingMessage,
  ): Promise<Record<string, unknown>> {
    const body = await RequestBody.receive(request, {
      maximumBytes: maximumRequestBytes,
      maximumBufferedBytes: 64 * 1024,
    });
    const { url = "/" } = request;
    const requestId = url.slice(1);
    const routed = this.gateway.routed({
      requestId,
      path: url,
      requests: this.#isIdempotent ? RequestKind.idempotent : RequestKind.once,
      maximumTargets: this.#isIdempotent ? 2 : 1,
      deadlineMilliseconds: this.#deadlines.get(requestId) ??
        this.#deadlineMilliseconds,
    });
    return { ...routed, request, body };
  }

  /** Ends all connections of callers, as the kernel does for a killed process. */
  kill(): void {
    this.#server.closeAllConnections();
  }

  /** Does the same to the connections of the gateway that reaches the target. */
  killLastGateway(): void {
    (this.#isRelayed ? this.#lastServer : this.#server).closeAllConnections();
  }

  /** Sends a request and reads until its connection ends. */
  ask(request: CallerRequest): Promise<ReceivedResponse> {
    const { name, httpVersion = "1.1", deadlineMilliseconds } = request;
    if (deadlineMilliseconds !== undefined) {
      this.#deadlines.set(name, deadlineMilliseconds);
    }
    const socket = connect(this.callersPort, "127.0.0.1");
    const chunks: Buffer[] = [];
    let bytes = 0;
    let wasReset = false;
    socket.on("error", () => (wasReset = true));
    socket.once("end", () => (wasReset ||= hasBeenReset(socket)));
    socket.on("data", (chunk) => {
      chunks.push(chunk);
      bytes += chunk.length;
      request.onData?.(bytes, socket);
    });
    socket.write(
      `POST /${name} HTTP/${httpVersion}\r\nhost: h\r\nconnection: close\r\n` +
        `content-length: 0\r\n\r\n`,
    );
    return new Promise((resolve) =>
      socket.once("close", () => {
        const text = Buffer.concat(chunks).toString("latin1");
        resolve(readResponse(text, wasReset));
      })
    );
  }
}

function portOf(server: Server): number {
  return (server.address() as AddressInfo).port;
}

function readResponse(text: string, wasReset: boolean): ReceivedResponse {
  const at = text.indexOf(headEnd);
  if (at < 0) {
    return { status: 0, head: "", body: "", end: ResponseEnd.incomplete };
  }
  const head = text.slice(0, at).toLowerCase();
  const status = Number(head.slice(9, 12));
  const content = text.slice(at + headEnd.length);
  const length = /\r\ncontent-length: (\d+)/.exec(head)?.[1];
  if (/\r\ntransfer-encoding: chunked/.test(head)) {
    return { status, head, ...readChunks(content) };
  }
  if (length !== undefined) {
    const isComplete = content.length === Number(length);
    const end = isComplete ? ResponseEnd.complete : ResponseEnd.incomplete;
    return { status, head, body: content, end };
  }
  const end = wasReset ? ResponseEnd.incomplete : ResponseEnd.open;
  return { status, head, body: content, end };
}

function readChunks(
  content: string,
): { readonly body: string; readonly end: ResponseEnd } {
  const parts: string[] = [];
  let at = 0;
  for (;;) {
    const lineEnd = content.indexOf("\r\n", at);
    const size = lineEnd < 0 ? NaN : parseInt(content.slice(at, lineEnd), 16);
    const next = lineEnd + 2 + size + 2;
    if (size === 0 && content.slice(lineEnd) === headEnd) {
      return { body: parts.join(""), end: ResponseEnd.complete };
    }
    if (!(size > 0) || next > content.length) {
      const rest = Number.isNaN(size) ? "" : content.slice(lineEnd + 2);
      parts.push(rest);
      return { body: parts.join(""), end: ResponseEnd.incomplete };
    }
    parts.push(content.slice(lineEnd + 2, next - 2));
    at = next;
  }
}

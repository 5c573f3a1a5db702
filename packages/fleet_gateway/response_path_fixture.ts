import { createServer } from "node:http";
import type { Server } from "node:http";
import { connect } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { RequestKind } from "@kingcupglade/items";
import { CallerResponse } from "./caller_response.ts";
import { ForwardingFixture, RawServer } from "./forwarding_fixture.ts";
import { RequestForwarder } from "./request_forwarder.ts";

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
  /** @default 10000 */
  readonly deadlineMilliseconds?: number;
  /** Called with the number of bytes received so far. */
  readonly onData?: (bytes: number, socket: Socket) => void;
}

/** One target that writes bytes by hand, a gateway, and callers that read them. */
export class ResponsePath {
  readonly target = new RawServer();
  readonly gateway: ForwardingFixture;
  /** Lines that the gateway has logged at level info. */
  readonly lines: Record<string, unknown>[] = [];
  readonly #deadlines = new Map<string, number>();
  readonly #server: Server = createServer((request, response) => {
    const requestId = (request.url ?? "/").slice(1);
    const routed = this.gateway.routed({
      requestId,
      path: request.url ?? "/",
      requests: RequestKind.once,
      maximumTargets: 1,
      deadlineMilliseconds: this.#deadlines.get(requestId) ?? 10_000,
    });
    const forwarder = new RequestForwarder({
      context: { ...this.gateway.context(), logger: this.#logger } as never,
      routed: { ...routed, request } as never,
      answer: new CallerResponse(response),
      handOver: () => {},
    });
    response.once("close", () => forwarder.abandon());
    forwarder.start();
  });

  /** @param options Memory for held responses; 48 MiB by default. */
  constructor(options: { readonly responseMemoryBytes?: number } = {}) {
    this.gateway = new ForwardingFixture([this.target], options);
  }

  readonly #logger = {
    debug() {},
    info: (event: string, fields: Record<string, unknown>) =>
      void this.lines.push({ event, ...fields }),
    warn() {},
    error() {},
  };

  async start(): Promise<void> {
    await this.target.start();
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
  }

  stop(): void {
    this.gateway.connections.close();
    this.#server.close();
    this.#server.closeAllConnections();
    this.target.stop();
  }

  /** Ends all connections of callers, as the kernel does for a killed process. */
  kill(): void {
    this.#server.closeAllConnections();
  }

  /** Sends a request and reads until its connection ends. */
  ask(request: CallerRequest): Promise<ReceivedResponse> {
    const { name, httpVersion = "1.1", deadlineMilliseconds } = request;
    if (deadlineMilliseconds !== undefined) {
      this.#deadlines.set(name, deadlineMilliseconds);
    }
    const { port } = this.#server.address() as AddressInfo;
    const socket = connect(port, "127.0.0.1");
    const chunks: Buffer[] = [];
    let bytes = 0;
    let wasReset = false;
    socket.on("error", () => (wasReset = true));
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

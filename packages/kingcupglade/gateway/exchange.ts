import type { IncomingHttpHeaders, ServerResponse } from "node:http";
import { Header, Outcome } from "@kingcupglade/routing";
import { Agent } from "undici";
import type { Dispatcher } from "undici";

/** How an exchange with a target ended. */
export type ExchangeResult =
  /** The whole answer was passed to the caller. */
  | { readonly kind: "answered"; readonly status: number }
  /** The target said that it did not run the request; nothing was passed on. */
  | { readonly kind: "notRun"; readonly reason: string }
  /** No byte of the request left; it did not run. */
  | { readonly kind: "notSent" }
  /** The request may have run, and nothing was passed on. */
  | { readonly kind: "unknown"; readonly timedOut: boolean }
  /** The answer broke off after its head was passed on. */
  | { readonly kind: "truncated" };

/** One request to a target. */
export interface ExchangeRequest {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  /** Headers that the system adds. */
  readonly added: Readonly<Record<string, string>>;
  readonly timeoutMilliseconds: number;
  /** Called just before the request is handed over; false stops it. */
  readonly maySend: () => boolean;
}

const hopByHopHeaders: ReadonlySet<string> = new Set([
  "connection",
  "expect",
  "host",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "content-length",
]);

const unsentCodes: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Sends requests to targets and passes their answers on. */
export class ExchangeClient {
  readonly #agent: Agent;

  constructor(options: {
    readonly connectionsPerTarget: number;
    /** Authority of targets that speak TLS, PEM. */
    readonly authority?: Buffer | undefined;
  }) {
    this.#agent = new Agent({
      connections: options.connectionsPerTarget,
      pipelining: 1,
      connect: { timeout: 500, ca: options.authority },
    });
  }

  /** Carries out one exchange; the answer goes to `response`. */
  run(
    request: ExchangeRequest,
    response: ServerResponse,
  ): Promise<ExchangeResult> {
    if (!request.maySend()) return Promise.resolve({ kind: "notSent" });
    return new Promise((resolve) => {
      const handler = new ExchangeHandler(request, response, resolve);
      this.#agent.dispatch({
        origin: request.address,
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers: { ...forwardedHeaders(request.headers), ...request.added },
        body: request.body.length > 0 ? request.body : null,
        headersTimeout: 0,
        bodyTimeout: 0,
      }, handler);
    });
  }

  /** Closes every connection. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}

class ExchangeHandler implements Dispatcher.DispatchHandler {
  readonly #response: ServerResponse;
  readonly #resolve: (result: ExchangeResult) => void;
  readonly #timer: NodeJS.Timeout;
  readonly #cancel: () => void;
  #controller: Dispatcher.DispatchController | undefined;
  #status = 0;
  #refusal: string | undefined;
  #timedOut = false;
  #ended = false;

  constructor(
    request: ExchangeRequest,
    response: ServerResponse,
    resolve: (result: ExchangeResult) => void,
  ) {
    this.#response = response;
    this.#resolve = resolve;
    this.#cancel = () => this.#abort("the caller has gone");
    this.#timer = setTimeout(() => {
      this.#timedOut = true;
      this.#abort("the deadline has passed");
    }, request.timeoutMilliseconds);
    response.once("close", this.#cancel);
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#timedOut) this.#abort("the deadline has passed");
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (status < 200) return;
    this.#status = status;
    if (headers[Header.outcome] === Outcome.notRun) {
      this.#refusal = String(headers[Header.reason] ?? "");
      return;
    }
    this.#response.writeHead(status, {
      ...answerHeaders(headers),
      [Header.outcome]: Outcome.answered,
    });
    this.#response.on("drain", () => controller.resume());
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.#refusal !== undefined) return;
    if (!this.#response.write(chunk)) controller.pause();
  }

  onResponseEnd(): void {
    if (this.#refusal !== undefined) {
      return this.#end({ kind: "notRun", reason: this.#refusal });
    }
    this.#response.end();
    this.#end({ kind: "answered", status: this.#status });
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    if (this.#response.headersSent) {
      this.#response.destroy();
      return this.#end({ kind: "truncated" });
    }
    const code = "code" in error ? String(error.code) : "";
    this.#end(
      unsentCodes.has(code) || this.#controller === undefined
        ? { kind: "notSent" }
        : { kind: "unknown", timedOut: this.#timedOut },
    );
  }

  #abort(reason: string): void {
    if (!this.#ended) this.#controller?.abort(new Error(reason));
  }

  #end(result: ExchangeResult): void {
    if (this.#ended) return;
    this.#ended = true;
    clearTimeout(this.#timer);
    this.#response.off("close", this.#cancel);
    this.#resolve(result);
  }
}

function forwardedHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string | string[]> {
  const named = connectionHeaders(headers);
  const forwarded: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    const dropped = hopByHopHeaders.has(name) || named.has(name) ||
      (name.startsWith("kingcupglade-"));
    if (value !== undefined && !dropped) forwarded[name] = value;
  }
  return forwarded;
}

function answerHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string | string[]> {
  const named = connectionHeaders(headers);
  const passed: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    const dropped = (hopByHopHeaders.has(name) && name !== "content-length") ||
      named.has(name) || name.startsWith("kingcupglade-");
    if (value !== undefined && !dropped) passed[name] = value;
  }
  return passed;
}

function connectionHeaders(headers: IncomingHttpHeaders): ReadonlySet<string> {
  return new Set(
    String(headers.connection ?? "").toLowerCase().split(",").map((each) =>
      each.trim()
    ),
  );
}

import type { IncomingHttpHeaders } from "node:http";
import { Header, Outcome } from "@kingcupglade/routing";
import { CopyDetector, isValidStatus } from "@kingcupglade/transport";
import type { Dispatcher } from "undici";
import type { ResponseSink } from "./response_sink.ts";
import { selectResponseHeaders, singleValue } from "./exchange_headers.ts";
import { UnknownCause } from "./exchange_types.ts";
import type { ExchangeRequest, ExchangeResult } from "./exchange_types.ts";

const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/** Options of an {@link ExchangeHandler}. */
export interface ExchangeHandlerOptions {
  readonly request: ExchangeRequest;
  /** Exchange ID that is sent to the target, which may echo it. */
  readonly id: string;
  readonly sink: ResponseSink;
  /** Whether a response is accepted only if it echoes the exchange ID. */
  readonly requiresEcho: boolean;
  /** Called with whether a response echoed the exchange ID. */
  readonly recordEcho: (echoes: boolean) => void;
  readonly resolve: (result: ExchangeResult) => void;
}

/** Handles the events of one exchange and determines its result. */
export class ExchangeHandler implements Dispatcher.DispatchHandler {
  readonly #request: ExchangeRequest;
  readonly #id: string;
  readonly #sink: ResponseSink;
  readonly #requiresEcho: boolean;
  readonly #recordEcho: (echoes: boolean) => void;
  readonly #resolve: (result: ExchangeResult) => void;
  readonly #timer: NodeJS.Timeout;
  readonly #removeCloseListener: () => void;
  readonly #copies = new CopyDetector((name, value) =>
    name === Header.exchange && value !== this.#id
  );
  #controller: Dispatcher.DispatchController | undefined;
  #mayHaveBeenSent = false;
  #status = 0;
  #refusal: ExchangeResult | undefined;
  #cause: UnknownCause = UnknownCause.connectionLost;
  #hasEnded = false;

  constructor(options: ExchangeHandlerOptions) {
    this.#request = options.request;
    this.#id = options.id;
    this.#sink = options.sink;
    this.#requiresEcho = options.requiresEcho;
    this.#recordEcho = options.recordEcho;
    this.#resolve = options.resolve;
    this.#removeCloseListener = this.#sink.onClose(() =>
      this.#abort(UnknownCause.cancelled)
    );
    this.#timer = setTimeout(
      () => this.#abort(UnknownCause.deadline),
      options.request.timeoutMilliseconds,
    );
  }

  /** Ends an exchange that the HTTP client did not accept. */
  rejectBeforeSending(): void {
    this.#end({ kind: "notSent" });
  }

  /** Called by the HTTP client just before it writes the first byte. */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    // A second start would send the request twice.
    if (this.#hasEnded || this.#mayHaveBeenSent || !this.#request.maySend()) {
      return controller.abort(new Error("the request must not be sent"));
    }
    this.#controller = controller;
    this.#mayHaveBeenSent = true;
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (!isValidStatus(status)) return this.#abort(UnknownCause.badAnswer);
    if (status < 200) return;
    if (!this.#isTrustworthy(status, headers)) {
      return this.#abort(UnknownCause.badAnswer);
    }
    this.#status = status;
    this.#refusal = refusalOf(status, headers);
    if (this.#refusal) return;
    const passedOn = selectResponseHeaders(headers);
    passedOn.push(Header.outcome, Outcome.answered);
    this.#sink.begin(status, passedOn);
    this.#timer.refresh();
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.#refusal) return;
    // Only connections to targets that echo IDs carried another exchange before.
    if (this.#requiresEcho && this.#copies.add(chunk)) {
      return this.#abort(UnknownCause.badAnswer);
    }
    this.#timer.refresh();
    if (this.#sink.write(chunk)) return;
    controller.pause();
    this.#sink.onDrain(() => controller.resume());
  }

  onResponseEnd(): void {
    if (this.#refusal) return this.#end(this.#refusal);
    this.#sink.end();
    this.#end({ kind: "answered", status: this.#status });
  }

  onResponseError(): void {
    if (this.#refusal) return this.#end(this.#refusal);
    if (!this.#mayHaveBeenSent) return this.#end({ kind: "notSent" });
    const hasBegun = this.#sink.hasBegun;
    if (hasBegun) this.#sink.fail();
    this.#end(
      hasBegun
        ? { kind: "truncated" }
        : { kind: "unknown", cause: this.#cause, reason: undefined },
    );
  }

  // Without framing, a truncated response looks complete. A response that
  // echoes another ID belongs to another exchange.
  #isTrustworthy(status: number, headers: IncomingHttpHeaders): boolean {
    const coding = headers["transfer-encoding"]?.trim().toLowerCase();
    // A body in any other coding ends with its connection.
    const isFramed = this.#request.method === "HEAD" ||
      bodilessStatuses.has(status) ||
      (coding === undefined && headers["content-length"] !== undefined) ||
      coding === "chunked";
    const echo = headers[Header.exchange];
    this.#recordEcho(echo === this.#id);
    return isFramed &&
      (echo === this.#id || (echo === undefined && !this.#requiresEcho));
  }

  #abort(cause: UnknownCause): void {
    if (this.#hasEnded) return;
    if (!this.#mayHaveBeenSent) return this.#end({ kind: "notSent" });
    this.#cause = cause;
    this.#controller?.abort(new Error(`the exchange was aborted: ${cause}`));
  }

  #end(result: ExchangeResult): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    clearTimeout(this.#timer);
    this.#removeCloseListener();
    this.#resolve(result);
  }
}

/** Returns the result if a response's head is a refusal. */
function refusalOf(
  status: number,
  headers: IncomingHttpHeaders,
): ExchangeResult | undefined {
  if (status < 400) return undefined;
  const outcome = singleValue(headers, Header.outcome);
  const reason = singleValue(headers, Header.reason) ?? "";
  if (outcome === Outcome.notRun) {
    const seconds = Number(singleValue(headers, "retry-after"));
    return {
      kind: "notRun",
      reason,
      status,
      retryAfterSeconds: seconds > 0 ? seconds : undefined,
    };
  }
  if (outcome === Outcome.unknown) {
    return { kind: "unknown", cause: UnknownCause.connectionLost, reason };
  }
  return undefined;
}

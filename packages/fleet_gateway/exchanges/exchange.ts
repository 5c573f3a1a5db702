import type { IncomingHttpHeaders } from "node:http";
import {
  BodyMemory,
  BodyMemoryError,
  CopyDetector,
  isValidStatus,
  PartCollector,
} from "@kingcupglade/transport";
import type { BodyReservation } from "@kingcupglade/transport";
import type { Dispatcher } from "undici";
import type { CallerWire, TargetResponseHead } from "../callers/caller_wire.ts";
import type { ReadPace } from "../link/read_pace.ts";
import { BodyFraming, framingOf } from "../callers/response_framing.ts";
import type { ExchangeResult } from "./exchange_result.ts";
import { causeOf, LossCause } from "./loss_cause.ts";
import { Surplus } from "./surplus_detector.ts";
import { trimHeaders } from "./trim_headers.ts";
import type { TargetConnection } from "../targets/address_pool.ts";

export { LossCause };
export type { ExchangeResult };

/** Responses up to this size are buffered until they are complete. */
const maximumBufferedBytes = 256 * 1024;

/**
 * Responses of which a part would look whole are held up to this size, as far as
 * there is memory for them.
 */
const maximumHeldBytes = 8 * 1024 * 1024;

/** More interim (1xx) responses indicate that no final response will follow. */
const maximumInterimResponses = 16;

/** A request that is sent to a target. */
export interface ExchangeRequest {
  readonly method: string;
  readonly path: string;
  /** Names and values, alternating. */
  readonly headers: string[];
  readonly body: Buffer | NodeJS.ReadableStream | null;
  /** ID that the response must carry. */
  readonly requestId: string;
  readonly timeoutMilliseconds: number;
}

/** Status and headers of a response, as received and decoded. */
export interface ResponseHead extends TargetResponseHead {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** What marks the end of the body, as the target sent it. */
  readonly framing: BodyFraming;
}

/** Receives a response that is too large to be buffered. */
export interface ResponseStream {
  /** Whether a part of the response would look whole if this VM were lost. */
  wouldLookWhole(head: ResponseHead): boolean;
  begin(head: ResponseHead, first: readonly Buffer[]): void;
  /** Returns false to pause the body until `onDrain` calls back. */
  write(chunk: Buffer): boolean;
  onDrain(listener: () => void): void;
  end(): void;
  /** Called when the response ends before it is complete. */
  fail(): void;
}

/** Sends one request on one connection and receives the response. */
export class Exchange implements Dispatcher.DispatchHandler {
  readonly result: Promise<ExchangeResult>;
  readonly #request: ExchangeRequest;
  readonly #connection: TargetConnection;
  readonly #wire: CallerWire;
  readonly #stream: ResponseStream;
  readonly #onHead: (head: ResponseHead) => void;
  readonly #mayStart: () => boolean;
  readonly #onData: () => void;
  readonly #pace: ReadPace | undefined;
  readonly #reservation: BodyReservation;
  readonly #timer: NodeJS.Timeout;
  #resolve!: (result: ExchangeResult) => void;
  #controller: Dispatcher.DispatchController | undefined;
  #head: ResponseHead | undefined;
  readonly #buffered = new PartCollector();
  #bytes = 0;
  #lastPart: Buffer | undefined;
  readonly #copies = new CopyDetector((name, value) =>
    this.#isOfCopy(name, value)
  );
  /** Whether the body may hold bytes that are not its own. */
  #isSuspect: boolean;
  /** Last part of a streamed body, until it is known to be its own. */
  #withheld: Buffer | undefined;
  #isStreaming = false;
  #interimResponses = 0;
  #isSent = false;
  #hasEnded = false;

  constructor(options: {
    readonly request: ExchangeRequest;
    readonly connection: TargetConnection;
    readonly wire: CallerWire;
    readonly stream: ResponseStream;
    /**
     * Memory for what is held of the response; released if there is none. The
     * owner releases it once the response was passed on. @default no limit
     */
    readonly reservation?: BodyReservation;
    /** Called when the head of the response to this request arrives. */
    readonly onHead?: (head: ResponseHead) => void;
    /**
     * Returns whether the request may still be sent, immediately before its
     * first byte is. @default true
     */
    readonly mayStart?: () => boolean;
    /** Called when a part of the body arrives. */
    readonly onData?: () => void;
    /** Paces what is read. @default as fast as it arrives */
    readonly pace?: ReadPace | undefined;
  }) {
    this.#request = options.request;
    this.#connection = options.connection;
    this.#isSuspect = options.connection.wasUsed;
    this.#wire = options.wire;
    this.#stream = options.stream;
    this.#reservation = options.reservation ?? new BodyMemory().reserve();
    this.#onHead = options.onHead ?? (() => {});
    this.#mayStart = options.mayStart ?? (() => true);
    this.#onData = options.onData ?? (() => {});
    this.#pace = options.pace;
    this.result = new Promise((resolve) => (this.#resolve = resolve));
    this.#timer = setTimeout(
      () => this.#abort("the time is up", LossCause.timeout),
      options.request.timeoutMilliseconds,
    );
    this.#dispatch();
  }

  /** Whether bytes of the request may have reached the target. */
  get isSent(): boolean {
    return this.#isSent;
  }

  /** Whether the target has sent no byte, although the request was sent to it. */
  get isUnheard(): boolean {
    return this.#isSent && !this.#head && this.#interimResponses === 0;
  }

  /** Time for which the response was not read because of the link. */
  get heldMilliseconds(): number {
    return this.#pace?.heldMilliseconds ?? 0;
  }

  /** Aborts the exchange because the response is no longer needed. */
  abandon(): void {
    this.#abort("the response is no longer needed", LossCause.abandoned);
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    // A second start would send the request a second time.
    if (this.#hasEnded || this.#isSent) {
      return controller.abort(new Error("the request must not be sent again"));
    }
    if (!this.#mayStart()) return this.#withhold(controller);
    this.#controller = controller;
    this.#isSent = true;
  }

  #withhold(controller: Dispatcher.DispatchController): void {
    const reason = "the request may no longer be sent";
    this.#settle({ kind: "notSent", reason, isWithheld: true });
    controller.abort(new Error(reason));
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    received: IncomingHttpHeaders,
  ): void {
    if (this.#hasEnded) return;
    if (!isValidStatus(status)) {
      return this.#abort(
        "the response has an invalid status",
        LossCause.invalid,
      );
    }
    if (status < 200) return this.#countInterimResponse();
    const headers = trimHeaders(received);
    const head = this.#wire.readResponse(status, headers);
    if (head.requestId !== this.#request.requestId) {
      this.#connection.recordSurplus();
      return this.#abort(
        "the response belongs to another request",
        LossCause.invalid,
      );
    }
    if (headers["content-encoding"] !== undefined) {
      return this.#abort(
        "the response has a content encoding",
        LossCause.invalid,
      );
    }
    const { method } = this.#request;
    const framing = framingOf({ method, status, headers });
    if (!framing) {
      return this.#abort(
        "the response has an unknown transfer coding",
        LossCause.invalid,
      );
    }
    this.#connection.allowance.renew();
    this.#head = {
      ...head,
      status,
      headers,
      framing: head.isOpenAtTarget ? BodyFraming.connection : framing,
    };
    this.#onHead(this.#head);
    if (this.#hasEnded || framing === BodyFraming.none) return;
    const length = framing === BodyFraming.length
      ? Number(headers["content-length"])
      : NaN;
    if (this.#pace?.begin({ status, length }) === false) this.#holdForLink();
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.#hasEnded) return;
    this.#connection.allowance.renew();
    this.#onData();
    this.#bytes += chunk.length;
    this.#lastPart = chunk;
    if (this.#copies.add(chunk)) {
      this.#connection.recordSurplus();
      return this.#abort(
        "the body holds the head of a copy of a response",
        LossCause.invalid,
      );
    }
    this.#take(chunk);
    if (!this.#hasEnded && this.#pace?.record(chunk.length) === false) {
      this.#holdForLink();
    }
  }

  // A body with a length that holds the head of its own response may quote it, if
  // no bytes follow that it displaced.
  #isOfCopy(name: string, value: string): boolean {
    const { requestId } = this.#wire.readResponse(200, { [name]: value });
    if (requestId !== "" && requestId === this.#request.requestId) {
      this.#isSuspect = true;
      return this.#head!.framing === BodyFraming.connection;
    }
    return this.#connection.requestIds.has(requestId);
  }

  // What was read already is still parsed after a hold.
  #holdForLink(): void {
    if (!this.#pace!.isHeld) this.#pace!.hold(this.#connection.reads.hold());
  }

  #take(chunk: Buffer): void {
    if (this.#isStreaming) return this.#streamChunk(chunk);
    this.#buffered.add(chunk);
    if (this.#isLastPart || this.#mayBuffer(chunk.length)) return;
    this.#isStreaming = true;
    this.#stream.begin(this.#head!, this.#buffered.take());
  }

  onResponseEnd(): void {
    if (this.#hasEnded) return;
    const { surplus, wasReset } = this.#connection;
    if (!this.#head) {
      return this.#abort("the response has no head", LossCause.invalid);
    }
    // A response without a length is complete when its connection ends, unless
    // the connection was reset.
    if (wasReset) {
      return this.#abort("the connection was reset", LossCause.closed);
    }
    const hasLength = this.#head.framing === BodyFraming.length;
    surplus.end(hasLength ? this.#lastPart : undefined);
    // A copy of an earlier response may be a part of the body. The bytes that it
    // displaced follow at once, if they are not yet read.
    if (hasLength && this.#isSuspect) setImmediate(() => this.#complete());
    else this.#complete();
  }

  #complete(): void {
    if (this.#hasEnded) return;
    const { surplus } = this.#connection;
    if (this.#isSuspect && surplus.found === Surplus.body) {
      return this.#abort(
        "the target sent more bytes than the response has",
        LossCause.invalid,
      );
    }
    if (this.#withheld) this.#stream.write(this.#withheld);
    if (this.#isStreaming) this.#stream.end();
    this.#settle({
      kind: "answered",
      head: this.#head!,
      body: this.#isStreaming ? null : this.#buffered.takeJoined(),
    });
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    failure: Error,
  ): void {
    this.#fail(failure.message, causeOf(failure));
  }

  #dispatch(): void {
    const { method, path, headers, body } = this.#request;
    try {
      this.#connection.client.dispatch({
        method: method as Dispatcher.HttpMethod,
        path,
        headers,
        body: body as Buffer | null,
      }, this);
    } catch (failure) {
      this.#fail((failure as Error).message, LossCause.invalid);
    }
  }

  #countInterimResponse(): void {
    this.#interimResponses += 1;
    if (this.#interimResponses <= maximumInterimResponses) return;
    this.#abort(
      "the target sent too many interim responses",
      LossCause.invalid,
    );
  }

  get #isLastPart(): boolean {
    const { framing, headers } = this.#head!;
    return this.#isSuspect && framing === BodyFraming.length &&
      this.#bytes === Number(headers["content-length"]);
  }

  #mayBuffer(addedBytes: number): boolean {
    if (this.#bytes <= maximumBufferedBytes) return true;
    const mayHold = this.#bytes <= maximumHeldBytes &&
      this.#stream.wouldLookWhole(this.#head!);
    if (!mayHold) return false;
    try {
      this.#reservation.add(addedBytes);
      return true;
    } catch (failure) {
      if (failure instanceof BodyMemoryError) return false;
      throw failure;
    }
  }

  #streamChunk(chunk: Buffer): void {
    // The end of the body is sent once it is known to be its own.
    if (this.#isLastPart) {
      this.#withheld = chunk;
      return;
    }
    if (this.#stream.write(chunk)) return;
    this.#stream.onDrain(this.#connection.reads.hold());
  }

  #abort(reason: string, cause: LossCause): void {
    if (this.#hasEnded) return;
    this.#fail(reason, cause);
    this.#controller?.abort(new Error(reason));
    void this.#connection.client.destroy();
  }

  #fail(reason: string, cause: LossCause): void {
    if (this.#hasEnded) return;
    if (this.#isStreaming) this.#stream.fail();
    this.#settle(
      this.#isSent
        ? { kind: "unknown", reason, cause }
        : { kind: "notSent", reason },
    );
  }

  #settle(result: ExchangeResult): void {
    this.#hasEnded = true;
    this.#connection.reads.clear();
    clearTimeout(this.#timer);
    this.#pace?.end(result.kind === "answered");
    if (result.kind !== "answered") this.#reservation.release();
    this.#resolve(result);
  }
}

import type { IncomingHttpHeaders } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { PartCollector } from "@kingcupglade/transport";
import type { FramingBudget, ReadBody } from "@kingcupglade/transport";
import type { Dispatcher } from "undici";
import type { ReadHold } from "./read_hold.ts";

type Controller = Dispatcher.DispatchController;

/** Options of a {@link BodyJoiner}. */
export interface BodyJoinerOptions {
  readonly budget: FramingBudget;
  /** Stops the reading while the budget is used up. */
  readonly reads: ReadHold;
  /** Called when a response is read no further for the first time. */
  readonly onHeld: () => void;
}

/**
 * Passes on the chunks of a body that arrive in one read as one part, and reads
 * the next ones when the budget for framing allows it.
 */
export class BodyJoiner {
  readonly #options: BodyJoinerOptions;
  readonly #parts = new PartCollector();
  #pass: (part: Buffer) => void = () => {};
  #readBytes = 0;
  /** Whether what is read next may be of a body. */
  #isInBody = false;
  /** Whether the last read brought the head, which is not of the framing. */
  #hasReadHead = false;
  #wasHeld = false;
  #release: () => void = () => {};

  constructor(options: BodyJoinerOptions) {
    this.#options = options;
  }

  /** Applies to a socket that is read by calls of `read`. */
  applyTo(socket: Socket): void {
    const read = socket.read.bind(socket);
    socket.read = (size?: number) => {
      // The parser is done with what was read before.
      this.#finishRead();
      const bytes = read(size);
      this.#readBytes = bytes?.length ?? 0;
      return bytes;
    };
  }

  /** Returns a handler of a request that receives joined parts. */
  wrap(handler: Dispatcher.DispatchHandler): Dispatcher.DispatchHandler {
    return new JoiningHandler(this, handler);
  }

  /** Records the head of a response. */
  begin(pass: (part: Buffer) => void): void {
    this.#pass = pass;
    this.#isInBody = true;
    this.#hasReadHead = true;
    this.#wasHeld = false;
  }

  /** Adds a chunk of the body. */
  add(chunk: Buffer): void {
    this.#parts.add(chunk);
  }

  /** Passes on the last part, as the response is complete. */
  end(): void {
    this.#passOn();
    this.#reset();
  }

  /** Forgets what was not passed on, as the response was lost. */
  discard(): void {
    this.#parts.take();
    this.#reset();
  }

  #reset(): void {
    this.#isInBody = false;
    this.#release();
  }

  #passOn(): void {
    if (this.#parts.bytes === 0) return;
    for (const part of this.#parts.take()) this.#pass(part);
  }

  #finishRead(): void {
    const readBytes = this.#readBytes;
    if (readBytes === 0) return;
    this.#readBytes = 0;
    const bodyBytes = this.#parts.bytes;
    this.#passOn();
    if (this.#hasReadHead) this.#hasReadHead = false;
    else if (this.#isInBody) {
      this.#takeFraming({ framingBytes: readBytes - bodyBytes, bodyBytes });
    }
  }

  #takeFraming(read: ReadBody): void {
    const { budget, reads, onHeld } = this.#options;
    const waitMilliseconds = budget.take(read);
    if (waitMilliseconds === 0) return;
    this.#release = reads.hold();
    setTimeout(this.#release, waitMilliseconds).unref();
    if (this.#wasHeld) return;
    this.#wasHeld = true;
    onHeld();
  }
}

/** Receives the chunks of one response for a {@link BodyJoiner}. */
class JoiningHandler implements Dispatcher.DispatchHandler {
  readonly #joiner: BodyJoiner;
  readonly #handler: Dispatcher.DispatchHandler;

  constructor(joiner: BodyJoiner, handler: Dispatcher.DispatchHandler) {
    this.#joiner = joiner;
    this.#handler = handler;
  }

  onRequestStart(controller: Controller, context: unknown): void {
    this.#handler.onRequestStart?.(controller, context);
  }

  onRequestUpgrade(
    controller: Controller,
    status: number,
    headers: IncomingHttpHeaders,
    socket: Duplex,
  ): void {
    this.#handler.onRequestUpgrade?.(controller, status, headers, socket);
  }

  onResponseStart(
    controller: Controller,
    status: number,
    headers: IncomingHttpHeaders,
    reason?: string,
  ): void {
    this.#joiner.begin((part) =>
      this.#handler.onResponseData?.(controller, part)
    );
    this.#handler.onResponseStart?.(controller, status, headers, reason);
  }

  onResponseData(_controller: Controller, chunk: Buffer): void {
    this.#joiner.add(chunk);
  }

  onResponseEnd(controller: Controller, trailers: IncomingHttpHeaders): void {
    this.#joiner.end();
    this.#handler.onResponseEnd?.(controller, trailers);
  }

  onResponseError(controller: Controller, failure: Error): void {
    this.#joiner.discard();
    this.#handler.onResponseError?.(controller, failure);
  }
}

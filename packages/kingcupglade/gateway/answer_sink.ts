import type { ServerResponse } from "node:http";
import { headersByName } from "./exchange_headers.ts";
import type { HeaderList, HeaderValues } from "./exchange_headers.ts";

/** Takes the answer of a target as it arrives. */
export abstract class AnswerSink {
  /** Whether the head was taken. */
  abstract get hasBegun(): boolean;
  /** Whether nobody wants the answer any more. */
  abstract get isClosed(): boolean;
  /** Bytes of the body that were taken. */
  abstract get bytes(): number;
  abstract begin(status: number, headers: HeaderList): void;
  /** Takes a part of the body; false asks for a pause until it is drained. */
  abstract write(chunk: Buffer): boolean;
  /** The answer is whole. */
  abstract end(): void;
  /** The answer broke off. */
  abstract fail(): void;
  /** Calls back once when more can be taken, after a write returned false. */
  abstract onDrain(listener: () => void): void;
  /**
   * Calls back when the receiver goes, in place of an earlier listener; the
   * function returned stops that.
   */
  abstract onClose(listener: () => void): () => void;
}

/** Passes an answer to a caller. */
export class ResponseSink extends AnswerSink {
  readonly #response: ServerResponse;
  #bytes = 0;
  #isWatched = false;
  #closeListener: (() => void) | undefined;

  constructor(response: ServerResponse) {
    super();
    this.#response = response;
  }

  override get hasBegun(): boolean {
    return this.#response.headersSent;
  }

  override get isClosed(): boolean {
    return this.#response.destroyed;
  }

  override get bytes(): number {
    return this.#bytes;
  }

  override begin(status: number, headers: HeaderList): void {
    this.#response.writeHead(status, headers as string[]);
  }

  override write(chunk: Buffer): boolean {
    this.#bytes += chunk.length;
    return this.#response.write(chunk);
  }

  override end(): void {
    this.#response.end();
  }

  // Closing the connection is the only way to tell that a body is not whole.
  override fail(): void {
    this.#response.destroy();
  }

  override onDrain(listener: () => void): void {
    this.#response.once("drain", listener);
  }

  override onClose(listener: () => void): () => void {
    if (!this.#isWatched) this.#response.on("close", () => this.#notify());
    this.#isWatched = true;
    this.#closeListener = listener;
    return () => {
      if (this.#closeListener === listener) this.#closeListener = undefined;
    };
  }

  #notify(): void {
    this.#closeListener?.();
  }
}

/** A whole answer. */
export interface CollectedAnswer {
  readonly status: number;
  readonly headers: HeaderValues;
  readonly body: Buffer;
}

/** Keeps an answer in memory up to a size. */
export class CollectingSink extends AnswerSink {
  readonly #maximumBytes: number;
  readonly #chunks: Buffer[] = [];
  #length = 0;
  #head: Pick<CollectedAnswer, "status" | "headers"> | undefined;
  #answer: CollectedAnswer | undefined;
  #close: () => void = () => {};

  constructor(options: { readonly maximumBytes: number }) {
    super();
    this.#maximumBytes = options.maximumBytes;
  }

  /** The answer, when it is whole. */
  get answer(): CollectedAnswer | undefined {
    return this.#answer;
  }

  // The receiver sees nothing before the answer is whole.
  override get hasBegun(): boolean {
    return false;
  }

  override get isClosed(): boolean {
    return this.#length > this.#maximumBytes;
  }

  override get bytes(): number {
    return this.#length;
  }

  override begin(status: number, headers: HeaderList): void {
    this.#head = { status, headers: headersByName(headers) };
  }

  override write(chunk: Buffer): boolean {
    this.#length += chunk.length;
    if (this.isClosed) {
      this.#close();
      return true;
    }
    this.#chunks.push(chunk);
    return true;
  }

  override end(): void {
    if (!this.#head) return;
    this.#answer = {
      ...this.#head,
      body: Buffer.concat(this.#chunks, this.#length),
    };
  }

  override fail(): void {
    this.#chunks.length = 0;
  }

  override onDrain(): void {}

  override onClose(listener: () => void): () => void {
    this.#close = listener;
    return () => (this.#close = () => {});
  }
}

import type { ServerResponse } from "node:http";
import { hasCallerLeft, onExchangeEnd } from "@kingcupglade/transport";
import { headersByName } from "./exchange_headers.ts";
import type { HeaderList, HeaderValues } from "./exchange_headers.ts";

/** Maximum body size of a response that is sent in one write. */
const maximumCoalescedBytes = 4096;

/** Receives the response of a target as it arrives. */
export abstract class ResponseSink {
  /** Whether the head has been received. */
  abstract get hasBegun(): boolean;
  /** Whether the response is no longer needed. */
  abstract get isClosed(): boolean;
  /** Number of body bytes received. */
  abstract get bytes(): number;
  /** Starts the response with its head. */
  abstract begin(status: number, headers: HeaderList): void;
  /** Writes a part of the body; false means to pause until it has drained. */
  abstract write(chunk: Buffer): boolean;
  /** Ends a complete response. */
  abstract end(): void;
  /** Ends a truncated response. */
  abstract fail(): void;
  /** Calls the listener once after a write returned false and has drained. */
  abstract onDrain(listener: () => void): void;
  /**
   * Calls the listener when the response is no longer needed; replaces an
   * earlier listener. The returned function removes the listener.
   */
  abstract onClose(listener: () => void): () => void;
}

/**
 * Passes a response to a caller. A small response is sent in one write if it
 * arrives complete before the next tick; otherwise, the part that has arrived
 * is sent at that tick.
 */
export class CallerResponseSink extends ResponseSink {
  readonly #response: ServerResponse;
  /** A head that has not been sent, as its body may arrive with it. */
  #head: { readonly status: number; readonly headers: HeaderList } | undefined;
  #chunk: Buffer | undefined;
  #hasBegun = false;
  #bytes = 0;
  #isListening = false;
  #closeListener: (() => void) | undefined;

  constructor(response: ServerResponse) {
    super();
    this.#response = response;
  }

  override get hasBegun(): boolean {
    return this.#hasBegun;
  }

  override get isClosed(): boolean {
    return this.#response.destroyed || hasCallerLeft(this.#response.req);
  }

  override get bytes(): number {
    return this.#bytes;
  }

  override begin(status: number, headers: HeaderList): void {
    this.#hasBegun = true;
    this.#head = { status, headers };
    if (isSmall(headers)) process.nextTick(flushHead, this);
    else this.flushHead();
  }

  override write(chunk: Buffer): boolean {
    this.#bytes += chunk.length;
    if (this.#head && !this.#chunk) {
      this.#chunk = chunk;
      return true;
    }
    this.flushHead();
    return this.#response.write(chunk);
  }

  override end(): void {
    const [head, chunk] = [this.#head, this.#chunk];
    if (!head || !chunk) {
      this.flushHead();
      return void this.#response.end();
    }
    this.#head = undefined;
    this.#response.writeHead(head.status, head.headers as string[]);
    // Node joins a head and a body of the same encoding into one string.
    this.#response.end(chunk.toString("latin1"), "latin1");
  }

  /** Sends a head that has not been sent, with the chunk received so far. */
  flushHead(): void {
    const head = this.#head;
    if (!head) return;
    this.#head = undefined;
    this.#response.writeHead(head.status, head.headers as string[]);
    if (this.#chunk) this.#response.write(this.#chunk);
  }

  // Closing the connection is the only way to signal that a body is incomplete.
  override fail(): void {
    this.flushHead();
    this.#response.destroy();
  }

  override onDrain(listener: () => void): void {
    this.#response.once("drain", listener);
  }

  override onClose(listener: () => void): () => void {
    this.#closeListener = listener;
    if (!this.#isListening) onExchangeEnd(this.#response, () => this.#notify());
    this.#isListening = true;
    return () => {
      if (this.#closeListener === listener) this.#closeListener = undefined;
    };
  }

  #notify(): void {
    this.#closeListener?.();
  }
}

function flushHead(sink: CallerResponseSink): void {
  sink.flushHead();
}

function isSmall(headers: HeaderList): boolean {
  const index = headers.indexOf("content-length");
  return index >= 0 && Number(headers[index + 1]) <= maximumCoalescedBytes;
}

/** A complete response. */
export interface BufferedResponse {
  readonly status: number;
  readonly headers: HeaderValues;
  readonly body: Buffer;
}

/** Buffers a response in memory up to a maximum size. */
export class BufferingSink extends ResponseSink {
  readonly #maximumBytes: number;
  readonly #chunks: Buffer[] = [];
  #length = 0;
  #head: Pick<BufferedResponse, "status" | "headers"> | undefined;
  #response: BufferedResponse | undefined;
  #close: () => void = () => {};

  constructor(options: { readonly maximumBytes: number }) {
    super();
    this.#maximumBytes = options.maximumBytes;
  }

  /** The response, once it is complete. */
  get answer(): BufferedResponse | undefined {
    return this.#response;
  }

  // Nothing is passed on before the response is complete.
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
    this.#response = {
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

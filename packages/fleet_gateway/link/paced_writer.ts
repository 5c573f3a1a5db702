import type { ServerResponse } from "node:http";
import type { LinkPassage, PassageTransfer } from "./link_passage.ts";

/** Options of a {@link PacedWriter}. */
export interface PacedWriterOptions {
  readonly response: ServerResponse;
  readonly passage: LinkPassage;
  /**
   * Whether a part of the body would look whole if this VM were lost: then the
   * body is written in one call. @default false
   */
  readonly isIndivisible?: boolean;
}

/** Writes a large body to a caller in the slices that the link grants. */
export class PacedWriter {
  readonly #options: PacedWriterOptions;
  readonly #transfer: PassageTransfer;
  readonly #pending: Buffer[] = [];
  #pendingBytes = 0;
  #drainListeners: (() => void)[] = [];
  #end: (() => void) | undefined;
  #isWaiting = false;
  #isDiscarded = false;

  constructor(options: PacedWriterOptions) {
    this.#options = options;
    this.#transfer = options.passage.openWrite(() => {
      this.#isWaiting = false;
      this.#move();
    });
  }

  /** Bytes that were not written yet. */
  get pendingBytes(): number {
    return this.#pendingBytes;
  }

  /** Returns false if the caller should wait for {@link onDrain}. */
  write(chunk: Buffer): boolean {
    if (this.#isDiscarded) return true;
    if (chunk.length > 0) this.#pending.push(chunk);
    this.#pendingBytes += chunk.length;
    this.#move();
    return this.#pendingBytes === 0 &&
      !this.#options.response.writableNeedDrain;
  }

  /** Calls back once when all was written. */
  onDrain(listener: () => void): void {
    this.#drainListeners.push(listener);
  }

  /** Calls back once all was written, to end the response. */
  end(end: () => void): void {
    this.#end = end;
    this.#move();
  }

  /** Forgets what was not written, and returns the share of the link. */
  discard(): void {
    this.#isDiscarded = true;
    this.#pending.length = 0;
    this.#pendingBytes = 0;
    this.#transfer.end();
    this.#callDrainListeners();
  }

  // Continues with what is granted, asks for more, or waits for the caller.
  #move(): void {
    const { response } = this.#options;
    while (!this.#isDiscarded && this.#pendingBytes > 0) {
      if (response.writableNeedDrain) return this.#awaitDrain();
      if (this.#transfer.credit <= 0) return this.#ask();
      this.#writeSlice();
    }
    if (this.#isDiscarded) return;
    if (response.writableNeedDrain && !this.#end) return this.#awaitDrain();
    this.#callDrainListeners();
    if (!this.#end || this.#pendingBytes > 0) return;
    const end = this.#end;
    this.#end = undefined;
    this.#transfer.end();
    end();
  }

  #writeSlice(): void {
    const { response, isIndivisible = false } = this.#options;
    const [first] = this.#pending;
    const bytes = isIndivisible
      ? this.#pendingBytes
      : Math.min(first!.length, this.#transfer.credit);
    if (isIndivisible) {
      response.write(Buffer.concat(this.#pending.splice(0)));
    } else {
      response.write(first!.subarray(0, bytes));
      if (bytes === first!.length) this.#pending.shift();
      else this.#pending[0] = first!.subarray(bytes);
    }
    this.#pendingBytes -= bytes;
    this.#transfer.record(bytes);
    this.#options.passage.hold(-bytes);
  }

  #ask(): void {
    if (this.#isWaiting) return;
    this.#isWaiting = true;
    this.#transfer.request(this.#pendingBytes);
  }

  #awaitDrain(): void {
    if (this.#isWaiting) return;
    this.#isWaiting = true;
    this.#options.response.once("drain", () => {
      this.#isWaiting = false;
      this.#move();
    });
  }

  #callDrainListeners(): void {
    for (const listener of this.#drainListeners.splice(0)) listener();
  }
}

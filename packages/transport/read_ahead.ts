import { BodyMemoryError } from "./body_memory.ts";
import type { BodyReservation } from "./body_memory.ts";
import { PartCollector } from "./part_collector.ts";

/** Interval at which it is checked whether a body is read. */
const intervalMilliseconds = 150;
/** Bytes of one body that are read ahead of its reader at most. */
const maximumBytes = 8 * 1024 * 1024;

/**
 * Passes a body on. While its reader does not read, reads ahead: the end of a
 * connection, even by a reset, is behind all that has arrived before.
 */
export class ReadAhead {
  readonly #source: AsyncIterator<Buffer>;
  readonly #reservation: BodyReservation | undefined;
  readonly #unread = new PartCollector();
  /** Bytes that were read while nobody waited for them. */
  #aheadBytes = 0;
  #hasMemory = true;
  #pending: Promise<void> | undefined;
  #isReading = false;
  #isReadingOn = false;
  #isStopped = false;
  #hasEnded = false;
  #failure: unknown;

  /**
   * @param reservation counts what was read ahead; nothing more is while it has no
   * room. @default no bound but that of one body
   */
  constructor(source: AsyncIterable<Buffer>, reservation?: BodyReservation) {
    this.#source = source[Symbol.asyncIterator]();
    this.#reservation = reservation;
  }

  async *[Symbol.asyncIterator](): AsyncGenerator<Buffer> {
    const timer = setInterval(
      () => void this.#readOn(),
      intervalMilliseconds,
    );
    try {
      for (;;) {
        const chunk = await this.#next();
        if (!chunk) return;
        yield chunk;
      }
    } finally {
      clearInterval(timer);
      this.#isStopped = true;
      this.#reservation?.release();
    }
  }

  async #next(): Promise<Buffer | undefined> {
    while (this.#unread.bytes === 0 && !this.#hasEnded) {
      this.#isReading = true;
      await this.#pull();
      this.#isReading = false;
    }
    const chunk = this.#unread.shift();
    if (!chunk && this.#failure !== undefined) throw this.#failure;
    this.#release(chunk?.length ?? 0);
    return chunk;
  }

  async #readOn(): Promise<void> {
    if (this.#isReadingOn) return;
    this.#isReadingOn = true;
    while (this.#mayReadOn) await this.#pull();
    this.#isReadingOn = false;
  }

  get #mayReadOn(): boolean {
    return !this.#isReading && !this.#hasEnded && !this.#isStopped &&
      this.#hasMemory && this.#aheadBytes < maximumBytes;
  }

  #pull(): Promise<void> {
    return this.#pending ??= this.#receive().finally(() =>
      this.#pending = undefined
    );
  }

  // The failure is thrown to the reader once it has read what came before.
  async #receive(): Promise<void> {
    try {
      const { value, done } = await this.#source.next();
      if (done) this.#hasEnded = true;
      else this.#keep(value);
    } catch (failure) {
      this.#hasEnded = true;
      this.#failure = failure;
    }
  }

  #keep(chunk: Buffer): void {
    this.#unread.add(chunk);
    if (this.#isReading) return;
    try {
      this.#reservation?.add(chunk.length);
      this.#aheadBytes += chunk.length;
    } catch (failure) {
      if (!(failure instanceof BodyMemoryError)) throw failure;
      this.#hasMemory = false;
    }
  }

  #release(bytes: number): void {
    const ahead = Math.min(bytes, this.#aheadBytes);
    this.#aheadBytes -= ahead;
    this.#reservation?.remove(ahead);
    this.#hasMemory = true;
  }
}

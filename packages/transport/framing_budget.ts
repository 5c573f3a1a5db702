/** Time for which the budget is saved up. */
const burstMilliseconds = 30;
/** Framing up to this share of the body costs little, and counts nothing. */
const freeShare = 1 / 64;

/** Bytes that were read of a body in chunks. */
export interface ReadBody {
  /** Bytes that are not of the body. */
  readonly framingBytes: number;
  readonly bodyBytes: number;
}

/** Options of a {@link FramingBudget}. */
export interface FramingBudgetOptions {
  /** Bytes of framing of all bodies together; a chunk has five at least. */
  readonly bytesPerMillisecond: number;
  /** Returns milliseconds. @default performance.now */
  readonly now?: () => number;
}

/**
 * Bounds the processor time of bodies in small chunks. Its cost is that of the
 * chunks, while all other bounds count the bytes of bodies.
 */
export class FramingBudget {
  readonly #bytesPerMillisecond: number;
  readonly #now: () => number;
  /** Time at which the framing that was taken is paid for. */
  #paidAt = -Infinity;

  constructor(options: FramingBudgetOptions) {
    this.#bytesPerMillisecond = options.bytesPerMillisecond;
    this.#now = options.now ?? (() => performance.now());
  }

  /**
   * Takes the framing of one read.
   *
   * @returns Milliseconds to wait before the next read of that body.
   */
  take({ framingBytes, bodyBytes }: ReadBody): number {
    const countedBytes = framingBytes - bodyBytes * freeShare;
    if (countedBytes <= 0) return 0;
    const now = this.#now();
    this.#paidAt = Math.max(this.#paidAt, now - burstMilliseconds) +
      countedBytes / this.#bytesPerMillisecond;
    return Math.max(0, this.#paidAt - now);
  }
}

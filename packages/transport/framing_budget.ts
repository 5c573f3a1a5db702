import type { Clock } from "@kingcupglade/tasks";

/**
 * Bytes of framing for all responses together. Chunks of one byte have five each
 * at least, and some 0.2 microseconds of processor time.
 */
const bytesPerMillisecond = 2048;
/** Time for which the budget is saved up. */
const burstMilliseconds = 30;
/** Framing up to this share of the body costs little, and counts nothing. */
const freeShare = 1 / 64;

/**
 * Bounds the processor time of responses in small chunks. Its cost is that of the
 * chunks, while all other bounds count the bytes of bodies.
 */
export class FramingBudget {
  readonly #clock: Clock;
  /** Time at which the framing that was taken is paid for. */
  #paidAt = -Infinity;

  constructor(options: { readonly clock: Clock }) {
    this.#clock = options.clock;
  }

  /**
   * Takes the framing of one read.
   *
   * @returns Milliseconds to wait before the next read of that response.
   */
  take(
    { framingBytes, bodyBytes }: {
      /** Bytes that are not of the body. */
      readonly framingBytes: number;
      readonly bodyBytes: number;
    },
  ): number {
    const countedBytes = framingBytes - bodyBytes * freeShare;
    if (countedBytes <= 0) return 0;
    const now = this.#clock.now();
    this.#paidAt = Math.max(this.#paidAt, now - burstMilliseconds) +
      countedBytes / bytesPerMillisecond;
    return Math.max(0, this.#paidAt - now);
  }
}

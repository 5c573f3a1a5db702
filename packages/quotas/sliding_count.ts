/**
 * Parts of a window. An event is counted for up to a fiftieth of the window too
 * long, so that 2 % of a limit may stay unused.
 */
const bucketsPerWindow = 50;

/**
 * Share of the window for which an event is counted longer, as the clock may run
 * ahead of others: four times the 500 ppm by which clocks are adjusted.
 */
const driftShare = 0.002;

/**
 * Time for which an event is counted longer, as a request that is sent later may
 * be faster on its way to its target.
 */
const deliveryMilliseconds = 50;

interface Bucket {
  /** Time after which its events are outside the window. */
  readonly expiresAt: number;
  count: number;
}

/**
 * Counts events in a sliding window. An event is counted for at least the length
 * of the window.
 */
export class SlidingCount {
  readonly #windowMilliseconds: number;
  readonly #bucketMilliseconds: number;
  /** Ordered by time; at most one more than the parts of a window. */
  readonly #buckets: Bucket[] = [];
  #total = 0;

  constructor(windowMilliseconds: number) {
    this.#windowMilliseconds = windowMilliseconds;
    this.#bucketMilliseconds = windowMilliseconds / bucketsPerWindow;
  }

  /** Counts an event at `now`, which must not decrease from call to call. */
  add(now: number): void {
    const end = (Math.floor(now / this.#bucketMilliseconds) + 1) *
      this.#bucketMilliseconds;
    const expiresAt = end + this.#windowMilliseconds * (1 + driftShare) +
      deliveryMilliseconds;
    const last = this.#buckets.at(-1);
    if (last && last.expiresAt >= expiresAt) last.count += 1;
    else this.#buckets.push({ expiresAt, count: 1 });
    this.#total += 1;
  }

  /** Returns the number of events in the window that ends at `now`. */
  total(now: number): number {
    while (this.#buckets.length > 0 && this.#buckets[0]!.expiresAt <= now) {
      this.#total -= this.#buckets.shift()!.count;
    }
    return this.#total;
  }

  /**
   * Returns the milliseconds until `count` of the events have left the window;
   * the length of the window if there are fewer.
   */
  millisecondsUntilFreed(count: number, now: number): number {
    this.total(now);
    let freed = 0;
    for (const bucket of this.#buckets) {
      freed += bucket.count;
      if (freed >= count) return Math.max(0, bucket.expiresAt - now);
    }
    return this.#windowMilliseconds;
  }
}

/** Spans of the window; the rate follows a change within one of them. */
const spanCount = 5;
/** Length of one span; together half a second, a few slices at 1.5 Mbit/s. */
const spanMilliseconds = 100;
/** The peak loses half of its height in this time, so that it follows a link. */
const peakHalfLifeMilliseconds = 10_000;

/** Measures bytes a millisecond over the last half second. */
export class RateMeter {
  readonly #spans = new Float64Array(spanCount);
  #spanIndex = 0;
  #peak = 0;
  #peakAt = 0;

  /** Records bytes that passed at a time in milliseconds. */
  record(bytes: number, now: number): void {
    this.#moveTo(now);
    this.#spans[this.#spanIndex % spanCount]! += bytes;
  }

  /** Returns the bytes a millisecond of the window that ends now. */
  rate(now: number): number {
    this.#moveTo(now);
    let bytes = 0;
    for (const span of this.#spans) bytes += span;
    const elapsed = (spanCount - 1) * spanMilliseconds +
      now % spanMilliseconds;
    const rate = bytes / elapsed;
    const peak = this.peak(now);
    if (rate >= peak) {
      this.#peak = rate;
      this.#peakAt = now;
    }
    return rate;
  }

  /** Returns the highest rate that was asked for lately, which decays. */
  peak(now: number): number {
    return this.#peak *
      0.5 ** ((now - this.#peakAt) / peakHalfLifeMilliseconds);
  }

  #moveTo(now: number): void {
    const index = Math.floor(now / spanMilliseconds);
    const passed = index - this.#spanIndex;
    if (passed <= 0) return;
    for (let step = 1; step <= Math.min(passed, spanCount); step += 1) {
      this.#spans[(this.#spanIndex + step) % spanCount] = 0;
    }
    if (passed > spanCount) this.#spans.fill(0);
    this.#spanIndex = index;
  }
}

/** Bounds of the time between two requests for all items. */
const minimumRefetchMilliseconds = 500;
const maximumRefetchMilliseconds = 60_000;

/** Decides when a table that differs from the leader's requests all items. */
export class ItemRefetch {
  #isDue = false;
  #startedAt = -Infinity;
  #intervalMilliseconds = 0;

  /** Whether the next update has to hold all items. */
  get isDue(): boolean {
    return this.#isDue;
  }

  /** Records that the table agrees with the leader's. */
  recordMatch(): void {
    this.#isDue = false;
    this.#intervalMilliseconds = 0;
  }

  /** Records that the table differs; returns whether a refetch starts. */
  recordMismatch(now: number): boolean {
    this.#isDue = now - this.#startedAt >= this.#intervalMilliseconds;
    if (!this.#isDue) return false;
    this.#startedAt = now;
    this.#intervalMilliseconds = Math.min(
      Math.max(2 * this.#intervalMilliseconds, minimumRefetchMilliseconds),
      maximumRefetchMilliseconds,
    );
    return true;
  }
}

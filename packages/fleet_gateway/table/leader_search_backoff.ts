const initialPauseMilliseconds = 50;
const maximumPauseMilliseconds = 500;
const pauseGrowthFactor = 1.6;

/** Delays between searches for a leader while none can be reached. */
export class LeaderSearchBackoff {
  readonly #random: () => number;
  #pause = initialPauseMilliseconds;

  constructor(options: {
    /** Returns a number between 0 and 1; spreads searches over time. */
    readonly random: () => number;
  }) {
    this.#random = options.random;
  }

  /** Returns the milliseconds until the next search. */
  next(): number {
    const pause = this.#pause * (0.75 + this.#random() / 2);
    this.#pause = Math.min(
      maximumPauseMilliseconds,
      this.#pause * pauseGrowthFactor,
    );
    return pause;
  }

  /** Starts again with the initial delay, after a leader was found. */
  reset(): void {
    this.#pause = initialPauseMilliseconds;
  }
}

/** Source of monotonic time; leases and deadlines use nothing else. */
export abstract class Clock {
  /** Milliseconds since an arbitrary fixed point; never goes back. */
  abstract now(): number;
}

/** The process's monotonic clock. */
export class MonotonicClock extends Clock {
  override now(): number {
    return performance.now();
  }
}

/** A clock that tests and simulations move by hand. */
export class ManualClock extends Clock {
  #milliseconds: number;

  constructor(startMilliseconds = 0) {
    super();
    this.#milliseconds = startMilliseconds;
  }

  override now(): number {
    return this.#milliseconds;
  }

  /** Moves the clock forward by `milliseconds`. */
  advance(milliseconds: number): void {
    this.#milliseconds += milliseconds;
  }
}

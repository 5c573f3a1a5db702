/** Source of monotonic time; leases and deadlines use no other clock. */
export abstract class Clock {
  /** Returns the milliseconds since an arbitrary fixed point; never decreases. */
  abstract now(): number;
}

/** The monotonic clock of the process. */
export class MonotonicClock extends Clock {
  override now(): number {
    return performance.now();
  }
}

/** A clock that tests and simulations advance manually. */
export class ManualClock extends Clock {
  #milliseconds: number;

  constructor(startMilliseconds = 0) {
    super();
    this.#milliseconds = startMilliseconds;
  }

  override now(): number {
    return this.#milliseconds;
  }

  advance(milliseconds: number): void {
    this.#milliseconds += milliseconds;
  }
}

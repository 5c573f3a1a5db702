import type { Clock } from "./clock.ts";

/** Shorter delays between two turns of the event loop are not stalls. */
const minimumStallMilliseconds = 150;
/**
 * Time after a stall in which the event loop reads what arrived during it, at
 * least one turn each to accept a connection and to read a head and a body.
 */
const drainMilliseconds = 500;
/** Smaller differences between the two clocks are rounding or drift. */
const minimumSuspensionMilliseconds = 100;

/** Options of a {@link StallDetector}. */
export interface StallDetectorOptions {
  /** Monotonic clock, which may stop while the VM is suspended. */
  readonly clock: Clock;
  /**
   * Milliseconds of the time of day, which count suspensions too.
   *
   * @default Date.now
   */
  readonly timeOfDay?: () => number;
  /** Called with the length of each stall in milliseconds. */
  readonly onStall?: (milliseconds: number) => void;
}

/**
 * Detects that the event loop did not run for a time: the process was stopped,
 * the VM suspended, or a turn took long. What arrived meanwhile is read late,
 * and may be older than its arrival suggests.
 */
export class StallDetector {
  readonly #clock: Clock;
  readonly #timeOfDay: () => number;
  readonly #onStall: (milliseconds: number) => void;
  #monotonicAt: number;
  #timeOfDayAt: number;
  #suspendedMilliseconds = 0;
  #stallMilliseconds = 0;
  #stallEndedAt = -Infinity;

  constructor(options: StallDetectorOptions) {
    this.#clock = options.clock;
    this.#timeOfDay = options.timeOfDay ?? Date.now;
    this.#onStall = options.onStall ?? (() => {});
    this.#monotonicAt = this.#clock.now();
    this.#timeOfDayAt = this.#timeOfDay();
  }

  /**
   * Records that the event loop runs; called at an interval well below the
   * shortest stall. Returns the monotonic milliseconds, with the time added for
   * which the VM was suspended.
   */
  observe(): number {
    const monotonic = this.#clock.now();
    const timeOfDay = this.#timeOfDay();
    const elapsed = monotonic - this.#monotonicAt;
    const ahead = timeOfDay - this.#timeOfDayAt - elapsed;
    const suspended = ahead >= minimumSuspensionMilliseconds ? ahead : 0;
    const previousAt = this.#monotonicAt + this.#suspendedMilliseconds;
    this.#monotonicAt = monotonic;
    this.#timeOfDayAt = timeOfDay;
    this.#suspendedMilliseconds += suspended;
    const stall = elapsed + suspended;
    const now = monotonic + this.#suspendedMilliseconds;
    if (stall >= minimumStallMilliseconds) {
      // Calls that an earlier stall delayed may still be unread.
      this.#stallMilliseconds = stall + this.#readDelayAt(previousAt);
      this.#stallEndedAt = now;
      this.#onStall(stall);
    }
    return now;
  }

  /**
   * Milliseconds for which a message that is read now may have waited unread; 0
   * if the event loop ran all along.
   */
  readDelay(): number {
    return this.#readDelayAt(this.observe());
  }

  #readDelayAt(now: number): number {
    const sinceStall = now - this.#stallEndedAt;
    return sinceStall < drainMilliseconds
      ? this.#stallMilliseconds + sinceStall
      : 0;
  }
}

import { Clock } from "@kingcupglade/tasks";

/**
 * Advance of the wall clock beyond the monotonic one that counts as a suspension.
 * Smaller differences come from the wall clock's resolution of a millisecond and
 * from its adjustment to other clocks.
 */
const minimumSuspensionMilliseconds = 10;

/**
 * Suspensions that are kept to convert readings; more than that happen between
 * two confirmations of a leader only if its wall clock is unusable.
 */
const maximumSuspensions = 64;

interface Suspension {
  /** Reading of the monotonic clock. */
  readonly noticedAt: number;
  readonly milliseconds: number;
}

/**
 * Clock for leases: the elapsed time between two readings is the larger of what
 * the monotonic clock and the wall clock show, as the monotonic clock stops while
 * a VM is suspended. A wall clock that jumps forward advances it; one that jumps
 * back does not set it back. It has to be read regularly, so that a jump back of
 * the wall clock does not hide a suspension in the same interval.
 */
export class ElapsedClock extends Clock {
  readonly #monotonic: Clock;
  readonly #readWallClock: () => number;
  /** Wall clock minus monotonic clock up to which differences are included. */
  #offset: number;
  /** Sum of the suspensions so far. */
  #suspendedMilliseconds = 0;
  /** Recent suspensions, the latest last. */
  #suspensions: Suspension[] = [];

  constructor(
    options: {
      readonly monotonic: Clock;
      /** Returns the time of day in milliseconds. @default Date.now */
      readonly readWallClock?: () => number;
    },
  ) {
    super();
    this.#monotonic = options.monotonic;
    this.#readWallClock = options.readWallClock ?? Date.now;
    this.#offset = this.#readWallClock() - this.#monotonic.now();
  }

  override now(): number {
    const monotonic = this.#monotonic.now();
    const offset = this.#readWallClock() - monotonic;
    const advance = offset - this.#offset;
    if (advance >= minimumSuspensionMilliseconds) {
      this.#suspendedMilliseconds += advance;
      this.#offset = offset;
      this.#suspensions = [
        ...this.#suspensions.slice(1 - maximumSuspensions),
        { noticedAt: monotonic, milliseconds: advance },
      ];
    } else if (advance < 0) {
      this.#offset = offset;
    }
    return monotonic + this.#suspendedMilliseconds;
  }

  /**
   * Converts a past reading of the monotonic clock. A suspension that was noticed
   * after it counts as later, so that the result is never too late.
   */
  fromMonotonic(reading: number): number {
    const now = this.now();
    const later = this.#suspensions.filter(({ noticedAt }) =>
      noticedAt > reading
    ).reduce((sum, { milliseconds }) => sum + milliseconds, 0);
    const age = this.#monotonic.now() - reading;
    return now - age - later;
  }
}

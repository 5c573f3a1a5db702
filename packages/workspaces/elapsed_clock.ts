import { Clock } from "@kingcupglade/tasks";

/**
 * Advance of the wall clock beyond the monotonic one that counts as a suspension.
 * Smaller differences come from the wall clock's resolution of a millisecond and
 * from its adjustment to other clocks.
 */
const minimumSuspensionMilliseconds = 10;

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
    } else if (advance < 0) {
      this.#offset = offset;
    }
    return monotonic + this.#suspendedMilliseconds;
  }
}

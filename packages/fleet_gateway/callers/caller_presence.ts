import type { Clock } from "@kingcupglade/tasks";
import { nextTurn } from "@kingcupglade/transport";

/**
 * A caller that was connected this long ago may have left meanwhile, while the
 * end of its connection waits to be read.
 */
const validityMilliseconds = 100;

/** Bounds how long ago a caller was known to be connected. */
export class CallerPresence {
  readonly #clock: Clock;
  #confirmedAt: number;

  /** To be created when the end of the connection would have been read. */
  constructor(clock: Clock) {
    this.#clock = clock;
    this.#confirmedAt = clock.now();
  }

  /**
   * Resolves once an end of the connection that has arrived is read; returns
   * undefined if there is no need to wait, as that was so a short time ago.
   */
  confirm(): Promise<void> | undefined {
    const now = this.#clock.now();
    if (now - this.#confirmedAt < validityMilliseconds) return undefined;
    this.#confirmedAt = now;
    return nextTurn();
  }
}

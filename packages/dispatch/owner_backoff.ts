/**
 * First pause after a refusal, in which a new owner may become known or the
 * owner may send a heartbeat.
 */
const firstPauseMilliseconds = 60;
const maximumPauseMilliseconds = 480;

interface RangeBackoff {
  readonly fence: number;
  pauseMilliseconds: number;
  until: number;
}

/**
 * Tracks the ranges whose owner reported that it does not hold them. As each
 * such refusal counts against the service's retry budget, requests for these
 * ranges wait, except for one at a time that checks whether the owner now holds
 * the range.
 */
export class OwnerBackoff {
  readonly #backoffs = new Map<string, RangeBackoff>();

  /**
   * Pauses the requests for a range after its owner refused one; each further
   * refusal under the same fence doubles the pause, up to a maximum.
   */
  record(range: string, fence: number, now: number): void {
    const known = this.#backoffs.get(range);
    const pauseMilliseconds = known?.fence === fence
      ? Math.min(maximumPauseMilliseconds, known.pauseMilliseconds * 2)
      : firstPauseMilliseconds;
    this.#backoffs.set(range, {
      fence,
      pauseMilliseconds,
      until: now + pauseMilliseconds,
    });
  }

  /**
   * Returns whether requests for a range should wait. A change of fence ends
   * the pause.
   */
  isPaused(range: string, fence: number, now: number): boolean {
    const known = this.#backoffs.get(range);
    return known?.fence === fence && now < known.until;
  }

  /** Restarts the pause when a request is sent, so that others wait for it. */
  recordSent(range: string, fence: number, now: number): void {
    const known = this.#backoffs.get(range);
    if (known?.fence === fence) known.until = now + known.pauseMilliseconds;
  }

  /** Ends the pause of a range, because its owner holds it. */
  clear(range: string): void {
    this.#backoffs.delete(range);
  }
}

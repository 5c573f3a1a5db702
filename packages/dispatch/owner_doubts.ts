/** News of another owner, or the owner's next heartbeat, may have come by then. */
const firstPauseMilliseconds = 60;
const mostPauseMilliseconds = 480;

interface Doubt {
  readonly fence: number;
  pauseMilliseconds: number;
  until: number;
}

/**
 * Ranges whose owner said that it does not hold them. Their requests wait, but
 * for one at a time that finds out whether the owner has got the range: each
 * refusal is an arrival that a service's retry budget pays for.
 */
export class OwnerDoubts {
  readonly #doubts = new Map<string, Doubt>();

  /** Takes in that the owner refused a request for a range. */
  note(range: string, fence: number, now: number): void {
    const known = this.#doubts.get(range);
    const pauseMilliseconds = known?.fence === fence
      ? Math.min(mostPauseMilliseconds, known.pauseMilliseconds * 2)
      : firstPauseMilliseconds;
    this.#doubts.set(range, {
      fence,
      pauseMilliseconds,
      until: now + pauseMilliseconds,
    });
  }

  /** Whether requests for a range should wait; another fence ends the doubt. */
  isDoubted(range: string, fence: number, now: number): boolean {
    const known = this.#doubts.get(range);
    return known?.fence === fence && now < known.until;
  }

  /** Takes in that a request for a range leaves; others wait for its answer. */
  noteSent(range: string, fence: number, now: number): void {
    const known = this.#doubts.get(range);
    if (known?.fence === fence) known.until = now + known.pauseMilliseconds;
  }

  /** Takes in that the owner holds the range. */
  clear(range: string): void {
    this.#doubts.delete(range);
  }
}

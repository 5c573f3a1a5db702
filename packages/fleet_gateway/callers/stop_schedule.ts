/**
 * Requests that arrive this long after a stop began are accepted even if they
 * may outlast it: until then the load balancer still sends new ones.
 */
const acceptMilliseconds = 2500;
/** Time before the end of the grace period at which all responses are sent. */
const responseMarginMilliseconds = 250;
/** Time before the end of the grace period at which all connections are closed. */
const connectionMarginMilliseconds = 150;

/** Limits the requests that a stopping VM accepts to what it can finish. */
export class StopSchedule {
  readonly #graceMilliseconds: number;
  #startedAt: number | undefined;

  /** @param graceMilliseconds is the time from a stop signal to the kill. */
  constructor(graceMilliseconds: number) {
    this.#graceMilliseconds = graceMilliseconds;
  }

  /** Starts the stop; a second signal changes nothing. */
  start(now: number): void {
    this.#startedAt ??= now;
  }

  /** Returns the time left until the last connection is closed. */
  connectionsMilliseconds(now: number): number {
    const endAt = (this.#startedAt ?? now) + this.#graceMilliseconds -
      connectionMarginMilliseconds;
    return Math.max(endAt - now, 0);
  }

  get isStopping(): boolean {
    return this.#startedAt !== undefined;
  }

  /**
   * Returns the time at which a request that arrives now has a response;
   * undefined if it has to be refused, as it may outlast the grace period.
   */
  deadlineFor(deadlineAt: number, now: number): number | undefined {
    if (this.#startedAt === undefined) return deadlineAt;
    const endAt = this.#startedAt + this.#graceMilliseconds -
      responseMarginMilliseconds;
    if (deadlineAt <= endAt) return deadlineAt;
    return now - this.#startedAt <= acceptMilliseconds ? endAt : undefined;
  }
}

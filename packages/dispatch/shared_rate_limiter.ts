const millisecondsPerSecond = 1000;

/** Limit of one target and the gateways that share it. */
export interface SharedRate {
  /** Limit for all gateways together, in requests per second. */
  readonly perSecond: number;
  /** Number of gateways that share the limit equally. */
  readonly gateways: number;
}

/** Limits one gateway to its share of the request rate of one target. */
export class SharedRateLimiter {
  #lastAt: number;

  /** The first request is allowed one interval after `lastAt`. */
  constructor(lastAt = -Infinity) {
    this.#lastAt = lastAt;
  }

  /** Returns whether a request may be sent now. */
  allows(now: number, rate: SharedRate): boolean {
    return now - this.#lastAt >= intervalMilliseconds(rate);
  }

  /** Records that a request is sent. */
  take(now: number): void {
    this.#lastAt = now;
  }
}

/** Returns the time between two requests of one gateway, in milliseconds. */
export function intervalMilliseconds(
  { perSecond, gateways }: SharedRate,
): number {
  return millisecondsPerSecond * gateways / perSecond;
}

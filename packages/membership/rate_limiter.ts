import { RecentMap } from "./recent_map.ts";

/** How often something may happen. */
export interface RateLimit {
  /** Times at once. */
  readonly burst: number;
  readonly perSecond: number;
}

interface Allowance {
  left: number;
  at: number;
}

const maximumSubjects = 16_384;

/** Bounds how often each of many subjects may do something. */
export class RateLimiter {
  readonly #limit: RateLimit;
  readonly #allowances = new RecentMap<Allowance>({
    maximum: maximumSubjects,
  });

  constructor(limit: RateLimit) {
    this.#limit = limit;
  }

  /** Takes one from a subject's allowance; false when it is used up. */
  allows(subject: string, now: number): boolean {
    const { burst, perSecond } = this.#limit;
    const allowance = this.#allowances.get(subject) ?? { left: burst, at: now };
    const earned = (now - allowance.at) / 1000 * perSecond;
    allowance.left = Math.min(burst, allowance.left + earned);
    allowance.at = now;
    this.#allowances.set(subject, allowance);
    if (allowance.left < 1) return false;
    allowance.left -= 1;
    return true;
  }

  /** Forgets a subject. */
  forget(subject: string): void {
    this.#allowances.delete(subject);
  }
}

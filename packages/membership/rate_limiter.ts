import { RecentMap } from "./recent_map.ts";

/** Token bucket parameters. */
export interface RateLimit {
  /** Maximum number of tokens. */
  readonly burst: number;
  /** Tokens added per second. */
  readonly perSecond: number;
}

interface TokenBucket {
  tokens: number;
  /** Time at which the tokens were last counted, in milliseconds. */
  at: number;
}

/**
 * Limits the memory for subjects. Beyond it, the subject that was idle for
 * longest is dropped, and later starts with a full bucket.
 */
const maximumSubjects = 16_384;

/** Limits the rate of actions for each of many subjects with token buckets. */
export class RateLimiter {
  readonly #limit: RateLimit;
  readonly #buckets = new RecentMap<TokenBucket>({
    maximumSize: maximumSubjects,
  });

  constructor(limit: RateLimit) {
    this.#limit = limit;
  }

  /** Takes a token from a subject's bucket; returns false if none is left. */
  take(subject: string, now: number): boolean {
    const { burst, perSecond } = this.#limit;
    const bucket = this.#buckets.get(subject) ??
      { tokens: burst, at: now };
    const earned = (now - bucket.at) / 1000 * perSecond;
    bucket.tokens = Math.min(burst, bucket.tokens + earned);
    bucket.at = now;
    this.#buckets.set(subject, bucket);
    if (bucket.tokens < 1) return false;
    bucket.tokens -= 1;
    return true;
  }

  forget(subject: string): void {
    this.#buckets.delete(subject);
  }
}

/** Weight of the newest request in the share of usual deadlines. */
const shareWeight = 0.05;
/**
 * Share of a route's requests that must have about the same deadline, the
 * longest, for shorter ones to count as what is left of it.
 */
const usualShare = 0.6;
/**
 * Share below which that ends. In an overload most requests are those of callers
 * that come back: at 2.5 times the capacity with two retries, two in three.
 */
const unusualShare = 0.15;
/**
 * Deadlines that differ by less than this share count as the same: a first attempt
 * has lost up to a fifth of it in connecting and waiting on its connection.
 */
const sameDeadlineShare = 0.2;
/** A longest deadline that is rare is forgotten after this many requests. */
const recentRequests = 200;
/** Routes that are remembered; the one unused for longest goes first. */
const maximumRoutes = 1000;

interface RouteDeadlines {
  /** Longest deadline that was seen, in milliseconds. */
  readonly longest: number;
  /** Moving share of the requests that had it. */
  readonly share: number;
  /** Whether callers begin with it. */
  readonly isUsual: boolean;
  /** Longest deadline of the last requests, and their number. */
  readonly recent: { readonly longest: number; readonly count: number };
}

/** How long a caller has been waiting for a response. */
export interface CallerAge {
  /** Milliseconds since it first sent the request; 0 if that cannot be told. */
  readonly milliseconds: number;
  readonly isKnown: boolean;
}

const unknownAge: CallerAge = { milliseconds: 0, isKnown: false };

/**
 * Estimates how long callers have been waiting for a response. A caller that was
 * refused and comes back, mostly at another gateway, states the time that it has
 * left. Where most callers of a route begin with the same deadline, what a request
 * lacks of it has passed.
 */
export class CallerDeadlines {
  readonly #routes = new Map<string, RouteDeadlines>();

  /** Whether the ages of a route's callers can be told. */
  isKnown(route: string): boolean {
    return this.#routes.get(route)?.isUsual === true;
  }

  /**
   * Records the deadline of a request, in milliseconds from now, and returns the
   * age of its caller.
   */
  record(route: string, deadlineMilliseconds: number): CallerAge {
    const known = this.#routes.get(route);
    const longest = Math.max(longestOf(known), deadlineMilliseconds);
    const isLongest = deadlineMilliseconds >= longest * (1 - sameDeadlineShare);
    // Nothing is known yet of callers with another longest deadline.
    const isSame = known !== undefined &&
      Math.abs(longest - known.longest) <= known.longest * sameDeadlineShare;
    const before = isSame ? known.share : 0;
    const share = before + ((isLongest ? 1 : 0) - before) * shareWeight;
    const wasUsual = isSame && known.isUsual;
    const isUsual = share > (wasUsual ? unusualShare : usualShare);
    this.#routes.delete(route);
    this.#routes.set(route, {
      longest,
      share,
      isUsual,
      recent: recentOf(known, deadlineMilliseconds),
    });
    if (this.#routes.size > maximumRoutes) {
      this.#routes.delete(this.#routes.keys().next().value!);
    }
    if (!isUsual) return unknownAge;
    const milliseconds = isLongest ? 0 : longest - deadlineMilliseconds;
    return { milliseconds, isKnown: true };
  }
}

/** Returns the longest deadline, or that of recent requests if few have it. */
function longestOf(known: RouteDeadlines | undefined): number {
  if (!known) return 0;
  const { longest, share, recent } = known;
  const isOutdated = recent.count >= recentRequests && share < unusualShare;
  return isOutdated ? recent.longest : longest;
}

function recentOf(
  known: RouteDeadlines | undefined,
  deadlineMilliseconds: number,
): RouteDeadlines["recent"] {
  const { longest, count } = known?.recent ?? { longest: 0, count: 0 };
  return count >= recentRequests
    ? { longest: deadlineMilliseconds, count: 1 }
    : { longest: Math.max(longest, deadlineMilliseconds), count: count + 1 };
}

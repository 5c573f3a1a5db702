/** Intended number of updates per second that a leader sends, in total. */
const answersPerSecond = 500;
const millisecondsPerSecond = 1000;
/**
 * Minimum time between two updates. Most carry one changed range, and most of
 * their bytes are the same for any number of changes; a request for a range that
 * has just moved waits this much longer at most.
 */
const minimumIntervalMilliseconds = 100;
/** Without an update, a watch is held for at least this long. */
const minimumHoldMilliseconds = 600;
/** A longer hold would make gateways count as inactive. */
const maximumHoldMilliseconds = 1200;
/** Intended number of watches per second that end without an update. */
const idleAnswersPerSecond = 150;

/**
 * Returns the time for which a watch is held without an update, in
 * milliseconds.
 *
 * @param gateways Number of gateways that watch the leader.
 */
export function watchHoldMilliseconds(gateways: number): number {
  const hold = gateways * millisecondsPerSecond / idleAnswersPerSecond;
  return Math.min(
    maximumHoldMilliseconds,
    Math.max(minimumHoldMilliseconds, hold),
  );
}

/** Gateways must learn of changes well within two seconds. */
const maximumIntervalMilliseconds = 1000;

/**
 * Returns the minimum time between two updates, in milliseconds.
 *
 * @param gateways Number of gateways that watch the leader.
 */
export function updateIntervalMilliseconds(gateways: number): number {
  return Math.min(
    maximumIntervalMilliseconds,
    Math.max(
      minimumIntervalMilliseconds,
      gateways * millisecondsPerSecond / answersPerSecond,
    ),
  );
}

/** Limits the rate of updates, so that each carries many changes. */
export class UpdateThrottle {
  #updatedAt = -Infinity;

  /** Records that the waiting gateways are updated at `now`. */
  recordUpdate(now: number): void {
    this.#updatedAt = now;
  }

  /** Returns the time until the next update may be sent, in milliseconds. */
  delayMilliseconds(now: number, gateways: number): number {
    const interval = updateIntervalMilliseconds(gateways);
    return Math.max(0, this.#updatedAt + interval - now);
  }
}

/** The delay is at most this share of the time until the caller's deadline. */
const maximumRetryAfterShare = 1 / 3;
const minimumRetryAfterMilliseconds = 100;

/** Returns the milliseconds after which a refused caller should retry. */
export function retryAfterMilliseconds(options: {
  /** Expected time until a target has capacity. */
  readonly waitMilliseconds: number;
  /** Time until the caller's deadline. */
  readonly leftMilliseconds: number;
  /** Returns a number between 0 and 1; spreads the retries over time. */
  readonly random: () => number;
}): number {
  const { waitMilliseconds, leftMilliseconds, random } = options;
  const wait = Math.max(minimumRetryAfterMilliseconds, waitMilliseconds);
  return Math.min(
    Math.max(0, leftMilliseconds) * maximumRetryAfterShare,
    wait * (0.75 + random() / 2),
  );
}

/** A response is overdue after this many mean durations. */
const overdueDurations = 1.5;
/**
 * A hedge is sent late enough to leave time for its own response, but no later
 * than after this many mean durations.
 */
const latestHedgeDurations = 2.5;

/** Returns the milliseconds after which a hedge goes to a second target. */
export function hedgeDelay(times: {
  /** Mean duration until a response. */
  readonly meanMilliseconds: number;
  /** Time left until the route's latency objective. */
  readonly objectiveMilliseconds: number;
}): number {
  const { meanMilliseconds: mean, objectiveMilliseconds } = times;
  return Math.max(
    mean * overdueDurations,
    Math.min(objectiveMilliseconds - mean, mean * latestHedgeDurations),
  );
}

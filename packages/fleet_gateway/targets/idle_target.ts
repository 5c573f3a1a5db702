import { Distance } from "@kingcupglade/dispatch";
import type { ChoiceOptions, TargetOption } from "@kingcupglade/dispatch";

/** A hedge requires a target with less than this share of its slots in use. */
const maximumIdleLoadShare = 0.5;
/** Maximum expected duration of a hedge, relative to an average target. */
const maximumHedgeDurationRatio = 1.2;

/**
 * Returns the target in the region that is expected to respond first, of those
 * with little load; undefined if there is none.
 */
export function findIdleTarget(
  targets: readonly TargetOption[],
  options: Pick<
    ChoiceOptions,
    "now" | "meanMilliseconds" | "workMilliseconds" | "tried"
  >,
): TargetOption | undefined {
  const { now, meanMilliseconds, workMilliseconds, tried } = options;
  let best: TargetOption | undefined;
  let bestDuration = workMilliseconds * maximumHedgeDurationRatio;
  for (const target of targets) {
    const { record, distance, slots } = target;
    const isIdle = record.load(meanMilliseconds, now) <
      slots * maximumIdleLoadShare;
    if (
      !isIdle || distance === Distance.far || tried.has(target.name) ||
      record.isEjected(now)
    ) continue;
    const duration = record.expectedDuration(workMilliseconds, now);
    if (duration >= bestDuration) continue;
    best = target;
    bestDuration = duration;
  }
  return best;
}

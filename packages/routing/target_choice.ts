import type { TargetRecord } from "@kingcupglade/ownership";
import type { TargetObservation } from "./target_observations.ts";

/** A target that may serve a request, as observed by this VM. */
export interface Candidate {
  readonly target: TargetRecord;
  readonly observation: TargetObservation | undefined;
  /** Number of requests that may start at the target now. */
  readonly available: number;
  /** Requests of this VM in progress at the target or waiting for it. */
  readonly load: number;
  /** Number of requests of this VM that wait for the target. */
  readonly queued: number;
}

/** Context of {@link chooseTarget}. */
export interface ChoiceContext {
  readonly dataCentre: string;
  readonly region: string;
  readonly now: number;
  /** Returns a random number of at least 0 and less than 1. */
  readonly random: () => number;
}

/** A target is slow if it exceeds the median times this ratio, plus a margin. */
const slowRatio = 3;
/** Margin that matters if the median is only a few milliseconds. */
const slowMarginMilliseconds = 2;
/** The latency of targets with fewer samples counts as unknown. */
const minimumSamples = 5;
/** Consecutive failures that make a target an outlier. */
const outlierFailures = 3;
/** Maximum share of the targets that may be excluded as outliers. */
const maximumOutlierShare = 0.3;
/** Time without exchanges after which an outlier may be probed. */
const probeIntervalMilliseconds = 5000;
/** Share of the requests that probe such an outlier. */
const probeShare = 0.05;

/**
 * Chooses a target. Of the nearest targets with capacity, outliers excluded, two
 * are picked at random, and the one with the shorter expected time is used.
 */
export function chooseTarget(
  candidates: readonly Candidate[],
  context: ChoiceContext,
): Candidate | undefined {
  const { healthy, probe } = separateOutliers(candidates, context);
  if (probe && context.random() < probeShare) return probe;
  return chooseBetterOfTwo(preferredTier(healthy, context), context);
}

// Among targets without capacity, credits are requested for near ones first,
// and each target gets one waiting request before any gets a second.
function preferredTier(
  candidates: readonly Candidate[],
  context: ChoiceContext,
): readonly Candidate[] {
  const free = candidates.filter((each) => each.available > 0);
  if (free.length > 0) return nearest(free, context);
  const unqueued = candidates.filter((each) => each.queued === 0);
  return unqueued.length > 0 ? nearest(unqueued, context) : candidates;
}

/**
 * Separates outliers from the other targets, up to a maximum share of all. An
 * outlier that has not been used for an interval may be probed, to detect
 * whether it has recovered.
 */
export function separateOutliers(
  candidates: readonly Candidate[],
  context: Pick<ChoiceContext, "now">,
): {
  readonly healthy: readonly Candidate[];
  readonly probe: Candidate | undefined;
} {
  const all = { healthy: candidates, probe: undefined };
  const maximumOutliers = Math.floor(candidates.length * maximumOutlierShare);
  if (maximumOutliers === 0) return all;
  const typical = medianMilliseconds(candidates);
  const suspects = candidates.filter((each) => isOutlier(each, typical));
  if (suspects.length === 0) return all;
  const outliers = new Set(
    suspects.sort((left, right) => slowness(right) - slowness(left)).slice(
      0,
      maximumOutliers,
    ),
  );
  const probe = [...outliers].find((each) =>
    each.load === 0 &&
    context.now - (each.observation?.at ?? 0) >= probeIntervalMilliseconds
  );
  return { healthy: candidates.filter((each) => !outliers.has(each)), probe };
}

function isOutlier(
  candidate: Candidate,
  typicalMilliseconds: number | undefined,
): boolean {
  const { observation } = candidate;
  if (!observation) return false;
  if (observation.failures >= outlierFailures) return true;
  return typicalMilliseconds !== undefined &&
    observation.samples >= minimumSamples &&
    observation.milliseconds >
      typicalMilliseconds * slowRatio + slowMarginMilliseconds;
}

function slowness({ observation }: Candidate): number {
  if (!observation) return 0;
  return observation.failures >= outlierFailures
    ? Infinity
    : observation.milliseconds;
}

function medianMilliseconds(
  candidates: readonly Candidate[],
): number | undefined {
  const known = candidates
    .flatMap(({ observation }) =>
      observation && observation.samples >= minimumSamples
        ? [observation.milliseconds]
        : []
    )
    .sort((left, right) => left - right);
  return known[Math.floor((known.length - 1) / 2)];
}

function nearest(
  candidates: readonly Candidate[],
  context: ChoiceContext,
): readonly Candidate[] {
  const { dataCentre, region } = context;
  const here = candidates.filter((each) =>
    each.target.dataCentre === dataCentre
  );
  if (here.length > 0) return here;
  const near = candidates.filter((each) => each.target.region === region);
  return near.length > 0 ? near : candidates;
}

function chooseBetterOfTwo(
  candidates: readonly Candidate[],
  context: ChoiceContext,
): Candidate | undefined {
  const count = candidates.length;
  if (count <= 1) return candidates[0];
  const first = Math.floor(context.random() * count);
  const step = 1 + Math.floor(context.random() * (count - 1));
  const one = candidates[first]!;
  const other = candidates[(first + step) % count]!;
  return expectedTime(one) <= expectedTime(other) ? one : other;
}

// A target without observations is treated as a fast one.
function expectedTime({ observation, load, available }: Candidate): number {
  const wait = available > 0 ? 0 : 1;
  return (observation?.milliseconds ?? 1) * (load + 1 + wait);
}

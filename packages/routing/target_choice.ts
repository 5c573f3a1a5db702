import type { TargetRecord } from "@kingcupglade/ownership";
import type { TargetObservation } from "./target_observations.ts";

/** A target that may serve a request, as this VM sees it. */
export interface Candidate {
  readonly target: TargetRecord;
  readonly observation: TargetObservation | undefined;
  /** Requests that may begin there now. */
  readonly available: number;
  /** Requests of this VM that it has or that wait for it. */
  readonly load: number;
}

/** What a choice depends on besides the candidates. */
export interface ChoiceContext {
  readonly dataCentre: string;
  readonly region: string;
  readonly now: number;
  /** A number of at least 0 and less than 1, drawn anew at each call. */
  readonly random: () => number;
}

const slowFactor = 3;
const slowMarginMilliseconds = 2;
const fewestSamples = 5;
const failuresOfOutlier = 3;
const largestOutlierShare = 0.3;
const probePauseMilliseconds = 1000;

/**
 * Chooses a target: outliers aside, the nearest targets that have room come
 * first, and of two drawn among them the one with the shorter expected time.
 */
export function chooseTarget(
  candidates: readonly Candidate[],
  context: ChoiceContext,
): Candidate | undefined {
  const fit = withoutOutliers(candidates, context);
  const free = fit.filter((each) => each.available > 0);
  const tier = free.length > 0 ? nearest(free, context) : fit;
  return betterOfTwo(tier, context);
}

/** The candidates that are no outliers, and at most a share are. */
export function withoutOutliers(
  candidates: readonly Candidate[],
  context: Pick<ChoiceContext, "now">,
): readonly Candidate[] {
  const typical = medianMilliseconds(candidates);
  const outliers = candidates
    .filter((each) => isOutlier(each, typical))
    .sort((left, right) => slowness(right) - slowness(left))
    .slice(0, Math.floor(candidates.length * largestOutlierShare));
  // One request now and then shows whether an outlier has recovered.
  const ejected = new Set(outliers.filter((each) =>
    each.load > 0 ||
    context.now - (each.observation?.at ?? 0) < probePauseMilliseconds
  ));
  return ejected.size === 0
    ? candidates
    : candidates.filter((each) => !ejected.has(each));
}

function isOutlier(
  candidate: Candidate,
  typicalMilliseconds: number | undefined,
): boolean {
  const { observation } = candidate;
  if (!observation) return false;
  if (observation.failures >= failuresOfOutlier) return true;
  return typicalMilliseconds !== undefined &&
    observation.samples >= fewestSamples &&
    observation.milliseconds >
      typicalMilliseconds * slowFactor + slowMarginMilliseconds;
}

function slowness({ observation }: Candidate): number {
  if (!observation) return 0;
  return observation.failures >= failuresOfOutlier
    ? Infinity
    : observation.milliseconds;
}

function medianMilliseconds(
  candidates: readonly Candidate[],
): number | undefined {
  const known = candidates
    .flatMap(({ observation }) =>
      observation && observation.samples >= fewestSamples
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

function betterOfTwo(
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

// A target that was not seen yet is tried like a fast one.
function expectedTime({ observation, load, available }: Candidate): number {
  const wait = available > 0 ? 0 : 1;
  return (observation?.milliseconds ?? 1) * (load + 1 + wait);
}

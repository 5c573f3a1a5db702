import { PaceDecision } from "./target_pace.ts";
import type { TargetRecord } from "./target_record.ts";

/** Distance of a target from a gateway. */
export const Distance = {
  /** In the gateway's data centre. */
  dataCentre: "dataCentre",
  /** In another data centre of the gateway's region. */
  region: "region",
  /** In another region. */
  far: "far",
} as const;
export type Distance = typeof Distance[keyof typeof Distance];

/** A target that is eligible for a request. */
export interface TargetOption {
  readonly name: string;
  readonly slots: number;
  readonly distance: Distance;
  readonly record: TargetRecord;
  /** What the pace of a new or recovered target says. @default open */
  readonly pace?: PaceDecision;
}

/** Options of {@link chooseTarget}. */
export interface ChoiceOptions {
  readonly now: number;
  /** Mean duration of the service's responses. */
  readonly meanMilliseconds: number;
  /** Duration of a request at a target of average speed. */
  readonly workMilliseconds: number;
  /** Time left until the response time objective of the request. */
  readonly objectiveMilliseconds: number;
  /** Number of gateways that send to the targets. */
  readonly gateways: number;
  /** Returns a number between 0 and 1. */
  readonly random: () => number;
  /** Names of targets that the request must not be sent to again. */
  readonly tried: ReadonlySet<string>;
}

/**
 * Cost of sending to another data centre or region in addition to the network
 * delay, because traffic between data centres, and above all between regions,
 * is charged. Expressed as the local waiting time that is preferred over
 * crossing.
 */
const crossingCostMilliseconds: Readonly<Record<Distance, number>> = {
  dataCentre: 0,
  region: 12,
  far: 200,
};
/**
 * Requests that a target may have queued beyond its slots, so that no slot is
 * idle while the next request is on its way.
 */
const queueAllowance = 1;
/** Random share of the cost, to spread gateways that see the same loads. */
const costNoiseShare = 0.25;
/**
 * Weight of the failure share in the cost: a failed request must be repeated,
 * and has delayed other requests.
 */
const failureCostFactor = 4;
/**
 * Margin for durations above the expected one. If the expected duration times
 * this ratio is within the objective, a request stays in the region, because it
 * would hardly finish in time more often in another one.
 */
const objectiveMarginRatio = 1.25;

/** Result of {@link chooseTarget}. */
export type Choice =
  | { readonly kind: "chosen"; readonly target: TargetOption }
  /**
   * Every target is at capacity, or the best one is slow at the moment and
   * waiting until it recovers is faster than sending now.
   */
  | { readonly kind: "wait" }
  /** There are no untried targets. */
  | { readonly kind: "none" };

/**
 * Chooses the target with the lowest cost: its expected duration, raised for
 * load and recent failures, plus the cost of leaving the data centre. A paced
 * target in the region whose share is due is chosen first. Considers
 * other regions only if the best target in this region is not expected to
 * respond well within the objective.
 */
export function chooseTarget(
  targets: readonly TargetOption[],
  options: ChoiceOptions,
): Choice {
  const { now, tried } = options;
  const untried = targets.filter(({ name }) => !tried.has(name));
  if (untried.length === 0) return { kind: "none" };
  const healthy = untried.filter(({ record }) => !record.isEjected(now));
  // If most targets are ejected, the fault is more likely on this gateway's
  // side.
  const usable = healthy.length * 2 >= untried.length ? healthy : untried;
  const nearTargets = usable.filter(({ distance }) =>
    distance !== Distance.far
  );
  const due = findCheapest(
    nearTargets.filter(({ pace, record }) =>
      pace === PaceDecision.due && !record.isEjected(now)
    ),
    options,
  );
  if (due?.pauseMilliseconds === 0) {
    return { kind: "chosen", target: due.target };
  }
  const near = findCheapest(nearTargets, options);
  const isNearFastEnough = near !== undefined &&
    near.durationMilliseconds * objectiveMarginRatio <
      options.objectiveMilliseconds;
  const best = isNearFastEnough ? near : findCheapest(usable, options);
  return best && best.pauseMilliseconds === 0
    ? { kind: "chosen", target: best.target }
    : { kind: "wait" };
}

/** Options of {@link hasCapacityFor}. */
export interface CapacityOptions {
  readonly now: number;
  /** Slots, plus the requests that may be queued at the target. */
  readonly slots: number;
  /** Number of gateways that send to the target. */
  readonly gateways: number;
  readonly meanMilliseconds: number;
}

/**
 * Targets queue about four times their slots and reset connections beyond that;
 * one request from each gateway must stay below this multiple of the slots.
 */
const maximumGatewaysPerSlot = 3;

/**
 * Returns whether a target can take one more request of this gateway. The
 * gateway may always use its own share of the slots, and more while the
 * estimated load leaves slots free. With too many gateways per slot, only the
 * estimated load counts.
 */
export function hasCapacityFor(
  record: TargetRecord,
  options: CapacityOptions,
): boolean {
  const { now, slots, gateways, meanMilliseconds } = options;
  const isCrowded = gateways > slots * maximumGatewaysPerSlot;
  const share = isCrowded ? 0 : Math.max(1, Math.floor(slots / gateways));
  return record.inFlight < share ||
    record.load(meanMilliseconds, now) + 1 <= slots;
}

/** The target that costs least so far. */
interface Candidate {
  readonly target: TargetOption;
  /** Time until the response in milliseconds, including the pause. */
  readonly durationMilliseconds: number;
  /**
   * Milliseconds to wait before sending because the target is slow at the
   * moment; 0 to send now.
   */
  readonly pauseMilliseconds: number;
}

function findCheapest(
  targets: readonly TargetOption[],
  options: ChoiceOptions,
): Candidate | undefined {
  let best: Candidate | undefined;
  let bestCost = Infinity;
  for (const target of targets) {
    if (target.pace === PaceDecision.closed) continue;
    const slots = target.slots + queueAllowance;
    if (!hasCapacityFor(target.record, { ...options, slots })) continue;
    const pauseMilliseconds = target.record.recommendedPause(
      options.workMilliseconds,
      options.now,
    );
    const durationMilliseconds = pauseMilliseconds > 0
      ? pauseMilliseconds +
        target.record.meanDuration(options.workMilliseconds, options.now)
      : expectedDuration(target, options);
    const cost = costOf(target, durationMilliseconds, options);
    if (cost >= bestCost) continue;
    best = { target, durationMilliseconds, pauseMilliseconds };
    bestCost = cost;
  }
  return best;
}

/** Returns the milliseconds until the expected response, queueing included. */
function expectedDuration(
  { record, slots }: TargetOption,
  { now, meanMilliseconds, workMilliseconds }: ChoiceOptions,
): number {
  const duration = record.expectedDuration(workMilliseconds, now);
  const load = record.load(meanMilliseconds, now);
  return duration * (1 + Math.max(0, load + 1 - slots) / slots);
}

function costOf(
  { record, slots, distance }: TargetOption,
  durationMilliseconds: number,
  options: ChoiceOptions,
): number {
  const { now, meanMilliseconds, random } = options;
  const busy = record.load(meanMilliseconds, now) / slots;
  const failures = 1 + record.failureShare(now) * failureCostFactor;
  const noise = 1 + random() * costNoiseShare;
  // A target whose slots are all in use costs 30 % more than an idle one.
  return durationMilliseconds * (1 + busy * 0.3) * failures * noise +
    crossingCostMilliseconds[distance];
}

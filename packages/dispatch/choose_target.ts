import type { TargetRecord } from "./target_record.ts";

/** Where a target stands, seen from a gateway. */
export const Distance = {
  dataCentre: "dataCentre",
  region: "region",
  far: "far",
} as const;
export type Distance = typeof Distance[keyof typeof Distance];

/** A target that may get a request. */
export interface TargetOption {
  readonly name: string;
  readonly slots: number;
  readonly distance: Distance;
  readonly record: TargetRecord;
}

/** Options of {@link chooseTarget}. */
export interface ChoiceOptions {
  readonly now: number;
  /** Mean duration of the service's answers. */
  readonly usualMilliseconds: number;
  /** Time left in which an answer is worth most. */
  readonly objectiveMilliseconds: number;
  /** Gateways that send to the targets. */
  readonly gateways: number;
  /** Between 0 and 1. */
  readonly random: () => number;
  /** Names that the request must not go to again. */
  readonly tried: ReadonlySet<string>;
}

/**
 * What crossing costs beside its delay, as traffic between data centres, and
 * above all between regions, is charged: the wait here that crossing is worth.
 */
const crossingMilliseconds: Readonly<Record<Distance, number>> = {
  dataCentre: 0,
  region: 12,
  far: 150,
};
/** Work that a target may have beside its slots, so that no slot waits for us. */
const waitingRoom = 1;
/** Spreads gateways that see the same loads. */
const noiseShare = 0.25;
/** A request that fails has to be done again, and another caller waited. */
const failureCost = 4;
/** Most answers come within this many times the mean duration. */
const tailShare = 1.7;

/** What became of a choice. */
export type Choice =
  | { readonly kind: "chosen"; readonly target: TargetOption }
  /** Every target has as much as it can take. */
  | { readonly kind: "full" }
  /** No target can be used at all. */
  | { readonly kind: "none" };

/**
 * Chooses the target that is thought to answer first, crossing included. Other
 * regions are looked at only when none here would answer within the objective.
 */
export function chooseTarget(
  targets: readonly TargetOption[],
  options: ChoiceOptions,
): Choice {
  const { now, tried } = options;
  const untried = targets.filter(({ name }) => !tried.has(name));
  if (untried.length === 0) return { kind: "none" };
  const sound = untried.filter(({ record }) => !record.isEjected(now));
  // With most of them aside, the fault is more likely on this side.
  const usable = sound.length * 2 >= untried.length ? sound : untried;
  const near = cheapest(
    usable.filter(({ distance }) => distance !== Distance.far),
    options,
  );
  if (near && near.duration * tailShare < options.objectiveMilliseconds) {
    return { kind: "chosen", target: near.target };
  }
  const any = cheapest(usable, options);
  return any ? { kind: "chosen", target: any.target } : { kind: "full" };
}

/** What decides whether a target can take one more request. */
export interface RoomOptions {
  readonly now: number;
  /** Slots, and the work that may wait there. */
  readonly slots: number;
  /** Gateways that send to the target. */
  readonly gateways: number;
  readonly usualMilliseconds: number;
}

/**
 * Whether a target can take one more request of this gateway: its own share of
 * the slots always, more while the latest report leaves room.
 */
export function hasRoomFor(
  record: TargetRecord,
  options: RoomOptions,
): boolean {
  const { now, slots, gateways, usualMilliseconds } = options;
  const share = Math.max(1, Math.floor(slots / gateways));
  return record.inFlight < share ||
    record.load(usualMilliseconds, now) + 1 <= slots;
}

function cheapest(
  targets: readonly TargetOption[],
  options: ChoiceOptions,
): { readonly target: TargetOption; readonly duration: number } | undefined {
  let best: { target: TargetOption; duration: number } | undefined;
  let bestCost = Infinity;
  for (const target of targets) {
    const slots = target.slots + waitingRoom;
    if (!hasRoomFor(target.record, { ...options, slots })) continue;
    const duration = expectedDuration(target, options);
    const cost = costOf(target, duration, options);
    if (cost >= bestCost) continue;
    best = { target, duration };
    bestCost = cost;
  }
  return best;
}

/** Time until an answer is thought to be there, queue included. */
function expectedDuration(
  { record, slots }: TargetOption,
  { now, usualMilliseconds }: ChoiceOptions,
): number {
  const duration = record.duration(usualMilliseconds, now) *
    record.slowdown(now);
  const load = record.load(usualMilliseconds, now);
  return duration * (1 + Math.max(0, load + 1 - slots) / slots);
}

function costOf(
  { record, slots, distance }: TargetOption,
  duration: number,
  options: ChoiceOptions,
): number {
  const { now, usualMilliseconds, random } = options;
  const busy = record.load(usualMilliseconds, now) / slots;
  const failures = 1 + record.failureShare(now) * failureCost;
  const noise = 1 + random() * noiseShare;
  return duration * (1 + busy * 0.3) * failures * noise +
    crossingMilliseconds[distance];
}

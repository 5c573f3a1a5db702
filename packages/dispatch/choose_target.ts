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
  far: 60,
};
/** Work that a target may have beside its slots, so that no slot waits for us. */
const waitingRoom = 1;
/** Spreads gateways that see the same loads. */
const noiseShare = 0.25;
/** A request that fails has to be done again, and another caller waited. */
const failureCost = 4;

/** What became of a choice. */
export type Choice =
  | { readonly kind: "chosen"; readonly target: TargetOption }
  /** Every target has as much as it can take. */
  | { readonly kind: "full" }
  /** No target can be used at all. */
  | { readonly kind: "none" };

/** Chooses the target that is thought to answer first, crossing included. */
export function chooseTarget(
  targets: readonly TargetOption[],
  options: ChoiceOptions,
): Choice {
  const { now, tried } = options;
  const untried = targets.filter(({ name }) => !tried.has(name));
  if (untried.length === 0) return { kind: "none" };
  const sound = untried.filter(({ record }) => !record.isAside(now));
  // With most of them aside, the fault is more likely on this side.
  const usable = sound.length * 2 >= untried.length ? sound : untried;
  let best: TargetOption | undefined;
  let bestCost = Infinity;
  for (const target of usable) {
    if (!hasRoom(target, now)) continue;
    const cost = costOf(target, options);
    if (cost < bestCost) {
      best = target;
      bestCost = cost;
    }
  }
  return best ? { kind: "chosen", target: best } : { kind: "full" };
}

function hasRoom({ record, slots }: TargetOption, now: number): boolean {
  return record.load(now) < slots + waitingRoom;
}

function costOf(target: TargetOption, options: ChoiceOptions): number {
  const { now, usualMilliseconds, random } = options;
  const { record, slots, distance } = target;
  const duration = record.duration(usualMilliseconds, now) *
    record.slowdown(now);
  const load = record.load(now);
  const queued = Math.max(0, load + 1 - slots) / slots;
  const busy = load / slots;
  const failures = 1 + record.failureShare(now) * failureCost;
  const noise = 1 + random() * noiseShare;
  return duration * (1 + busy * 0.3 + queued) * failures * noise +
    crossingMilliseconds[distance];
}

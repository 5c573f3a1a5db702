import { TargetCondition } from "@kingcupglade/membership";
import { isEligibleOwner } from "./eligibility.ts";
import type { LoadView } from "./load.ts";
import type {
  ControlState,
  PlacementGroup,
  RangeRecord,
  TargetRecord,
} from "./model.ts";
import { hashSpaceSize } from "./key_hasher.ts";

/**
 * Load that is added to a group's observed load in proportion to the width of
 * its ranges, as a share of the observed load; at least 1 request per second.
 */
const widthLoadShare = 0.05;

/**
 * A target that may own ranges, with the load of the ranges that it owns or
 * will own.
 */
export interface PlacementTarget {
  readonly target: TargetRecord;
  /** Slots that the target can use; fewer while it is cold. */
  readonly weight: number;
  load: number;
  /** Number of ranges that are moving to the target. */
  incoming: number;
}

/**
 * Returns the load of a range: its observed requests per second plus a small
 * amount for its width. Without observed load, its share of the hash space.
 */
export function rangeLoad(
  loads: LoadView | undefined,
  range: Pick<RangeRecord, "start" | "end"> & { readonly group: string },
): number {
  const share = (range.end - range.start) / hashSpaceSize;
  const observed = loads?.get(range.group);
  if (!observed) return share;
  return observed.between(range.start, range.end) +
    share * Math.max(1, observed.total * widthLoadShare);
}

/**
 * The targets that may own ranges, with their loads; valid for one planning
 * round.
 */
export class PlacementTargets {
  readonly #state: Pick<ControlState, "bundle" | "targets">;
  readonly #all: ReadonlyMap<string, PlacementTarget>;
  readonly #eligible = new Map<string, readonly PlacementTarget[]>();

  constructor(
    state: Pick<ControlState, "bundle" | "targets">,
    isUnavailable: (target: string) => boolean,
  ) {
    this.#state = state;
    this.#all = new Map(
      [...state.targets.values()]
        .filter((each) => !isUnavailable(each.target))
        .map((target) => [target.target, {
          target,
          weight: usableSlots(target),
          load: 0,
          incoming: 0,
        }]),
    );
  }

  /**
   * Returns a target by name, or undefined when it is unknown or unavailable.
   */
  get(target: string): PlacementTarget | undefined {
    return this.#all.get(target);
  }

  /** Returns the targets that may own ranges of a group, sorted by name. */
  eligibleFor(group: PlacementGroup): readonly PlacementTarget[] {
    const known = this.#eligible.get(group.id);
    if (known) return known;
    const eligible = [...this.#all.values()]
      .filter(({ target }) => isEligibleOwner(this.#state, group, target))
      .sort((left, right) => left.target.target < right.target.target ? -1 : 1);
    this.#eligible.set(group.id, eligible);
    return eligible;
  }

  /**
   * Returns the eligible target with the lowest load per slot after adding
   * `load`; the first by name among equals.
   */
  leastLoaded(
    group: PlacementGroup,
    load: number,
    isAllowed: (receiver: PlacementTarget) => boolean = () => true,
  ): PlacementTarget | null {
    let best: PlacementTarget | null = null;
    let lowestLoad = Infinity;
    for (const receiver of this.eligibleFor(group)) {
      const loadAfter = (receiver.load + load) / receiver.weight;
      if (loadAfter < lowestLoad && isAllowed(receiver)) {
        best = receiver;
        lowestLoad = loadAfter;
      }
    }
    return best;
  }
}

/** Returns the load per usable slot. */
export function loadPerSlot(receiver: PlacementTarget): number {
  return receiver.load / receiver.weight;
}

function usableSlots(target: TargetRecord): number {
  return target.condition === TargetCondition.cold
    ? Math.min(target.coldSlots, target.slots)
    : target.slots;
}

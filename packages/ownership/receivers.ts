import { TargetCondition } from "@kingcupglade/membership";
import { isFitOwner } from "./fitness.ts";
import type { LoadView } from "./load.ts";
import type {
  ControlState,
  PlacementGroup,
  RangeRecord,
  TargetRecord,
} from "./model.ts";
import { positionSpace } from "./position.ts";

/** Share of a group's load that is counted by width, whatever was observed. */
const widthShare = 0.05;

/** A target that may own ranges, and what it owns or is about to own. */
export interface Receiver {
  readonly target: TargetRecord;
  /** Slots that it can use: fewer while it is cold. */
  readonly weight: number;
  load: number;
  /** Ranges that are on their way to it. */
  incoming: number;
}

/** The load of a range: what was observed, and a little for its width. */
export function rangeLoad(
  loads: LoadView | undefined,
  range: Pick<RangeRecord, "start" | "end"> & { readonly group: string },
): number {
  const share = (range.end - range.start) / positionSpace;
  const observed = loads?.get(range.group);
  if (!observed) return share;
  return observed.between(range.start, range.end) +
    share * Math.max(1, observed.total * widthShare);
}

/** The targets that may own ranges, with their loads, during one plan. */
export class Receivers {
  readonly #state: Pick<ControlState, "bundle" | "targets">;
  readonly #all: ReadonlyMap<string, Receiver>;
  readonly #fit = new Map<string, readonly Receiver[]>();

  constructor(
    state: Pick<ControlState, "bundle" | "targets">,
    isLapsed: (target: string) => boolean,
  ) {
    this.#state = state;
    this.#all = new Map(
      [...state.targets.values()]
        .filter((each) => !isLapsed(each.target))
        .map((target) => [target.target, {
          target,
          weight: weightOf(target),
          load: 0,
          incoming: 0,
        }]),
    );
  }

  /** A target by name, unless its lease has lapsed. */
  get(target: string): Receiver | undefined {
    return this.#all.get(target);
  }

  /** The targets that may own ranges of a group, by name. */
  fitFor(group: PlacementGroup): readonly Receiver[] {
    const known = this.#fit.get(group.id);
    if (known) return known;
    const fit = [...this.#all.values()]
      .filter(({ target }) => isFitOwner(this.#state, group, target))
      .sort((left, right) => left.target.target < right.target.target ? -1 : 1);
    this.#fit.set(group.id, fit);
    return fit;
  }

  /**
   * The fit target that has the least load for its weight once it has `load`
   * more; among equals the first by name.
   */
  least(
    group: PlacementGroup,
    load: number,
    isAllowed: (receiver: Receiver) => boolean = () => true,
  ): Receiver | null {
    let best: Receiver | null = null;
    let bestLevel = Infinity;
    for (const receiver of this.fitFor(group)) {
      const level = (receiver.load + load) / receiver.weight;
      if (level < bestLevel && isAllowed(receiver)) {
        best = receiver;
        bestLevel = level;
      }
    }
    return best;
  }
}

/** Load for each slot that the target can use. */
export function levelOf(receiver: Receiver): number {
  return receiver.load / receiver.weight;
}

function weightOf(target: TargetRecord): number {
  return target.condition === TargetCondition.cold
    ? Math.min(target.coldSlots, target.slots)
    : target.slots;
}

import { isFitOwner } from "./fitness.ts";
import { RangePhase } from "./model.ts";
import type {
  ControlState,
  PlacementGroup,
  RangeRecord,
  TargetRecord,
} from "./model.ts";

/** Share of the hash space that each target owns or is about to own. */
export class OwnerLoads {
  readonly #shares = new Map<string, number>();

  constructor(groups: Iterable<PlacementGroup>) {
    for (const group of groups) {
      for (const range of group.ranges) {
        if (range.owner !== null && range.phase === RangePhase.serving) {
          this.add(range.owner, range);
        }
      }
    }
  }

  /** Counts a range to a target. */
  add(target: string, range: Pick<RangeRecord, "start" | "end">): void {
    this.#shares.set(target, this.of(target) + (range.end - range.start));
  }

  /** Takes a range from a target. */
  subtract(target: string, range: Pick<RangeRecord, "start" | "end">): void {
    this.#shares.set(target, this.of(target) - (range.end - range.start));
  }

  /** The width of the target's ranges. */
  of(target: string): number {
    return this.#shares.get(target) ?? 0;
  }
}

/** The fit target with the least load for its slots, or null. */
export function chooseOwner(
  state: ControlState,
  group: PlacementGroup,
  loads: OwnerLoads,
): TargetRecord | null {
  let best: TargetRecord | null = null;
  for (const target of state.targets.values()) {
    if (!isFitOwner(state, group, target)) continue;
    if (best === null || isLessLoaded(target, best, loads)) best = target;
  }
  return best;
}

function isLessLoaded(
  left: TargetRecord,
  right: TargetRecord,
  loads: OwnerLoads,
): boolean {
  const difference = loads.of(left.target) / left.slots -
    loads.of(right.target) / right.slots;
  return difference < 0 || (difference === 0 && left.target < right.target);
}

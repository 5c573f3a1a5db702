import { TargetCondition } from "@kingcupglade/membership";
import { planBalance } from "./balance.ts";
import type { BalanceOptions } from "./balance.ts";
import type { RangeChange } from "./commands.ts";
import {
  findColdFragments,
  initialRangeCount,
  isColdFragment,
  planMerges,
} from "./range_splits.ts";
import { isEligibleOwner } from "./eligibility.ts";
import type { LeaderView } from "./leader_view.ts";
import type { LeavingOwnerTracker } from "./leaving_owners.ts";
import type { LoadView } from "./load.ts";
import { RangePhase } from "./model.ts";
import type { ControlState, PlacementGroup, RangeRecord } from "./model.ts";
import type { GroupIndex, OwnedRanges } from "./range_index.ts";
import { findRange } from "./ranges.ts";
import { PlacementTargets, rangeLoad } from "./placement_targets.ts";
import type { PlacementTarget } from "./placement_targets.ts";
import { ReleaseCheck } from "./release.ts";

/** Input of {@link planRanges}. */
export interface PlannerInput {
  readonly state: ControlState;
  readonly view: LeaderView;
  readonly indexes: ReadonlyMap<string, GroupIndex>;
  /**
   * Table version for which no request that began under an older one is in
   * progress on any VM.
   */
  readonly settled: number;
}

/** Options of {@link planRanges}. */
export interface PlannerOptions extends BalanceOptions {
  /** Whether to balance the load and to merge cold ranges. @default false */
  readonly balance?: boolean;
  /**
   * Tracker kept between rounds that bounds how long owners may take to leave.
   * @default the time is not bounded
   */
  readonly leaving?: LeavingOwnerTracker;
}

/** Lowest limit on the ranges that may leave working owners at once. */
const minimumLeavingLimit = 16;
/**
 * One in this many of the ranges that must leave working owners may move at
 * once.
 */
const leavingLimitDivisor = 3;
/** Maximum number of cold fragments of a group stopped in one round. */
const maximumFragmentMovesPerGroup = 16;

/** A range with its group and load. */
interface LoadedRange {
  readonly group: PlacementGroup;
  readonly range: RangeRecord;
  readonly load: number;
}

interface DepartingRanges {
  /** Ranges that are stopped in this round. */
  readonly immediate: LoadedRange[];
  /**
   * Ranges that are stopped at a limited rate, to avoid overloading receivers.
   */
  readonly throttled: LoadedRange[];
}

/**
 * Plans the next steps of every range: first grants of released ranges, then
 * stops of ranges whose owner is lost or must leave, and last moves that
 * balance the load. The cost is proportional to the number of owners and of
 * ranges in transit, not to the number of all ranges.
 */
export function planRanges(
  input: PlannerInput,
  options: PlannerOptions = {},
): readonly RangeChange[] {
  return new RangePlanner(input).plan(options);
}

class RangePlanner {
  readonly #input: PlannerInput;
  readonly #loads: LoadView | undefined;
  #cachedTargets: PlacementTargets | undefined;
  #moving = 0;

  constructor(input: PlannerInput) {
    this.#input = input;
    this.#loads = input.view.loads;
  }

  plan(options: PlannerOptions): readonly RangeChange[] {
    const grants = this.#planGrants();
    const stops = this.#planStops(options.leaving);
    if (!options.balance) return [...grants, ...stops];
    const moves = stops.length > 0 ? [] : this.#planBalancing(options);
    return [...grants, ...stops, ...moves];
  }

  #planGrants(): readonly RangeChange[] {
    const { state, view, indexes, settled } = this.#input;
    const release = new ReleaseCheck(state, view, settled);
    return this.#findUnserved(indexes).flatMap((loaded): RangeChange[] => {
      const { group, range, load } = loaded;
      this.#moving += 1;
      const receiver = this.#chooseReceiver(loaded);
      if (receiver) {
        receiver.load += load;
        receiver.incoming += 1;
      }
      if (!release.isReleased(group, range)) return [];
      const reference = referenceTo(group, range);
      if (!receiver) {
        return range.phase === RangePhase.stopping
          ? [{ kind: "vacate", ...reference }]
          : [];
      }
      const { target, boot } = receiver.target;
      return [{ kind: "grant", ...reference, owner: target, ownerBoot: boot }];
    });
  }

  /** Returns the stopping and vacant ranges, the most loaded first. */
  #findUnserved(
    indexes: ReadonlyMap<string, GroupIndex>,
  ): readonly LoadedRange[] {
    const unserved: LoadedRange[] = [];
    for (const { group, owners, vacant } of indexes.values()) {
      const add = (range: RangeRecord) =>
        unserved.push({ group, range, load: this.#loadOf(group, range) });
      vacant.forEach(add);
      for (const { stopping } of owners.values()) stopping.forEach(add);
    }
    return unserved.sort(byLoad);
  }

  #chooseReceiver({ group, range, load }: LoadedRange): PlacementTarget | null {
    const targets = this.#placementTargets();
    const initial = initialRangeCount(this.#input.state, group);
    if (isColdFragment(group, range, { loads: this.#loads, initial })) {
      const neighbour = neighbourOwners(group, range)
        .map((owner) => targets.get(owner))
        .find((each) => each && targets.eligibleFor(group).includes(each));
      if (neighbour) return neighbour;
    }
    return targets.leastLoaded(group, load);
  }

  #planStops(leaving: LeavingOwnerTracker | undefined): readonly RangeChange[] {
    const { immediate, throttled } = this.#findDeparting(leaving);
    const leavingLimit = Math.max(
      minimumLeavingLimit,
      Math.ceil(throttled.length / leavingLimitDivisor),
    );
    return [
      ...immediate.sort(byLoad),
      ...throttled.sort(byLoad).slice(
        0,
        Math.max(0, leavingLimit - this.#moving),
      ),
    ].map(({ group, range }) => ({
      kind: "stop",
      ...referenceTo(group, range),
    }));
  }

  /** Returns the serving ranges of owners that are lost or must leave. */
  #findDeparting(leaving: LeavingOwnerTracker | undefined): DepartingRanges {
    const immediate: LoadedRange[] = [];
    const byOwner = new Map<string, readonly LoadedRange[]>();
    for (const { group, owners } of this.#input.indexes.values()) {
      for (const owned of owners.values()) {
        const status = this.#classifyOwner(group, owned);
        if (status === "stays") continue;
        const ranges = owned.ranges
          .filter(({ phase }) => phase === RangePhase.serving)
          .map((range) => ({ group, range, load: this.#loadOf(group, range) }));
        if (status === "lost") immediate.push(...ranges);
        else byOwner.set(`${group.id} ${owned.owner} ${owned.boot}`, ranges);
      }
    }
    const now = this.#input.view.now ?? 0;
    const overdue = leaving?.update([...byOwner.keys()], now);
    const throttled: LoadedRange[] = [];
    for (const [owner, ranges] of byOwner) {
      (overdue?.has(owner) ? immediate : throttled).push(...ranges);
    }
    return { immediate, throttled };
  }

  #classifyOwner(
    group: PlacementGroup,
    owned: OwnedRanges,
  ): "stays" | "leaves" | "lost" {
    const { state, view } = this.#input;
    const target = state.targets.get(owned.owner);
    if (
      !target || target.boot !== owned.boot ||
      target.condition === TargetCondition.lost
    ) return "lost";
    if (isEligibleOwner(state, group, target)) return "stays";
    return view.target(owned.owner).lapsed ? "lost" : "leaves";
  }

  #planBalancing(options: PlannerOptions): readonly RangeChange[] {
    const { state, indexes } = this.#input;
    const moves = planBalance({
      state,
      indexes,
      placementTargets: this.#placementTargets(),
      loads: this.#loads,
      moving: this.#moving,
    }, options);
    if (moves.length > 0) return moves;
    return [...state.groups.values()].flatMap((group) => [
      ...planMerges(state, group, this.#loads),
      ...findColdFragments(state, group, this.#loads)
        .slice(0, maximumFragmentMovesPerGroup)
        .map((range) => ({
          kind: "stop" as const,
          ...referenceTo(group, range),
        })),
    ]);
  }

  /** Returns the placement targets with the load of all serving ranges. */
  #placementTargets(): PlacementTargets {
    if (this.#cachedTargets) return this.#cachedTargets;
    const { state, view, indexes } = this.#input;
    const targets = new PlacementTargets(state, (name) => {
      const { lapsed, held, acceptsGrants } = view.target(name);
      return lapsed || !(acceptsGrants ?? held !== null);
    });
    for (const { group, owners } of indexes.values()) {
      for (const owned of owners.values()) {
        const receiver = targets.get(owned.owner);
        if (receiver?.target.boot !== owned.boot) continue;
        receiver!.load += owned.servingLoad(
          this.#loads,
          (range) => this.#loadOf(group, range),
        );
      }
    }
    this.#cachedTargets = targets;
    return targets;
  }

  #loadOf(group: PlacementGroup, range: RangeRecord): number {
    const { start, end } = range;
    return rangeLoad(this.#loads, { group: group.id, start, end });
  }
}

function referenceTo(group: PlacementGroup, range: RangeRecord) {
  return { group: group.id, start: range.start, epoch: range.epoch };
}

function neighbourOwners(
  group: PlacementGroup,
  range: RangeRecord,
): readonly string[] {
  const index = findRange(group.ranges, range.start);
  return [group.ranges[index - 1], group.ranges[index + 1]].flatMap((each) =>
    each?.owner && each.phase === RangePhase.serving ? [each.owner] : []
  );
}

function byLoad(left: LoadedRange, right: LoadedRange): number {
  return right.load - left.load ||
    compareStrings(left.group.id, right.group.id) ||
    left.range.start - right.range.start;
}

function compareStrings(left: string, right: string): number {
  return left === right ? 0 : left < right ? -1 : 1;
}

import { TargetCondition } from "@kingcupglade/membership";
import type { RangeChange } from "./commands.ts";
import { isWorthSplitting, maximumRanges, planSplits } from "./range_splits.ts";
import type { LoadView } from "./load.ts";
import type { ControlState, PlacementGroup, RangeRecord } from "./model.ts";
import { RangePhase } from "./model.ts";
import type { GroupIndex } from "./range_index.ts";
import { ownerKey } from "./range_index.ts";
import { loadPerSlot, rangeLoad } from "./placement_targets.ts";
import type { PlacementTarget, PlacementTargets } from "./placement_targets.ts";

/** Limits of the moves that balance the load. */
export interface BalanceOptions {
  /**
   * Maximum number of ranges in transit at once while there is load.
   * @default 1 for every 8 targets, at least 4
   */
  readonly maximumMoving?: number;
  /**
   * Maximum number of ranges in transit to one serving target; a cold target
   * receives one at a time.
   * @default 4
   */
  readonly maximumIncoming?: number;
  /**
   * Load above the mean that is tolerated, as a share of the mean.
   * @default 0.1
   */
  readonly tolerance?: number;
}

/** Input of {@link planBalance}. */
export interface BalanceInput {
  readonly state: ControlState;
  readonly indexes: ReadonlyMap<string, GroupIndex>;
  /** Targets with the loads of all serving ranges and of those in transit. */
  readonly placementTargets: PlacementTargets;
  readonly loads: LoadView | undefined;
  /** Number of ranges that are already in transit. */
  readonly moving: number;
}

/** A range with its group and load. */
interface LoadedRange {
  readonly group: PlacementGroup;
  readonly range: RangeRecord;
  readonly load: number;
}

const defaultMaximumIncoming = 4;
const defaultTolerance = 0.1;
const targetsPerMovingRange = 8;
const minimumMoving = 4;
/** Factor that raises the limits on moves of a service without load. */
const idleLimitFactor = 8;
/**
 * Minimum load of a move, as a share of its donor's excess load or of the
 * donor's average range load, whichever is lower.
 */
const minimumGainShare = 0.1;
/**
 * A target whose load per slot is below this share of the mean also receives
 * ranges from targets that are not overloaded.
 */
const underloadThreshold = 0.75;
const maximumSplitsPerService = 96;

/**
 * Plans the moves and splits that balance the load of each service's targets.
 * Takes ranges from the target with the highest load per slot first, until it
 * is near the mean or a limit is reached. The same input gives the same plan.
 */
export function planBalance(
  input: BalanceInput,
  options: BalanceOptions = {},
): readonly RangeChange[] {
  const services = new Set<string>();
  for (const group of input.state.groups.values()) services.add(group.service);
  return [...services].sort().flatMap((service) =>
    new ServiceBalancer(service, input, options).plan()
  );
}

class ServiceBalancer {
  readonly #input: BalanceInput;
  readonly #tolerance: number;
  readonly #maximumIncoming: number;
  readonly #groups: readonly PlacementGroup[];
  readonly #targets: PlacementTarget[];
  readonly #meanLoadPerSlot: number;
  readonly #changes: RangeChange[] = [];
  readonly #moved = new Set<RangeRecord>();
  #remainingMoves: number;
  #remainingSplits = maximumSplitsPerService;

  constructor(
    service: string,
    input: BalanceInput,
    options: BalanceOptions,
  ) {
    this.#input = input;
    this.#tolerance = options.tolerance ?? defaultTolerance;
    this.#groups = [...input.state.groups.values()].filter((each) =>
      each.service === service
    );
    const isIdle = this.#groups.every((each) => !input.loads?.has(each.id));
    const factor = isIdle ? idleLimitFactor : 1;
    this.#maximumIncoming = factor *
      (options.maximumIncoming ?? defaultMaximumIncoming);
    this.#targets = [
      ...new Set(
        this.#groups.flatMap((group) =>
          input.placementTargets.eligibleFor(group)
        ),
      ),
    ];
    const weight = sum(this.#targets.map((each) => each.weight));
    this.#meanLoadPerSlot = sum(this.#targets.map((each) => each.load)) /
      Math.max(1, weight);
    const maximumMoving = options.maximumMoving ??
      Math.max(
        minimumMoving,
        Math.ceil(this.#targets.length / targetsPerMovingRange),
      );
    this.#remainingMoves = factor * maximumMoving - input.moving;
  }

  plan(): readonly RangeChange[] {
    const donors = this.#targets.filter((each) => this.#isOverloaded(each))
      .sort((left, right) => loadPerSlot(right) - loadPerSlot(left));
    for (const donor of donors) this.#offload(donor);
    const underloaded = this.#targets.filter((each) =>
      this.#isUnderloaded(each)
    )
      .sort((left, right) => loadPerSlot(left) - loadPerSlot(right));
    for (const receiver of underloaded) this.#fill(receiver);
    return this.#changes;
  }

  #isUnderloaded(target: PlacementTarget): boolean {
    return loadPerSlot(target) < this.#meanLoadPerSlot * underloadThreshold;
  }

  /** Moves ranges to an underloaded target from the most loaded ones. */
  #fill(receiver: PlacementTarget): void {
    const donors = this.#targets.filter((each) =>
      loadPerSlot(each) > this.#meanLoadPerSlot * (1 - this.#tolerance)
    ).sort((left, right) => loadPerSlot(right) - loadPerSlot(left));
    for (const donor of donors.slice(0, this.#maximumIncoming)) {
      if (this.#remainingMoves <= 0 || !this.#canReceive(receiver)) return;
      if (!this.#isUnderloaded(receiver)) return;
      const loaded = this.#servingRanges(donor).find(({ group, range, load }) =>
        !this.#moved.has(range) &&
        this.#input.placementTargets.eligibleFor(group).includes(receiver) &&
        (receiver.load + load) / receiver.weight <
          (donor.load - load) / donor.weight
      );
      if (loaded) this.#move(donor, { loaded, receiver });
    }
  }

  #isOverloaded(target: PlacementTarget): boolean {
    return loadPerSlot(target) > this.#meanLoadPerSlot * (1 + this.#tolerance);
  }

  #offload(donor: PlacementTarget): void {
    const ranges = this.#servingRanges(donor);
    const alreadySplit = new Set<RangeRecord>();
    while (this.#isOverloaded(donor) && this.#remainingMoves > 0) {
      const move = this.#bestMove(donor, ranges);
      if (!move) break;
      this.#move(donor, move);
      ranges.splice(ranges.indexOf(move.loaded), 1);
    }
    const excess = donor.load - this.#meanLoadPerSlot * donor.weight;
    for (const { group, range, load } of ranges) {
      const isTooLarge = load > excess / 2 &&
        loadPerSlot(donor) > this.#meanLoadPerSlot * (1 + this.#tolerance);
      if (
        !isTooLarge || alreadySplit.has(range) || this.#remainingSplits <= 0
      ) break;
      alreadySplit.add(range);
      this.#split(group, range, excess);
    }
  }

  /** Returns the serving ranges of a donor, the most loaded first. */
  #servingRanges(donor: PlacementTarget): LoadedRange[] {
    const { indexes, loads } = this.#input;
    const key = ownerKey(donor.target.target, donor.target.boot);
    return this.#groups.flatMap((group) =>
      (indexes.get(group.id)?.owners.get(key)?.ranges ?? [])
        .filter((range) => range.phase === RangePhase.serving)
        .map((range) => ({
          group,
          range,
          load: rangeLoad(loads, { ...range, group: group.id }),
        }))
    ).sort((left, right) =>
      right.load - left.load || left.range.start - right.range.start
    );
  }

  /**
   * Returns the move of the most loaded range that leaves its receiver below
   * its donor or near the mean.
   */
  #bestMove(
    donor: PlacementTarget,
    ranges: readonly LoadedRange[],
  ):
    | { readonly loaded: LoadedRange; readonly receiver: PlacementTarget }
    | null {
    const excess = donor.load - this.#meanLoadPerSlot * donor.weight;
    const minimumGain = minimumGainShare *
      Math.min(excess, donor.load / ranges.length);
    for (const loaded of ranges) {
      const { load, group } = loaded;
      if (load < minimumGain) return null;
      const receiver = this.#input.placementTargets.leastLoaded(
        group,
        load,
        (each) => each !== donor && this.#canReceive(each),
      );
      if (!receiver) continue;
      const after = (receiver.load + load) / receiver.weight;
      const improvesBalance = after < (donor.load - load) / donor.weight ||
        after < this.#meanLoadPerSlot * (1 + this.#tolerance / 2);
      if (improvesBalance) return { loaded, receiver };
    }
    return null;
  }

  #canReceive(receiver: PlacementTarget): boolean {
    const limit = receiver.target.condition === TargetCondition.cold
      ? 1
      : this.#maximumIncoming;
    return receiver.incoming < limit;
  }

  #move(
    donor: PlacementTarget,
    move: { readonly loaded: LoadedRange; readonly receiver: PlacementTarget },
  ): void {
    const { loaded: { group, range, load }, receiver } = move;
    donor.load -= load;
    receiver.load += load;
    receiver.incoming += 1;
    this.#moved.add(range);
    this.#remainingMoves -= 1;
    this.#changes.push({
      kind: "stop",
      group: group.id,
      start: range.start,
      epoch: range.epoch,
    });
  }

  #split(group: PlacementGroup, range: RangeRecord, excess: number): void {
    const { state, loads } = this.#input;
    const remainingRanges = maximumRanges(state, group) - group.ranges.length;
    if (!isWorthSplitting({ state, group, loads }, range)) return;
    const splits = planSplits(range, loads?.get(group.id), excess / 2);
    if (
      splits.length === 0 ||
      splits.length > Math.min(remainingRanges, this.#remainingSplits)
    ) return;
    this.#remainingSplits -= splits.length;
    for (const split of splits) {
      this.#changes.push({
        kind: "split",
        group: group.id,
        start: split.start,
        epoch: range.epoch,
        at: split.at,
      });
    }
  }
}

function sum(values: readonly number[]): number {
  return values.reduce((total, each) => total + each, 0);
}

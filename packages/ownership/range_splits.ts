import type { RangeChange } from "./commands.ts";
import type { GroupLoad, LoadView } from "./load.ts";
import type { ControlState, PlacementGroup, RangeRecord } from "./model.ts";
import { RangePhase } from "./model.ts";
import { hashSpaceSize } from "./key_hasher.ts";
import { rangeLoad } from "./placement_targets.ts";

/** Maximum number of ranges of width one in a group. */
const maximumHotRanges = 256;
const defaultInitialRanges = 64;
/** Maximum number of hot positions that one split isolates. */
const maximumHotPositionsPerSplit = 4;
/** Maximum number of merges planned for a group in one round. */
const maximumMergesPerGroup = 64;
/**
 * Neighbours are merged while their combined load is at most this share of the
 * mean load of a range.
 */
const mergeLoadShare = 0.5;
/** A cold fragment is merged up to this share of the mean load of a range. */
const fragmentMergeLoadShare = 1.5;
/** A range narrower than this share of the initial width is a fragment. */
const fragmentWidthShare = 0.25;

/** A split of the range that starts at `start`, at position `at`. */
export interface Split {
  readonly start: number;
  readonly at: number;
}

/** Returns the initial number of ranges of a group. */
export function initialRangeCount(
  state: Pick<ControlState, "bundle">,
  group: PlacementGroup,
): number {
  return state.bundle?.bundle.services.find((each) =>
    each.name === group.service
  )?.initialRanges ?? defaultInitialRanges;
}

/** Returns the maximum number of ranges of a group. */
export function maximumRanges(
  state: Pick<ControlState, "bundle">,
  group: PlacementGroup,
): number {
  return 2 * initialRangeCount(state, group) + 2 * maximumHotRanges;
}

/**
 * Plans where to split a range that is too large to move as a whole: around the
 * hottest of the positions with a load of at least an eighth of
 * `loadThreshold`, or in half when there are none.
 */
export function planSplits(
  range: RangeRecord,
  load: GroupLoad | undefined,
  loadThreshold: number,
): readonly Split[] {
  const hot = (load?.hot ?? [])
    .filter(({ position, rate }) =>
      position >= range.start && position < range.end &&
      rate >= loadThreshold / 8
    )
    .sort((left, right) => right.rate - left.rate)
    .slice(0, maximumHotPositionsPerSplit);
  const splitPoints = hot.length > 0
    ? hot.flatMap(({ position }) => [position, position + 1])
    : [Math.floor((range.start + range.end) / 2)];
  const innerPoints = [...new Set(splitPoints)].filter((at) =>
    at > range.start && at < range.end
  ).sort((left, right) => left - right);
  return innerPoints.map((at, index) => ({
    start: index === 0 ? range.start : innerPoints[index - 1]!,
    at,
  }));
}

/**
 * Returns whether the parts of a range would not be merged again immediately.
 */
export function isWorthSplitting(
  source: {
    readonly state: Pick<ControlState, "bundle">;
    readonly group: PlacementGroup;
    readonly loads: LoadView | undefined;
  },
  range: RangeRecord,
): boolean {
  const { state, group, loads } = source;
  const initial = initialRangeCount(state, group);
  const mean = meanRangeLoad(group, { loads, initial });
  const { start, end } = range;
  return end - start > 1 &&
    rangeLoad(loads, { group: group.id, start, end }) > mean * mergeLoadShare;
}

/**
 * Plans merges of neighbours with little load and the same owner, in groups
 * that have more ranges than initially.
 */
export function planMerges(
  state: Pick<ControlState, "bundle">,
  group: PlacementGroup,
  loads: LoadView | undefined,
): readonly RangeChange[] {
  const initial = initialRangeCount(state, group);
  let surplus = Math.min(group.ranges.length - initial, maximumMergesPerGroup);
  if (surplus <= 0) return [];
  const source = { loads, initial };
  const mean = meanRangeLoad(group, source);
  const changes: RangeChange[] = [];
  for (let index = 0; index + 1 < group.ranges.length; index += 1) {
    if (surplus <= 0) break;
    const range = group.ranges[index]!;
    const next = group.ranges[index + 1]!;
    if (!canMergeServing(range, next)) continue;
    const mergedLoad = rangeLoad(loads, {
      group: group.id,
      start: range.start,
      end: next.end,
    });
    const hasFragment = isColdFragment(group, range, source) ||
      isColdFragment(group, next, source);
    if (
      mergedLoad >
        mean * (hasFragment ? fragmentMergeLoadShare : mergeLoadShare)
    ) {
      continue;
    }
    changes.push({
      kind: "merge",
      group: group.id,
      start: range.start,
      epoch: range.epoch,
    });
    surplus -= 1;
    index += 1;
  }
  return changes;
}

/**
 * Returns the cold fragments between ranges of other owners; they move back to
 * a neighbour's owner and can then be merged.
 */
export function findColdFragments(
  state: Pick<ControlState, "bundle">,
  group: PlacementGroup,
  loads: LoadView | undefined,
): readonly RangeRecord[] {
  const initial = initialRangeCount(state, group);
  if (group.ranges.length <= initial) return [];
  return group.ranges.filter((range, index) =>
    range.phase === RangePhase.serving &&
    isColdFragment(group, range, { loads, initial }) &&
    [group.ranges[index - 1], group.ranges[index + 1]].every((each) =>
      each?.owner !== range.owner
    )
  );
}

/** Returns whether a range is narrow and has little load. */
export function isColdFragment(
  group: PlacementGroup,
  range: RangeRecord,
  source: { readonly loads: LoadView | undefined; readonly initial: number },
): boolean {
  const width = hashSpaceSize / source.initial;
  return range.end - range.start < width * fragmentWidthShare &&
    rangeLoad(source.loads, { ...range, group: group.id }) <
      meanRangeLoad(group, source) * mergeLoadShare / 4;
}

function meanRangeLoad(
  group: PlacementGroup,
  source: { readonly loads: LoadView | undefined; readonly initial: number },
): number {
  return rangeLoad(source.loads, {
    group: group.id,
    start: 0,
    end: hashSpaceSize,
  }) / source.initial;
}

// Only serving ranges are merged: a merge gives one part a new epoch, and no
// unfinished move may depend on the old one.
function canMergeServing(left: RangeRecord, right: RangeRecord): boolean {
  return left.phase === RangePhase.serving &&
    right.phase === RangePhase.serving && left.owner === right.owner &&
    left.ownerBoot === right.ownerBoot;
}

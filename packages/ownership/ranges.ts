import type { RangeChange } from "./commands.ts";
import { RangePhase } from "./model.ts";
import type { PlacementGroup, RangeRecord } from "./model.ts";
import { hashSpaceSize } from "./key_hasher.ts";

/** Divides the hash space into equal vacant ranges. */
export function createInitialRanges(
  count: number,
  version: number,
): readonly RangeRecord[] {
  const bounds = Array.from(
    { length: count + 1 },
    (_, index) => Math.floor((hashSpaceSize / count) * index),
  );
  bounds[count] = hashSpaceSize;
  return bounds.slice(0, -1).map((start, index) => ({
    start,
    end: bounds[index + 1]!,
    owner: null,
    ownerBoot: null,
    epoch: 0,
    phase: RangePhase.vacant,
    changedAt: version,
  }));
}

/** Returns the index of the range that contains a position. */
export function findRange(
  ranges: readonly Pick<RangeRecord, "start">[],
  position: number,
): number {
  let low = 0;
  let high = ranges.length - 1;
  while (low < high) {
    const middle = (low + high + 1) >>> 1;
    if (ranges[middle]!.start <= position) low = middle;
    else high = middle - 1;
  }
  return low;
}

/**
 * Applies conditional changes; drops those that the current start, epoch or
 * phase of the range does not allow.
 */
export function applyRangeChanges(
  groups: ReadonlyMap<string, PlacementGroup>,
  changes: readonly RangeChange[],
  version: number,
): ReadonlyMap<string, PlacementGroup> {
  const next = new Map(groups);
  const copies = new Map<string, RangeRecord[]>();
  for (const change of changes) {
    const group = groups.get(change.group);
    if (!group) continue;
    const ranges = copies.get(change.group) ?? [...group.ranges];
    copies.set(change.group, ranges);
    applyRangeChange(ranges, change, version);
  }
  for (const [id, ranges] of copies) {
    next.set(id, { ...groups.get(id)!, ranges, changedAt: version });
  }
  return next;
}

function applyRangeChange(
  ranges: RangeRecord[],
  change: RangeChange,
  version: number,
): void {
  const index = findRange(ranges, change.start);
  const range = ranges[index];
  if (
    !range || range.start !== change.start || range.epoch !== change.epoch
  ) return;
  const following = ranges[index + 1];
  if (change.kind === "merge") {
    if (following && canMerge(range, following)) {
      ranges.splice(index, 2, mergeRanges(range, following, version));
    }
    return;
  }
  ranges.splice(index, 1, ...rangesAfterChange(range, change, version));
}

function rangesAfterChange(
  range: RangeRecord,
  change: Exclude<RangeChange, { readonly kind: "merge" }>,
  version: number,
): readonly RangeRecord[] {
  switch (change.kind) {
    case "stop":
      return range.phase === RangePhase.serving
        ? [{ ...range, phase: RangePhase.stopping, changedAt: version }]
        : [range];
    case "vacate":
      return range.phase === RangePhase.stopping
        ? [{
          ...range,
          phase: RangePhase.vacant,
          owner: null,
          ownerBoot: null,
          changedAt: version,
        }]
        : [range];
    case "grant":
      return range.phase === RangePhase.serving ? [range] : [{
        ...range,
        phase: RangePhase.serving,
        owner: change.owner,
        ownerBoot: change.ownerBoot,
        epoch: version,
        changedAt: version,
      }];
    case "split":
      return change.at > range.start && change.at < range.end
        ? [
          { ...range, end: change.at, changedAt: version },
          { ...range, start: change.at, changedAt: version },
        ]
        : [range];
  }
}

function mergeRanges(
  left: RangeRecord,
  right: RangeRecord,
  version: number,
): RangeRecord {
  return {
    ...left,
    end: right.end,
    epoch: Math.max(left.epoch, right.epoch),
    changedAt: version,
  };
}

// Stopping ranges are not merged: one may be released before the other.
function canMerge(left: RangeRecord, right: RangeRecord): boolean {
  return left.phase !== RangePhase.stopping && left.phase === right.phase &&
    left.owner === right.owner &&
    left.ownerBoot === right.ownerBoot;
}

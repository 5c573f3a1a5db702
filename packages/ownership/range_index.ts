import { grantsSignature } from "./grants.ts";
import type { Grant } from "./grants.ts";
import { RangePhase } from "./model.ts";
import type { PlacementGroup, RangeRecord } from "./model.ts";

/** The ranges that one incarnation of a target owns in one group. */
export class OwnedRanges {
  readonly owner: string;
  readonly boot: string;
  /** Sorted by position. */
  readonly ranges: readonly RangeRecord[];
  readonly stopping: readonly RangeRecord[];
  readonly #group: string;
  #grants: readonly Grant[] | undefined;
  #signature: string | undefined;
  #load:
    | { readonly source: object | undefined; readonly sum: number }
    | undefined;

  constructor(group: string, ranges: readonly RangeRecord[]) {
    this.#group = group;
    this.ranges = ranges;
    this.owner = ranges[0]!.owner!;
    this.boot = ranges[0]!.ownerBoot!;
    this.stopping = ranges.filter((each) => each.phase === RangePhase.stopping);
  }

  /**
   * Returns the grants that the owner should hold once every request that began
   * before version `settled` has ended.
   */
  grants(settled: number): readonly Grant[] {
    if (this.stopping.some((each) => settled >= each.changedAt)) {
      return this.ranges.filter((each) =>
        each.phase !== RangePhase.stopping || settled < each.changedAt
      ).map((each) => toGrant(this.#group, each));
    }
    this.#grants ??= this.ranges.map((each) => toGrant(this.#group, each));
    return this.#grants;
  }

  /**
   * Returns the total load of the serving ranges; cached while `source` is the
   * same object.
   */
  servingLoad(
    source: object | undefined,
    loadOf: (range: RangeRecord) => number,
  ): number {
    if (this.#load && this.#load.source === source) return this.#load.sum;
    const sum = this.ranges
      .filter((each) => each.phase === RangePhase.serving)
      .reduce((total, each) => total + loadOf(each), 0);
    this.#load = { source, sum };
    return sum;
  }

  /** Returns a string that identifies the result of {@link grants}. */
  signature(settled: number): string {
    const grants = this.grants(settled);
    if (grants !== this.#grants) return grantsSignature(grants);
    this.#signature ??= grantsSignature(grants);
    return this.#signature;
  }
}

/** The ranges of a group by owner and phase. */
export interface GroupIndex {
  readonly group: PlacementGroup;
  /** Keyed by {@link ownerKey}. */
  readonly owners: ReadonlyMap<string, OwnedRanges>;
  readonly vacant: readonly RangeRecord[];
}

/** Returns the key of an owner's incarnation. */
export function ownerKey(owner: string, boot: string): string {
  return `${owner}\0${boot}`;
}

/**
 * Caches the indexes of the groups between rounds: an unchanged group is not
 * scanned again, and an owner whose ranges did not change keeps its computed
 * grants.
 */
export class RangeIndex {
  readonly #groups = new Map<string, GroupIndex>();

  /** Updates and returns the indexes of the current groups. */
  update(
    groups: ReadonlyMap<string, PlacementGroup>,
  ): ReadonlyMap<string, GroupIndex> {
    for (const id of this.#groups.keys()) {
      if (!groups.has(id)) this.#groups.delete(id);
    }
    for (const group of groups.values()) {
      const known = this.#groups.get(group.id);
      if (known?.group === group) continue;
      this.#groups.set(group.id, indexGroup(group, known));
    }
    return this.#groups;
  }
}

function indexGroup(
  group: PlacementGroup,
  before: GroupIndex | undefined,
): GroupIndex {
  const listsByOwner = new Map<string, Map<string, RangeRecord[]>>();
  const vacant: RangeRecord[] = [];
  for (const range of group.ranges) {
    if (range.owner === null) vacant.push(range);
    else rangeListFor(listsByOwner, range).push(range);
  }
  const owners = new Map<string, OwnedRanges>();
  for (const incarnations of listsByOwner.values()) {
    for (const ranges of incarnations.values()) {
      const { owner, ownerBoot } = ranges[0]!;
      const key = ownerKey(owner!, ownerBoot!);
      const known = before?.owners.get(key);
      owners.set(
        key,
        known && haveSameElements(known.ranges, ranges)
          ? known
          : new OwnedRanges(group.id, ranges),
      );
    }
  }
  return { group, owners, vacant };
}

// Nested maps avoid building a combined key for each of many ranges.
function rangeListFor(
  listsByOwner: Map<string, Map<string, RangeRecord[]>>,
  range: RangeRecord,
): RangeRecord[] {
  let incarnations = listsByOwner.get(range.owner!);
  if (!incarnations) listsByOwner.set(range.owner!, incarnations = new Map());
  let list = incarnations.get(range.ownerBoot!);
  if (!list) incarnations.set(range.ownerBoot!, list = []);
  return list;
}

function haveSameElements(
  left: readonly RangeRecord[],
  right: readonly RangeRecord[],
): boolean {
  return left.length === right.length &&
    left.every((each, index) => each === right[index]);
}

function toGrant(group: string, range: RangeRecord): Grant {
  return { group, start: range.start, end: range.end, epoch: range.epoch };
}

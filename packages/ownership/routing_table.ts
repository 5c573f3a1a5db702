import { homeRegions } from "@kingcupglade/bundle";
import { applyBundleUpdate } from "./bundle_updates.ts";
import type { TableDelta } from "./delta.ts";
import { groupId } from "./model.ts";
import type {
  BundleRecord,
  PlacementGroup,
  RangeRecord,
  Rehoming,
  RoleAssignment,
  TargetRecord,
  VmRecord,
} from "./model.ts";
import { roleId } from "./model.ts";
import { findRange } from "./ranges.ts";
import { findRehoming } from "./rehoming.ts";

/** A gateway's immutable copy of the table; each delta gives a new copy. */
export class RoutingTable {
  readonly version: number;
  readonly bundle: BundleRecord | null;
  readonly targets: ReadonlyMap<string, TargetRecord>;
  readonly vms: ReadonlyMap<string, VmRecord>;
  readonly groups: ReadonlyMap<string, PlacementGroup>;
  readonly roles: ReadonlyMap<string, RoleAssignment>;
  readonly rehomings: readonly Rehoming[];
  readonly #targetsByService: ReadonlyMap<string, readonly TargetRecord[]>;
  readonly #homeRegions = new Map<string, readonly string[]>();

  /** The table before the first delta. */
  static readonly empty: RoutingTable = new RoutingTable({
    version: 0,
    bundle: null,
    targets: new Map(),
    vms: new Map(),
    groups: new Map(),
    roles: new Map(),
    rehomings: [],
  });

  protected constructor(
    content: Pick<
      RoutingTable,
      | "version"
      | "bundle"
      | "targets"
      | "vms"
      | "groups"
      | "roles"
      | "rehomings"
    >,
  ) {
    this.version = content.version;
    this.bundle = content.bundle;
    this.targets = content.targets;
    this.vms = content.vms;
    this.groups = content.groups;
    this.roles = content.roles;
    this.rehomings = content.rehomings;
    this.#targetsByService = groupByService(content.targets);
  }

  /**
   * Returns the table after a delta; null when the delta starts at another
   * version or its bundle patches do not apply to this table's bundle.
   */
  apply(delta: TableDelta): RoutingTable | null {
    if (delta.from !== 0 && delta.from !== this.version) return null;
    const base = delta.from === 0 ? RoutingTable.empty : this;
    const bundle = delta.bundle
      ? applyBundleUpdate(delta.bundle, base.bundle)
      : base.bundle;
    if (delta.bundle && !bundle) return null;
    const groups = withoutKeys(base.groups, delta.removed.groups);
    for (const changed of delta.groups) {
      groups.set(changed.id, mergeGroup(groups.get(changed.id), changed));
    }
    return new RoutingTable({
      version: delta.version,
      bundle,
      targets: withChanges(base.targets, {
        removed: delta.removed.targets,
        changed: delta.targets.map((each) => [each.target, each] as const),
      }),
      vms: withChanges(base.vms, {
        removed: delta.removed.vms,
        changed: delta.vms.map((each) => [each.name, each] as const),
      }),
      groups,
      roles: withChanges(base.roles, {
        removed: [],
        changed: delta.roles.map((each) => [roleId(each), each] as const),
      }),
      rehomings: delta.rehomings,
    });
  }

  /**
   * Returns the regions that may serve and store a tenant's requests for a
   * service.
   */
  homeRegionsOf(service: string, tenant: string): readonly string[] {
    const id = `${service}\0${tenant}`;
    const cached = this.#homeRegions.get(id);
    if (cached) return cached;
    const regions = this.bundle
      ? homeRegions(this.bundle.bundle, { service, tenant })
      : [];
    this.#homeRegions.set(id, regions);
    return regions;
  }

  /**
   * Returns the range of a position in the group of a service and tenant; null
   * when there is none or while the tenant moves between groups.
   */
  rangeOf(
    subject: { readonly service: string; readonly tenant: string },
    position: number,
  ): { readonly group: PlacementGroup; readonly range: RangeRecord } | null {
    if (this.rehomingOf(subject)) return null;
    const home = this.homeRegionsOf(subject.service, subject.tenant);
    const group = this.groups.get(groupId(subject.service, home));
    const range = group?.ranges[findRange(group.ranges, position)];
    return group && range ? { group, range } : null;
  }

  /**
   * Returns the unfinished move of a tenant between placement groups, if any.
   */
  rehomingOf(
    subject: { readonly service: string; readonly tenant: string },
  ): Rehoming | undefined {
    return findRehoming(this.rehomings, subject);
  }

  /** Returns the targets of a service, in any condition. */
  targetsOf(service: string): readonly TargetRecord[] {
    return this.#targetsByService.get(service) ?? [];
  }

  /** Returns whether a data centre is in service. */
  isInService(dataCentre: string): boolean {
    return this.bundle?.bundle.dataCentres.some((each) =>
      each.name === dataCentre && each.inService
    ) ?? false;
  }
}

function groupByService(
  targets: ReadonlyMap<string, TargetRecord>,
): ReadonlyMap<string, readonly TargetRecord[]> {
  const groups = new Map<string, TargetRecord[]>();
  for (const target of targets.values()) {
    const list = groups.get(target.service) ?? [];
    list.push(target);
    groups.set(target.service, list);
  }
  return groups;
}

function withoutKeys<Value>(
  map: ReadonlyMap<string, Value>,
  removed: readonly string[],
): Map<string, Value> {
  const copy = new Map(map);
  for (const key of removed) copy.delete(key);
  return copy;
}

// Removes first, because a record that was removed and registered again within
// one delta is in both lists.
function withChanges<Value>(
  map: ReadonlyMap<string, Value>,
  change: {
    readonly removed: readonly string[];
    readonly changed: readonly (readonly [string, Value])[];
  },
): ReadonlyMap<string, Value> {
  if (change.removed.length === 0 && change.changed.length === 0) return map;
  const copy = withoutKeys(map, change.removed);
  for (const [key, value] of change.changed) copy.set(key, value);
  return copy;
}

function mergeGroup(
  before: PlacementGroup | undefined,
  changed: TableDelta["groups"][number],
): PlacementGroup {
  const ranges = before
    ? replaceOverlappingRanges(before.ranges, changed.ranges)
    : changed.ranges;
  return { ...changed, ranges, changedAt: 0 };
}

/** Replaces the ranges that overlap a changed one. */
function replaceOverlappingRanges(
  before: readonly RangeRecord[],
  changed: readonly RangeRecord[],
): readonly RangeRecord[] {
  const kept: RangeRecord[] = [];
  let next = 0;
  for (const range of before) {
    while (next < changed.length && changed[next]!.end <= range.start) {
      next += 1;
    }
    const overlaps = next < changed.length &&
      changed[next]!.start < range.end;
    if (!overlaps) kept.push(range);
  }
  return [...kept, ...changed].sort((left, right) => left.start - right.start);
}

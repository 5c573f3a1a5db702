import { createBundleUpdate } from "./bundle_updates.ts";
import type { BundleUpdate } from "./bundle_updates.ts";
import type {
  ControlState,
  RangeRecord,
  Rehoming,
  RoleAssignment,
  TargetRecord,
  VmRecord,
} from "./model.ts";

/** Changes of the table between two versions. */
export interface TableDelta {
  /** Version that the receiver must hold; 0 replaces its whole table. */
  readonly from: number;
  readonly version: number;
  readonly bundle: BundleUpdate | null;
  readonly targets: readonly TargetRecord[];
  readonly vms: readonly VmRecord[];
  readonly groups: readonly {
    readonly id: string;
    readonly service: string;
    readonly homeRegions: readonly string[];
    readonly ranges: readonly RangeRecord[];
  }[];
  readonly roles: readonly RoleAssignment[];
  /** All unfinished moves, regardless of when they began. */
  readonly rehomings: readonly Rehoming[];
  readonly removed: {
    readonly targets: readonly string[];
    readonly vms: readonly string[];
    readonly groups: readonly string[];
  };
}

/**
 * Returns the changes since `from`, or the whole table when the changes are not
 * known.
 */
export function deltaSince(state: ControlState, from: number): TableDelta {
  const since = from < state.deltaFloor || from > state.version ? 0 : from;
  const isChanged = (item: { readonly changedAt: number }) =>
    since === 0 || item.changedAt > since;
  const removals = state.removals.filter((each) =>
    since > 0 && each.at > since
  );
  const removedIds = (kind: string) =>
    removals.filter((each) => each.kind === kind).map((each) => each.id);
  return {
    from: since,
    version: state.version,
    bundle: state.bundle && isChanged(state.bundle)
      ? createBundleUpdate(state.bundle, since)
      : null,
    targets: [...state.targets.values()].filter(isChanged),
    vms: [...state.vms.values()].filter(isChanged),
    groups: [...state.groups.values()].filter(isChanged).map((group) => ({
      id: group.id,
      service: group.service,
      homeRegions: group.homeRegions,
      ranges: group.ranges.filter(isChanged),
    })),
    roles: [...state.roles.values()].filter(isChanged),
    rehomings: state.rehomings,
    removed: {
      targets: removedIds("target"),
      vms: removedIds("vm"),
      groups: removedIds("group"),
    },
  };
}

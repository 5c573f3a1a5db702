import { sendBundle } from "./bundle_steps.ts";
import type { SentBundle } from "./bundle_steps.ts";
import type {
  ControlState,
  RangeRecord,
  Rehoming,
  RoleAssignment,
  TargetRecord,
  VmRecord,
} from "./model.ts";

/** What changed in the table between two versions. */
export interface TableDelta {
  /** Version that the receiver must have; 0 replaces whatever it has. */
  readonly from: number;
  readonly version: number;
  readonly bundle: SentBundle | null;
  readonly targets: readonly TargetRecord[];
  readonly vms: readonly VmRecord[];
  readonly groups: readonly {
    readonly id: string;
    readonly service: string;
    readonly homeRegions: readonly string[];
    readonly ranges: readonly RangeRecord[];
  }[];
  readonly roles: readonly RoleAssignment[];
  /** All of them, whenever they began. */
  readonly rehomings: readonly Rehoming[];
  readonly removed: {
    readonly targets: readonly string[];
    readonly vms: readonly string[];
    readonly groups: readonly string[];
  };
}

/** The changes since `from`, or the whole table when they are not known. */
export function deltaSince(state: ControlState, from: number): TableDelta {
  const since = from < state.deltaFloor || from > state.version ? 0 : from;
  const isNew = (item: { readonly changedAt: number }) =>
    since === 0 || item.changedAt > since;
  const removals = state.removals.filter((each) =>
    since > 0 && each.at > since
  );
  const removedOf = (kind: string) =>
    removals.filter((each) => each.kind === kind).map((each) => each.id);
  return {
    from: since,
    version: state.version,
    bundle: state.bundle && isNew(state.bundle)
      ? sendBundle(state.bundle, since)
      : null,
    targets: [...state.targets.values()].filter(isNew),
    vms: [...state.vms.values()].filter(isNew),
    groups: [...state.groups.values()].filter(isNew).map((group) => ({
      id: group.id,
      service: group.service,
      homeRegions: group.homeRegions,
      ranges: group.ranges.filter(isNew),
    })),
    roles: [...state.roles.values()].filter(isNew),
    rehomings: state.rehomings,
    removed: {
      targets: removedOf("target"),
      vms: removedOf("vm"),
      groups: removedOf("group"),
    },
  };
}

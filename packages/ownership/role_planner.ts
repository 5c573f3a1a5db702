import { roleId, RoleKind } from "./model.ts";
import type { ControlState, RoleAssignment, VmRecord } from "./model.ts";

/** Number of shards of each kind of role in a region. */
export const roleShards: Readonly<Record<RoleKind, number>> = {
  ledger: 8,
  credit: 4,
};

/** The holder and standby that a role should have. */
export type PlannedRole = Pick<
  RoleAssignment,
  | "kind"
  | "region"
  | "shard"
  | "holder"
  | "holderBoot"
  | "standby"
  | "standbyBoot"
>;

/**
 * Returns the roles whose holder or standby must change. The holder is a VM of
 * the region that is registered and not leaving; the standby is another one, in
 * another data centre if possible. A standby replaces a lost holder.
 */
export function planRoles(state: ControlState): readonly PlannedRole[] {
  // Roles are not needed before the first bundle, and only some of the VMs may
  // have registered by then.
  if (!state.bundle) return [];
  const regions = new Map<string, VmRecord[]>();
  for (const vm of state.vms.values()) {
    const list = regions.get(vm.region) ?? [];
    regions.set(vm.region, list);
    if (!vm.leaving) list.push(vm);
  }
  return [...regions].sort().flatMap(([region, vms]) =>
    planRegion(state, region, vms.sort(byName))
  );
}

function planRegion(
  state: ControlState,
  region: string,
  vms: readonly VmRecord[],
): readonly PlannedRole[] {
  return Object.values(RoleKind).flatMap((kind) =>
    Array.from({ length: roleShards[kind] }, (_, shard) => shard).flatMap(
      (shard) => {
        const current = state.roles.get(roleId({ kind, region, shard }));
        const next = planHolders(current, { vms, shard });
        const isUnchanged = current !== undefined &&
          current.holder === next.holder && current.standby === next.standby &&
          current.holderBoot === next.holderBoot &&
          current.standbyBoot === next.standbyBoot;
        return isUnchanged ? [] : [{ kind, region, shard, ...next }];
      },
    )
  );
}

function planHolders(
  current: RoleAssignment | undefined,
  candidates: { readonly vms: readonly VmRecord[]; readonly shard: number },
): Pick<RoleAssignment, "holder" | "holderBoot" | "standby" | "standbyBoot"> {
  const { vms, shard } = candidates;
  const findCurrent = (name?: string | null, boot?: string | null) =>
    vms.filter((vm) => vm.name === name && vm.boot === boot);
  const rotated = vms.map((_, index) => vms[(index + shard) % vms.length]!);
  const [holder = null, ...others] = new Set([
    ...findCurrent(current?.holder, current?.holderBoot),
    ...findCurrent(current?.standby, current?.standbyBoot),
    ...rotated,
  ]);
  // A data centre can fail as a whole, which would lose both copies in it.
  const standby = others.find((vm) => vm.dataCentre !== holder?.dataCentre) ??
    others[0] ?? null;
  return {
    holder: holder?.name ?? null,
    holderBoot: holder?.boot ?? null,
    standby: standby?.name ?? null,
    standbyBoot: standby?.boot ?? null,
  };
}

function byName(left: VmRecord, right: VmRecord): number {
  return left.name < right.name ? -1 : 1;
}

import { roleId, RoleKind, roleShards } from "@kingcupglade/ownership";
import type {
  RoleAssignment,
  RoutingTable,
  TargetRecord,
} from "@kingcupglade/ownership";

const fnvOffset = 0x811c9dc5;
const fnvPrime = 0x01000193;

/** Returns `NAME/BOOT`, which identifies one run of a VM's process. */
export function vmIdentity(
  vm:
    & { readonly boot: string }
    & ({ readonly name: string } | { readonly vm: string }),
): string {
  return `${"vm" in vm ? vm.vm : vm.name}/${vm.boot}`;
}

/**
 * Returns the role that grants a target's credits, preferably in the target's
 * region; undefined when no VM holds a role of its shard.
 */
export function creditRoleOf(
  table: RoutingTable,
  target: Pick<TargetRecord, "target" | "region">,
): RoleAssignment | undefined {
  const hash = hashName(target.target);
  const shard = hash % roleShards.credit;
  const id = { kind: RoleKind.credit, shard };
  const own = table.roles.get(roleId({ ...id, region: target.region }));
  if (own?.holder) return own;
  const regions = [...table.roles.values()].filter((role) =>
    role.kind === RoleKind.credit && role.shard === shard && role.holder
  );
  return regions[hash % Math.max(1, regions.length)];
}

/**
 * Returns the fencing epoch of a role's holder. A holder that lost the role
 * was out of the table or leaving in the meantime, so its record has changed.
 * The epoch of the role is not used: it also changes with a new standby, which
 * does not affect credits.
 */
export function holderEpoch(
  table: RoutingTable,
  role: Pick<RoleAssignment, "holder">,
): number {
  return table.vms.get(role.holder ?? "")?.changedAt ?? 0;
}

function hashName(name: string): number {
  let hash = fnvOffset;
  for (let index = 0; index < name.length; index += 1) {
    hash = Math.imul(hash ^ name.charCodeAt(index), fnvPrime) >>> 0;
  }
  return hash;
}

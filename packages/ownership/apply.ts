import {
  bundleDigest,
  BundleError,
  homeRegions,
  parseBundle,
  ServiceKind,
  SignatureError,
  verifyBundle,
} from "@kingcupglade/bundle";
import type { Bundle, SignedBundle } from "@kingcupglade/bundle";
import { appendBundleStep } from "./bundle_updates.ts";
import type {
  CommandOutcome,
  ControlCommand,
  RollOutcome,
} from "./commands.ts";
import { applyRangeChanges, createInitialRanges } from "./ranges.ts";
import { groupId, roleId } from "./model.ts";
import { planRehoming } from "./rehoming.ts";
import type { PlannedRole } from "./role_planner.ts";
import type {
  ControlState,
  PlacementGroup,
  Removal,
  RoleAssignment,
} from "./model.ts";

/** Tables older than the latest discarded removal are replaced as a whole. */
const maximumRemovals = 4096;

/** The state after a command, and the outcome reported to its sender. */
export interface AppliedCommand {
  readonly state: ControlState;
  readonly outcome: CommandOutcome;
}

/**
 * Applies one committed command. The result depends only on the arguments, so
 * that every replica reaches the same state.
 */
export function applyCommand(
  before: ControlState,
  command: ControlCommand,
  version: number,
): AppliedCommand {
  const state = { ...before, version };
  switch (command.kind) {
    case "rollBundle":
      return rollBundle(state, command.signed);
    case "putVm": {
      const vm = { ...command.vm, changedAt: version };
      return applied({ ...state, vms: withEntry(state.vms, vm.name, vm) });
    }
    case "removeVm":
      if (state.vms.get(command.name)?.boot !== command.boot) {
        return dropped(state, "another incarnation of the VM is registered");
      }
      return applied(removeRecord(state, "vm", command.name));
    case "putTarget": {
      const target = { ...command.target, changedAt: version };
      return applied({
        ...state,
        targets: withEntry(state.targets, target.target, target),
      });
    }
    case "setTargetCondition": {
      const target = state.targets.get(command.target);
      if (target?.boot !== command.boot) {
        return dropped(state, "another incarnation of the target is known");
      }
      const changed = {
        ...target,
        condition: command.condition,
        changedAt: version,
      };
      return applied({
        ...state,
        targets: withEntry(state.targets, command.target, changed),
      });
    }
    case "removeTarget":
      if (state.targets.get(command.target)?.boot !== command.boot) {
        return dropped(state, "another incarnation of the target is known");
      }
      return applied(removeRecord(state, "target", command.target));
    case "changeRanges":
      return applied({
        ...state,
        groups: applyRangeChanges(state.groups, command.changes, version),
      });
    case "endRehoming":
      return applied({
        ...state,
        rehomings: state.rehomings.filter((each) => each.at > command.until),
      });
    case "assignRoles":
      return applied(assignRoles(state, command.roles));
  }
}

function applied(state: ControlState): AppliedCommand {
  return { state, outcome: { kind: "applied" } };
}

function dropped(state: ControlState, reason: string): AppliedCommand {
  return { state, outcome: { kind: "dropped", reason } };
}

function rolled(state: ControlState, roll: RollOutcome): AppliedCommand {
  return { state, outcome: { kind: "rolled", roll } };
}

function withEntry<Value>(
  map: ReadonlyMap<string, Value>,
  key: string,
  value: Value,
): ReadonlyMap<string, Value> {
  return new Map(map).set(key, value);
}

function withoutEntry<Value>(
  map: ReadonlyMap<string, Value>,
  key: string,
): ReadonlyMap<string, Value> {
  const copy = new Map(map);
  copy.delete(key);
  return copy;
}

function removeRecord(
  state: ControlState,
  kind: Removal["kind"],
  id: string,
): ControlState {
  const removals = [...state.removals, { kind, id, at: state.version }];
  const discarded = removals.splice(
    0,
    Math.max(0, removals.length - maximumRemovals),
  );
  return {
    ...state,
    removals,
    deltaFloor: discarded.at(-1)?.at ?? state.deltaFloor,
    vms: kind === "vm" ? withoutEntry(state.vms, id) : state.vms,
    targets: kind === "target"
      ? withoutEntry(state.targets, id)
      : state.targets,
    groups: kind === "group" ? withoutEntry(state.groups, id) : state.groups,
  };
}

function assignRoles(
  state: ControlState,
  roles: readonly PlannedRole[],
): ControlState {
  const next = new Map(state.roles);
  for (const role of roles) {
    const id = roleId(role);
    next.set(
      id,
      nextAssignment(next.get(id), { role, version: state.version }),
    );
  }
  return { ...state, roles: next };
}

function nextAssignment(
  before: RoleAssignment | undefined,
  change: { readonly role: PlannedRole; readonly version: number },
): RoleAssignment {
  const { role, version } = change;
  const inPlaceSince = (name: string | null, boot: string | null) => {
    if (before?.holder === name && before.holderBoot === boot) {
      return before.holderSince;
    }
    return before?.standby === name && before.standbyBoot === boot
      ? before.standbySince
      : version;
  };
  return {
    ...role,
    epoch: version,
    foundedAt: before?.foundedAt ?? version,
    holderSince: inPlaceSince(role.holder, role.holderBoot),
    standbySince: inPlaceSince(role.standby, role.standbyBoot),
    changedAt: version,
  };
}

/** Rolls a bundle by compare-and-set on its version. */
function rollBundle(state: ControlState, signed: SignedBundle): AppliedCommand {
  const digest = bundleDigest(signed.document);
  const current = state.bundle;
  try {
    const bundle = current
      ? verifyUnlessCurrent(current, signed, digest)
      : parseBundle(signed.document);
    if (current && current.version === bundle.version) {
      return rolled(
        state,
        current.digest === digest ? acceptedRoll(current) : {
          kind: "conflict",
          version: current.version,
          digest: current.digest,
        },
      );
    }
    if (current && bundle.version < current.version) {
      return rolled(state, {
        kind: "conflict",
        version: current.version,
        digest: current.digest,
      });
    }
    const record = {
      version: bundle.version,
      digest,
      signed,
      bundle,
      changedAt: state.version,
      steps: appendBundleStep(current, signed, state.version),
    };
    const rehomings = [
      ...state.rehomings,
      ...planRehoming(current?.bundle, bundle, state.version),
    ];
    return rolled(
      syncPlacementGroups({ ...state, bundle: record, rehomings }, bundle),
      acceptedRoll(record),
    );
  } catch (cause) {
    if (cause instanceof BundleError || cause instanceof SignatureError) {
      return rolled(state, { kind: "refused", reason: cause.message });
    }
    throw cause;
  }
}

// The bundle in force may name other operators than its predecessor, so a
// resend of it is recognised by its digest instead of its signatures.
function verifyUnlessCurrent(
  current: NonNullable<ControlState["bundle"]>,
  signed: SignedBundle,
  digest: string,
): Bundle {
  if (current.digest === digest) return current.bundle;
  return verifyBundle(signed, current.bundle).bundle;
}

function acceptedRoll(
  record: NonNullable<ControlState["bundle"]>,
): RollOutcome {
  return {
    kind: "accepted",
    version: record.version,
    digest: record.digest,
    tableVersion: record.changedAt,
  };
}

/**
 * Creates the placement groups that a bundle requires and removes the others.
 */
function syncPlacementGroups(
  state: ControlState,
  bundle: Bundle,
): ControlState {
  const required = findRequiredGroups(bundle);
  let next = state;
  for (const id of state.groups.keys()) {
    if (!required.has(id)) next = removeRecord(next, "group", id);
  }
  const groups = new Map(next.groups);
  for (const [id, { service, home, count }] of required) {
    if (groups.has(id)) continue;
    const group: PlacementGroup = {
      id,
      service,
      homeRegions: home,
      ranges: createInitialRanges(count, state.version),
      changedAt: state.version,
    };
    groups.set(id, group);
  }
  return { ...next, groups };
}

function findRequiredGroups(
  bundle: Bundle,
): ReadonlyMap<
  string,
  {
    readonly service: string;
    readonly home: readonly string[];
    readonly count: number;
  }
> {
  const required = new Map();
  for (const service of bundle.services) {
    if (service.kind !== ServiceKind.keyed) continue;
    for (const tenant of bundle.tenants) {
      const home = homeRegions(bundle, {
        service: service.name,
        tenant: tenant.name,
      });
      required.set(groupId(service.name, home), {
        service: service.name,
        home,
        count: service.initialRanges,
      });
    }
  }
  return required;
}

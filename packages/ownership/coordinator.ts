import { TargetCondition } from "@kingcupglade/membership";
import type { ControlCommand, RangeChange } from "./commands.ts";
import { mustLeaveOwner } from "./fitness.ts";
import { grantsSignature } from "./grants.ts";
import type { Grant } from "./grants.ts";
import { RangePhase } from "./model.ts";
import type { ControlState, PlacementGroup, RangeRecord } from "./model.ts";
import { chooseOwner, OwnerLoads } from "./planner.ts";
import { planRoles } from "./role_planner.ts";

/** What the leader knows of a VM beyond the replicated state. */
export interface VmView {
  /** Whether the VM may still act on a routing lease. */
  readonly lapsed: boolean;
  /** When the lease lapses, on the leader's clock. */
  readonly lapsesAt: number;
  /** Table version that the VM routes by; 0 when it has not said. */
  readonly appliedVersion: number;
  /** No request begun under an older version is still in progress there. */
  readonly quiescentVersion: number;
}

/** What the leader knows of a target beyond the replicated state. */
export interface TargetView {
  /** Whether the target can no longer act on its grants. */
  readonly lapsed: boolean;
  /** The grants that the target confirmed last; null when not known. */
  readonly held: readonly Grant[] | null;
}

/** The leader's knowledge that is not replicated. */
export interface LeaderView {
  readonly vm: (name: string) => VmView;
  readonly target: (id: string) => TargetView;
}

/** Bounds of one round of coordination. */
export interface CoordinatorOptions {
  /** Range changes in one command at most. @default 512 */
  readonly maximumChanges?: number;
}

/** What a round of coordination wants done. */
export interface CoordinatorPlan {
  readonly commands: readonly ControlCommand[];
  /** Targets whose confirmed grants differ from what they should hold. */
  readonly pushes: readonly {
    readonly target: string;
    readonly boot: string;
    readonly address: string;
    readonly grants: readonly Grant[];
  }[];
}

const defaultMaximumChanges = 512;

/**
 * Decides the next steps of every range: stop, release, grant. The same inputs
 * give the same plan.
 */
export function coordinate(
  state: ControlState,
  view: LeaderView,
  options: CoordinatorOptions = {},
): CoordinatorPlan {
  const changes = planRanges(state, view).slice(
    0,
    options.maximumChanges ?? defaultMaximumChanges,
  );
  return {
    commands: [
      ...lapsedVmCommands(state, view),
      ...lapsedTargetCommands(state, view),
      ...roleCommands(state),
      ...(changes.length > 0
        ? [{ kind: "changeRanges" as const, changes }]
        : []),
    ],
    pushes: planPushes(state, view),
  };
}

/** The version before which no VM has a request in progress. */
export function settledVersion(state: ControlState, view: LeaderView): number {
  let settled = state.version;
  for (const name of state.vms.keys()) {
    settled = Math.min(settled, view.vm(name).quiescentVersion);
  }
  return settled;
}

function lapsedVmCommands(
  state: ControlState,
  view: LeaderView,
): readonly ControlCommand[] {
  return [...state.vms.values()]
    .filter((vm) => view.vm(vm.name).lapsed)
    .map((vm) => ({ kind: "removeVm", name: vm.name, boot: vm.boot }));
}

function roleCommands(state: ControlState): readonly ControlCommand[] {
  const roles = planRoles(state);
  return roles.length > 0 ? [{ kind: "assignRoles", roles }] : [];
}

function lapsedTargetCommands(
  state: ControlState,
  view: LeaderView,
): readonly ControlCommand[] {
  return [...state.targets.values()].flatMap((target): ControlCommand[] => {
    if (!view.target(target.target).lapsed) return [];
    const { boot } = target;
    if (target.condition !== TargetCondition.lost) {
      return [{
        kind: "setTargetCondition",
        target: target.target,
        boot,
        condition: TargetCondition.lost,
      }];
    }
    return ownsRanges(state, target.target)
      ? []
      : [{ kind: "removeTarget", target: target.target, boot }];
  });
}

function ownsRanges(state: ControlState, target: string): boolean {
  for (const group of state.groups.values()) {
    if (group.ranges.some((range) => range.owner === target)) return true;
  }
  return false;
}

function planRanges(
  state: ControlState,
  view: LeaderView,
): readonly RangeChange[] {
  const settled = settledVersion(state, view);
  const loads = new OwnerLoads(state.groups.values());
  const changes: RangeChange[] = [];
  for (const group of state.groups.values()) {
    for (const range of group.ranges) {
      const change = planRange({ state, view, group, range, settled, loads });
      if (change) changes.push(change);
    }
  }
  return changes;
}

function planRange(context: {
  readonly state: ControlState;
  readonly view: LeaderView;
  readonly group: PlacementGroup;
  readonly range: RangeRecord;
  readonly settled: number;
  readonly loads: OwnerLoads;
}): RangeChange | null {
  const { state, view, group, range, settled, loads } = context;
  const reference = { group: group.id, start: range.start, epoch: range.epoch };
  if (mustLeaveOwner(state, group, range)) {
    return { kind: "stop", ...reference };
  }
  if (range.phase === RangePhase.serving) return null;
  if (!isReleased({ view, group, range, settled })) return null;
  const owner = chooseOwner(state, group, loads);
  if (!owner) {
    return range.phase === RangePhase.stopping
      ? { kind: "vacate", ...reference }
      : null;
  }
  loads.add(owner.target, range);
  return {
    kind: "grant",
    ...reference,
    owner: owner.target,
    ownerBoot: owner.boot,
  };
}

/** Whether nobody can serve the range or send work for it any more. */
function isReleased(context: {
  readonly view: LeaderView;
  readonly group: PlacementGroup;
  readonly range: RangeRecord;
  readonly settled: number;
}): boolean {
  const { view, group, range, settled } = context;
  if (range.owner === null) return true;
  if (settled < range.changedAt) return false;
  const owner = view.target(range.owner);
  return owner.lapsed ||
    (owner.held !== null &&
      !owner.held.some((grant) =>
        grant.group === group.id && grant.start < range.end &&
        grant.end > range.start
      ));
}

/** The grants that a target should hold, by target. */
export function grantsByTarget(
  state: ControlState,
  settled: number,
): ReadonlyMap<string, readonly Grant[]> {
  const grants = new Map<string, Grant[]>();
  for (const group of state.groups.values()) {
    for (const range of group.ranges) {
      const owner = range.owner === null
        ? undefined
        : state.targets.get(range.owner);
      if (!owner || owner.boot !== range.ownerBoot) continue;
      const finished = range.phase === RangePhase.stopping &&
        settled >= range.changedAt;
      if (finished) continue;
      const list = grants.get(owner.target) ?? [];
      list.push({
        group: group.id,
        start: range.start,
        end: range.end,
        epoch: range.epoch,
      });
      grants.set(owner.target, list);
    }
  }
  return grants;
}

function planPushes(
  state: ControlState,
  view: LeaderView,
): CoordinatorPlan["pushes"] {
  const wanted = grantsByTarget(state, settledVersion(state, view));
  return [...state.targets.values()].flatMap((target) => {
    const { lapsed, held } = view.target(target.target);
    const grants = wanted.get(target.target) ?? [];
    if (lapsed || target.condition === TargetCondition.lost) return [];
    if (held !== null && grantsSignature(held) === grantsSignature(grants)) {
      return [];
    }
    return [{
      target: target.target,
      boot: target.boot,
      address: target.address,
      grants,
    }];
  });
}

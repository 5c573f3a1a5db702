import { ServiceKind } from "@kingcupglade/bundle";
import { TargetCondition } from "@kingcupglade/membership";
import type { ControlCommand } from "./commands.ts";
import { grantsSignature } from "./grants.ts";
import type { Grant } from "./grants.ts";
import type { LeaderView } from "./leader_view.ts";
import type { ControlState } from "./model.ts";
import { planRanges } from "./planner.ts";
import type { PlannerOptions } from "./planner.ts";
import { ownerKey, RangeIndex } from "./range_index.ts";
import type { GroupIndex, OwnedRanges } from "./range_index.ts";
import { settledVersion } from "./release.ts";
import { planRoles } from "./role_planner.ts";
import { completedRehomingVersion } from "./rehoming.ts";

/** Options of a coordination round. */
export interface CoordinatorOptions extends PlannerOptions {
  /** Maximum number of range changes in one command. @default 512 */
  readonly maximumChanges?: number;
  /** Index kept between rounds, so that only changed groups are scanned. */
  readonly index?: RangeIndex;
}

/** The commands to commit and the grants to push after a coordination round. */
export interface CoordinatorPlan {
  readonly commands: readonly ControlCommand[];
  /** Targets whose confirmed grants differ from those that they should hold. */
  readonly pushes: readonly {
    readonly target: string;
    readonly boot: string;
    readonly address: string;
    readonly grants: readonly Grant[];
  }[];
}

const defaultMaximumChanges = 512;

/**
 * Plans one round: commands for lapsed VMs and targets, for roles, for
 * completed rehomings and for the next step of every range (stop, release,
 * grant), and the grants to push. The same inputs give the same plan.
 */
export function coordinate(
  state: ControlState,
  view: LeaderView,
  options: CoordinatorOptions = {},
): CoordinatorPlan {
  const indexes = (options.index ?? new RangeIndex()).update(state.groups);
  const settled = settledVersion(state, view);
  const changes = planRanges({ state, view, indexes, settled }, options)
    .slice(0, options.maximumChanges ?? defaultMaximumChanges);
  const rehomedUntil = completedRehomingVersion(state, view, settled);
  return {
    commands: [
      ...planVmRemovals(state, view),
      ...planLapsedTargets({ state, view, indexes }),
      ...planRoleAssignments(state),
      ...(rehomedUntil === null
        ? []
        : [{ kind: "endRehoming" as const, until: rehomedUntil }]),
      ...(changes.length > 0
        ? [{ kind: "changeRanges" as const, changes }]
        : []),
    ],
    pushes: planGrantPushes({ state, view, indexes }, settled),
  };
}

/** Input of a coordination round, with the indexes of its ranges. */
interface RoundInput {
  readonly state: ControlState;
  readonly view: LeaderView;
  readonly indexes: ReadonlyMap<string, GroupIndex>;
}

function planVmRemovals(
  state: ControlState,
  view: LeaderView,
): readonly ControlCommand[] {
  return [...state.vms.values()]
    .filter((vm) => view.vm(vm.name).lapsed)
    .map((vm) => ({ kind: "removeVm", name: vm.name, boot: vm.boot }));
}

function planRoleAssignments(state: ControlState): readonly ControlCommand[] {
  const roles = planRoles(state);
  return roles.length > 0 ? [{ kind: "assignRoles", roles }] : [];
}

function planLapsedTargets(input: RoundInput): readonly ControlCommand[] {
  const { state, view, indexes } = input;
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
    return ownsRanges(indexes, target.target)
      ? []
      : [{ kind: "removeTarget", target: target.target, boot }];
  });
}

function ownsRanges(
  indexes: ReadonlyMap<string, GroupIndex>,
  target: string,
): boolean {
  for (const { owners } of indexes.values()) {
    for (const { owner } of owners.values()) if (owner === target) return true;
  }
  return false;
}

/** Returns the grants that each target should hold, by target name. */
export function grantsByTarget(
  state: ControlState,
  settled: number,
): ReadonlyMap<string, readonly Grant[]> {
  const indexes = new RangeIndex().update(state.groups);
  return new Map(
    [...state.targets.values()].flatMap((target) => {
      const owned = rangesOwnedBy(indexes, target);
      const grants = owned.flatMap((each) => each.grants(settled));
      return grants.length > 0 ? [[target.target, grants] as const] : [];
    }),
  );
}

function rangesOwnedBy(
  indexes: ReadonlyMap<string, GroupIndex>,
  target: { readonly target: string; readonly boot: string },
): readonly OwnedRanges[] {
  const key = ownerKey(target.target, target.boot);
  const owned: OwnedRanges[] = [];
  for (const { owners } of indexes.values()) {
    const ranges = owners.get(key);
    if (ranges) owned.push(ranges);
  }
  return owned;
}

function planGrantPushes(
  input: RoundInput,
  settled: number,
): CoordinatorPlan["pushes"] {
  const { state, view, indexes } = input;
  return [...state.targets.values()].flatMap((target) => {
    const { lapsed, held } = view.target(target.target);
    if (lapsed || target.condition === TargetCondition.lost) return [];
    const owned = rangesOwnedBy(indexes, target);
    if (
      held === null && owned.length === 0 && !isKeyed(state, target.service)
    ) {
      return [];
    }
    const expected = owned.map((each) => each.signature(settled))
      .filter((each) => each !== "").join(",");
    if (held !== null && grantsSignature(held) === expected) return [];
    return [{
      target: target.target,
      boot: target.boot,
      address: target.address,
      grants: owned.flatMap((each) => each.grants(settled)),
    }];
  });
}

function isKeyed(state: ControlState, service: string): boolean {
  return state.bundle?.bundle.services.some((each) =>
    each.name === service && each.kind === ServiceKind.keyed
  ) ?? false;
}

import type { Configuration } from "@kingcupglade/consensus";
import { RangePhase } from "@kingcupglade/ownership";
import type { ControlState, LeaderView } from "@kingcupglade/ownership";

/** The deployment as the control leader sees it. */
export interface ControlStatus {
  readonly leader: string;
  readonly term: number;
  readonly replicas: Configuration;
  readonly tableVersion: number;
  readonly bundle: {
    readonly version: number;
    readonly digest: string;
    /** Table version as of which the bundle is in force. */
    readonly tableVersion: number;
    /** Whether every VM with a lease routes by the bundle. */
    readonly inForceEverywhere: boolean;
  } | null;
  readonly vms: readonly {
    readonly name: string;
    readonly dataCentre: string;
    readonly lapsed: boolean;
    readonly leaving: boolean;
    /** 0 until the VM has renewed its lease with this leader. */
    readonly appliedVersion: number;
    /** Whether the VM routes by the bundle in force, or its lease has lapsed. */
    readonly inForce: boolean;
  }[];
  readonly targets: readonly {
    readonly target: string;
    readonly service: string;
    readonly dataCentre: string;
    readonly condition: string;
    readonly ranges: number;
  }[];
  readonly groups: readonly {
    readonly id: string;
    readonly ranges: number;
    readonly withoutOwner: number;
    readonly moving: number;
  }[];
}

/** Describes the state of the deployment for operators. */
export function describeControl(source: {
  readonly state: ControlState;
  readonly view: LeaderView;
  readonly leader: string;
  readonly term: number;
  readonly replicas: Configuration;
}): ControlStatus {
  const { state, view } = source;
  const rangesByOwner = countOwnedRanges(state);
  const vms = [...state.vms.values()].map((vm) => ({
    name: vm.name,
    dataCentre: vm.dataCentre,
    leaving: vm.leaving,
    lapsed: view.vm(vm.name).lapsed,
    appliedVersion: view.vm(vm.name).appliedVersion,
    inForce: view.vm(vm.name).lapsed ||
      view.vm(vm.name).appliedVersion >= (state.bundle?.changedAt ?? 0),
  }));
  return {
    leader: source.leader,
    term: source.term,
    replicas: source.replicas,
    tableVersion: state.version,
    bundle: state.bundle && {
      version: state.bundle.version,
      digest: state.bundle.digest,
      tableVersion: state.bundle.changedAt,
      inForceEverywhere: vms.every((vm) => vm.inForce),
    },
    vms,
    targets: [...state.targets.values()].map((target) => ({
      target: target.target,
      service: target.service,
      dataCentre: target.dataCentre,
      condition: target.condition,
      ranges: rangesByOwner.get(target.target) ?? 0,
    })),
    groups: [...state.groups.values()].map((group) => ({
      id: group.id,
      ranges: group.ranges.length,
      withoutOwner: group.ranges.filter((each) => each.owner === null).length,
      moving: group.ranges.filter((each) => each.phase === RangePhase.stopping)
        .length,
    })),
  };
}

function countOwnedRanges(state: ControlState): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const group of state.groups.values()) {
    for (const { owner } of group.ranges) {
      if (owner !== null) counts.set(owner, (counts.get(owner) ?? 0) + 1);
    }
  }
  return counts;
}

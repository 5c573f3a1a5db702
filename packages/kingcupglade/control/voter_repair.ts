import {
  configurationOf,
  isCaughtUp,
  isConfigurationSettled,
  planVoters,
} from "@kingcupglade/consensus";
import type {
  Configuration,
  ConsensusState,
  ReplicaId,
  ReplicaStatus,
} from "@kingcupglade/consensus";
import type { VmRecord } from "@kingcupglade/ownership";
import { vmOfReplica } from "@kingcupglade/replica";

const exclusionMilliseconds = 60_000;

/** Options of a {@link VoterRepair}. */
export interface VoterRepairOptions {
  /** Required number of voters. */
  readonly voters: number;
  /** Time without contact after which a voter counts as lost. @default 5000 */
  readonly repairMilliseconds?: number;
  /**
   * Like `repairMilliseconds`, for a voter whose VM stops as planned.
   * @default 30000
   */
  readonly restartMilliseconds?: number;
}

/** Inputs for planning a change of the replica set. */
export interface RepairView {
  readonly consensus: ConsensusState;
  readonly vms: readonly VmRecord[];
  /** Returns whether a VM's routing lease has lapsed. */
  readonly hasLapsed: (vm: string) => boolean;
}

/** Plans changes of the replica set for the replica that leads. */
export class VoterRepair {
  readonly #voterCount: number;
  readonly #repairMilliseconds: number;
  readonly #restartMilliseconds: number;
  readonly #vmRecords = new Map<string, VmRecord>();
  readonly #memberSince = new Map<ReplicaId, number>();
  readonly #excludedUntil = new Map<ReplicaId, number>();

  constructor(options: VoterRepairOptions) {
    this.#voterCount = options.voters;
    this.#repairMilliseconds = options.repairMilliseconds ?? 5000;
    this.#restartMilliseconds = options.restartMilliseconds ?? 30_000;
  }

  /** Returns the configuration to change to, or null if none is needed. */
  plan(view: RepairView, now: number): Configuration | null {
    const { consensus } = view;
    if (!isConfigurationSettled(consensus)) return null;
    this.#updateReplicas(view, now);
    const configuration = configurationOf(consensus);
    const next = planVoters({
      configuration,
      self: consensus.self,
      voters: this.#voterCount,
      statuses: this.#listStatuses(view, now),
    });
    if (next) this.#excludeLostLearners(configuration, { next, view, now });
    return next;
  }

  #updateReplicas({ consensus, vms }: RepairView, now: number): void {
    for (const vm of vms) this.#vmRecords.set(vm.name, vm);
    const { voters, learners } = configurationOf(consensus);
    const replicas = [...voters, ...learners];
    for (const replica of this.#memberSince.keys()) {
      if (!replicas.includes(replica)) this.#memberSince.delete(replica);
    }
    for (const replica of replicas) {
      if (!this.#memberSince.has(replica)) this.#memberSince.set(replica, now);
    }
  }

  // A learner that is removed because it is lost is not added again for a
  // minute.
  #excludeLostLearners(
    before: Configuration,
    planned: {
      readonly next: Configuration;
      readonly view: RepairView;
      readonly now: number;
    },
  ): void {
    const { next, view, now } = planned;
    for (const learner of before.learners) {
      const isKept = next.voters.includes(learner) ||
        next.learners.includes(learner);
      if (isKept || !this.#isLost(learner, view, now)) continue;
      this.#excludedUntil.set(learner, now + exclusionMilliseconds);
    }
  }

  #listStatuses(view: RepairView, now: number): readonly ReplicaStatus[] {
    const members = [...this.#memberSince.keys()];
    const standbys = view.vms.flatMap(({ replica }) =>
      replica === null || members.includes(replica) ? [] : [replica]
    );
    return [...members, ...standbys].map((replica) => {
      const vm = vmOfReplica(replica);
      const record = this.#vmRecords.get(vm);
      return {
        replica,
        region: record?.region ?? "",
        dataCentre: record?.dataCentre ?? "",
        isAvailable: record?.replica === replica && !record.leaving &&
          !view.hasLapsed(vm) &&
          (this.#excludedUntil.get(replica) ?? -Infinity) <= now,
        isLost: members.includes(replica) && this.#isLost(replica, view, now),
        isCaughtUp: isCaughtUp(view.consensus, replica, now),
      };
    });
  }

  #isLost(replica: ReplicaId, { consensus }: RepairView, now: number): boolean {
    const progress = consensus.progress.get(replica);
    if (progress?.hasForgotten) return true;
    const record = this.#vmRecords.get(vmOfReplica(replica));
    const isRestarting = record?.replica === replica && record.leaving;
    const lastContactAt = Math.max(
      progress?.answeredAt ?? -Infinity,
      this.#memberSince.get(replica) ?? -Infinity,
    );
    return now - lastContactAt >
      (isRestarting ? this.#restartMilliseconds : this.#repairMilliseconds);
  }
}

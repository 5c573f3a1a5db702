import type { Configuration, ReplicaId } from "./types.ts";

/** The status of a replica, as known to the leader that plans the replica set. */
export interface ReplicaStatus {
  readonly replica: ReplicaId;
  readonly region: string;
  readonly dataCentre: string;
  /** Whether its VM holds a lease and is not leaving. */
  readonly isAvailable: boolean;
  /** Whether it has been silent for longer than the repair timeout. */
  readonly isLost: boolean;
  /** Whether it holds all but the latest entries of the log. */
  readonly isCaughtUp: boolean;
}

/** Options of {@link planVoters}. */
export interface VoterPlanOptions {
  readonly configuration: Configuration;
  /** The leader, which makes the plan. */
  readonly self: ReplicaId;
  /** Desired number of voters. */
  readonly voters: number;
  /** The status of every known replica; a missing one counts as lost. */
  readonly statuses: readonly ReplicaStatus[];
}

/**
 * Returns the next configuration, or null if no change is needed. A lost or
 * badly placed voter is replaced in steps that change one replica each: a
 * standby becomes a learner, then a voter, and then the old voter is removed.
 */
export function planVoters(options: VoterPlanOptions): Configuration | null {
  const plan = new VoterPlan(options);
  return plan.removeUnneededLearner() ?? plan.removeSurplusVoter() ??
    plan.promoteLearner() ?? plan.addLearner();
}

class VoterPlan {
  readonly #options: VoterPlanOptions;
  readonly #statuses: ReadonlyMap<ReplicaId, ReplicaStatus>;

  constructor(options: VoterPlanOptions) {
    this.#options = options;
    this.#statuses = new Map(
      options.statuses.map((each) => [each.replica, each]),
    );
  }

  removeUnneededLearner(): Configuration | null {
    const { voters, learners } = this.#options.configuration;
    const unneeded = learners.find((each, position) =>
      this.#isLost(each) || position > 0 || !this.#improvesVoters(each)
    );
    if (unneeded === undefined) return null;
    return { voters, learners: learners.filter((each) => each !== unneeded) };
  }

  removeSurplusVoter(): Configuration | null {
    const { configuration, voters: wantedVoters } = this.#options;
    const { voters, learners } = configuration;
    if (voters.length <= wantedVoters) return null;
    const removed = this.#selectVoterToRemove(voters);
    return { voters: voters.filter((each) => each !== removed), learners };
  }

  promoteLearner(): Configuration | null {
    const { voters, learners } = this.#options.configuration;
    const caughtUpLearner = learners.find((each) =>
      this.#statuses.get(each)?.isCaughtUp === true
    );
    if (caughtUpLearner === undefined) return null;
    return {
      voters: [...voters, caughtUpLearner],
      learners: learners.filter((each) => each !== caughtUpLearner),
    };
  }

  addLearner(): Configuration | null {
    const { voters, learners } = this.#options.configuration;
    if (learners.length > 0) return null;
    const candidate = this.#learnerCandidates()
      .filter((each) => this.#improvesVoters(each.replica))
      .map((status) => ({
        status,
        placementScore: this.#placementScore([
          ...this.#survivingVoters(),
          status.replica,
        ]),
      }))
      .sort((left, right) => right.placementScore - left.placementScore)[0]
      ?.status;
    return candidate ? { voters, learners: [candidate.replica] } : null;
  }

  #learnerCandidates(): readonly ReplicaStatus[] {
    const { voters } = this.#options.configuration;
    return [...this.#statuses.values()]
      .filter((each) =>
        each.isAvailable && !each.isLost && !voters.includes(each.replica)
      )
      .sort((left, right) => left.replica < right.replica ? -1 : 1);
  }

  // Whether the replica, as a voter, would fill the place of a missing or lost
  // voter or improve the placement.
  #improvesVoters(replica: ReplicaId): boolean {
    const { configuration, voters: wantedVoters } = this.#options;
    const { voters } = configuration;
    if (this.#survivingVoters().length < wantedVoters) return true;
    const withReplica = [...voters, replica];
    const removed = this.#selectVoterToRemove(withReplica);
    return this.#placementScore(
      withReplica.filter((each) => each !== removed),
    ) >
      this.#placementScore(voters);
  }

  #survivingVoters(): readonly ReplicaId[] {
    return this.#options.configuration.voters.filter((each) =>
      !this.#isLost(each)
    );
  }

  #isLost(replica: ReplicaId): boolean {
    return replica !== this.#options.self &&
      (this.#statuses.get(replica)?.isLost ?? true);
  }

  // Selects a lost voter first, then the one whose removal leaves the best
  // placement. On a tie, the leader is kept.
  #selectVoterToRemove(voters: readonly ReplicaId[]): ReplicaId {
    const ranked = voters.map((replica) => ({
      replica,
      lost: this.#isLost(replica) ? 1 : 0,
      placementScore: this.#placementScore(
        voters.filter((each) => each !== replica),
      ),
      leads: replica === this.#options.self ? 1 : 0,
    })).sort((left, right) =>
      right.lost - left.lost || right.placementScore - left.placementScore ||
      left.leads - right.leads
    );
    return ranked[0]!.replica;
  }

  // The number of regions takes precedence over the number of data centres.
  #placementScore(replicas: readonly ReplicaId[]): number {
    const known = replicas.flatMap((each) => this.#statuses.get(each) ?? []);
    const regions = new Set(known.map((each) => each.region)).size;
    const dataCentres = new Set(known.map((each) => each.dataCentre)).size;
    return regions * 1000 + dataCentres;
  }
}

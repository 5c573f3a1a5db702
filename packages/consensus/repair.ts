import type { Configuration, ReplicaId } from "./types.ts";

/** What a leader knows of a replica when it plans the replica set. */
export interface ReplicaStanding {
  readonly replica: ReplicaId;
  readonly region: string;
  readonly dataCentre: string;
  /** Its VM holds a lease and is not leaving. */
  readonly available: boolean;
  /** It has not answered for the time after which it counts as lost. */
  readonly lost: boolean;
  /** It holds all but the latest entries of the log. */
  readonly caughtUp: boolean;
}

/** Options of {@link planVoters}. */
export interface VoterPlanOptions {
  readonly configuration: Configuration;
  /** The replica that leads and plans. */
  readonly self: ReplicaId;
  /** Voters wanted. */
  readonly voters: number;
  /** Every known replica; those missing count as lost. */
  readonly standings: readonly ReplicaStanding[];
}

/**
 * The next change of the replica set, or null when it is as it should be.
 * A lost or badly placed voter is replaced in steps of one replica each: a
 * spare becomes a learner, then a voter, then the old voter leaves.
 */
export function planVoters(options: VoterPlanOptions): Configuration | null {
  const plan = new VoterPlan(options);
  return plan.dropUselessLearner() ?? plan.dropVoter() ??
    plan.promoteLearner() ?? plan.addLearner();
}

class VoterPlan {
  readonly #options: VoterPlanOptions;
  readonly #standings: ReadonlyMap<ReplicaId, ReplicaStanding>;

  constructor(options: VoterPlanOptions) {
    this.#options = options;
    this.#standings = new Map(
      options.standings.map((each) => [each.replica, each]),
    );
  }

  dropUselessLearner(): Configuration | null {
    const { voters, learners } = this.#options.configuration;
    const useless = learners.find((each, position) =>
      this.#isLost(each) || position > 0 || !this.#wants(each)
    );
    if (useless === undefined) return null;
    return { voters, learners: learners.filter((each) => each !== useless) };
  }

  dropVoter(): Configuration | null {
    const { configuration, voters: wanted } = this.#options;
    const { voters, learners } = configuration;
    if (voters.length <= wanted) return null;
    const dropped = this.#leastUseful(voters);
    return { voters: voters.filter((each) => each !== dropped), learners };
  }

  promoteLearner(): Configuration | null {
    const { voters, learners } = this.#options.configuration;
    const ready = learners.find((each) =>
      this.#standings.get(each)?.caughtUp === true
    );
    if (ready === undefined) return null;
    return {
      voters: [...voters, ready],
      learners: learners.filter((each) => each !== ready),
    };
  }

  addLearner(): Configuration | null {
    const { voters, learners } = this.#options.configuration;
    if (learners.length > 0) return null;
    const best = this.#spares()
      .filter((each) => this.#wants(each.replica))
      .map((each) => ({
        each,
        spread: this.#spread([...this.#kept(), each.replica]),
      }))
      .sort((left, right) => right.spread - left.spread)[0]?.each;
    return best ? { voters, learners: [best.replica] } : null;
  }

  #spares(): readonly ReplicaStanding[] {
    const { voters } = this.#options.configuration;
    return [...this.#standings.values()]
      .filter((each) =>
        each.available && !each.lost && !voters.includes(each.replica)
      )
      .sort((left, right) => left.replica < right.replica ? -1 : 1);
  }

  // A further voter is wanted in place of a lost one, or for a better spread.
  #wants(replica: ReplicaId): boolean {
    const { configuration, voters: wanted } = this.#options;
    const { voters } = configuration;
    if (this.#kept().length < wanted) return true;
    const withReplica = [...voters, replica];
    const dropped = this.#leastUseful(withReplica);
    return this.#spread(withReplica.filter((each) => each !== dropped)) >
      this.#spread(voters);
  }

  #kept(): readonly ReplicaId[] {
    return this.#options.configuration.voters.filter((each) =>
      !this.#isLost(each)
    );
  }

  #isLost(replica: ReplicaId): boolean {
    return replica !== this.#options.self &&
      (this.#standings.get(replica)?.lost ?? true);
  }

  // A lost voter goes first, then the one that the spread misses least; the
  // leader only when it is the one worst placed.
  #leastUseful(voters: readonly ReplicaId[]): ReplicaId {
    const ranked = voters.map((replica) => ({
      replica,
      lost: this.#isLost(replica) ? 1 : 0,
      spread: this.#spread(voters.filter((each) => each !== replica)),
      leads: replica === this.#options.self ? 1 : 0,
    })).sort((left, right) =>
      right.lost - left.lost || right.spread - left.spread ||
      left.leads - right.leads
    );
    return ranked[0]!.replica;
  }

  // Regions count before data centres.
  #spread(replicas: readonly ReplicaId[]): number {
    const known = replicas.flatMap((each) => this.#standings.get(each) ?? []);
    const regions = new Set(known.map((each) => each.region)).size;
    const dataCentres = new Set(known.map((each) => each.dataCentre)).size;
    return regions * 1000 + dataCentres;
  }
}

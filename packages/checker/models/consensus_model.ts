import {
  createConsensusState,
  emptySnapshot,
  Role,
  stepConsensus,
} from "@kingcupglade/consensus";
import type {
  ConsensusEffect,
  ConsensusEvent,
  ConsensusMessage,
  ConsensusOptions,
  ConsensusState,
  HardState,
  LogEntry,
  ReplicaId,
} from "@kingcupglade/consensus";
import type { ExplorationModel } from "../explore.ts";
import { startScripts } from "./consensus_start.ts";
import type { ConsensusStart, ScriptStep } from "./consensus_start.ts";

/**
 * All timeouts are zero and the clock does not advance, so that every tick is
 * due and paths differ only in the order of events.
 */
const consensusOptions: ConsensusOptions = {
  electionMilliseconds: 0,
  heartbeatMilliseconds: 0,
  resendMilliseconds: 0,
};
const now = 0;
const voters: readonly ReplicaId[] = ["a", "b", "c"];

/** Actions of the model; a message is given by its index in flight. */
export type ConsensusAction =
  | { readonly kind: "tick"; readonly replica: ReplicaId }
  | { readonly kind: "deliver"; readonly message: number }
  | { readonly kind: "sync"; readonly replica: ReplicaId }
  | { readonly kind: "propose"; readonly replica: ReplicaId }
  | { readonly kind: "restart"; readonly replica: ReplicaId };

/** An injected fault that the exploration must detect. */
export type ConsensusMutation =
  /** Messages that await a sync are sent before it. */
  | "sendsBeforeSync"
  /** Votes are not persisted. */
  | "forgetsVote"
  /** Refused votes are counted as granted. */
  | "countsEveryVote";

interface Disk {
  readonly hardState: HardState;
  readonly entries: readonly LogEntry[];
}

interface ModelReplica {
  readonly state: ConsensusState;
  readonly disk: Disk;
  /** Effects that are performed at the next sync, in order. */
  readonly pendingEffects: readonly ConsensusEffect[];
}

/** State of three replicas, their disks and the messages in flight. */
export interface ClusterState {
  readonly replicas: ReadonlyMap<ReplicaId, ModelReplica>;
  readonly messages: readonly ConsensusMessage[];
  /** Leaders by term. */
  readonly leaders: ReadonlyMap<number, ReplicaId>;
  /** Committed entries by index. */
  readonly committed: ReadonlyMap<number, string>;
  readonly remaining: {
    readonly ticks: number;
    readonly proposals: number;
    readonly restarts: number;
  };
  /** Description of the violation that an action has caused, or null. */
  readonly violation: string | null;
}

/**
 * Model of three consensus replicas with every order of messages, syncs,
 * losses, elections and restarts.
 */
export class ConsensusModel
  implements ExplorationModel<ClusterState, ConsensusAction> {
  readonly #mutation: ConsensusMutation | null;
  readonly initial: ClusterState;

  constructor(
    options: {
      /** Budgets of one path for ticks, proposals and restarts. */
      readonly remaining: ClusterState["remaining"];
      /** @default "fresh" */
      readonly start?: ConsensusStart;
      readonly mutation?: ConsensusMutation;
    },
  ) {
    this.#mutation = options.mutation ?? null;
    const script = startScripts[options.start ?? "fresh"];
    const disk: Disk = {
      hardState: { term: 0, votedFor: null },
      entries: [],
    };
    const initialCluster: ClusterState = {
      replicas: new Map(voters.map((id) => [id, startReplica(id, disk)])),
      messages: [],
      leaders: new Map(),
      committed: new Map(),
      remaining: { ticks: 2, proposals: 0, restarts: 0 },
      violation: null,
    };
    this.initial = {
      ...script.reduce(
        (cluster, each) => this.#runScriptStep(cluster, each),
        initialCluster,
      ),
      remaining: options.remaining,
    };
  }

  actions(cluster: ClusterState): readonly ConsensusAction[] {
    const { remaining, messages, replicas } = cluster;
    const actionsFor = (kind: "tick" | "propose" | "restart") =>
      voters.map((replica) => ({ kind, replica }));
    return [
      ...messages.map((_, message) => ({ kind: "deliver" as const, message })),
      ...voters.filter((id) => replicas.get(id)!.pendingEffects.length > 0).map(
        (replica) => ({ kind: "sync" as const, replica }),
      ),
      ...(remaining.ticks > 0 ? actionsFor("tick") : []),
      ...(remaining.proposals > 0
        ? actionsFor("propose").filter(({ replica }) =>
          replicas.get(replica)!.state.role === Role.leader
        )
        : []),
      ...(remaining.restarts > 0 ? actionsFor("restart") : []),
    ];
  }

  apply(cluster: ClusterState, action: ConsensusAction): ClusterState {
    switch (action.kind) {
      case "tick":
        return this.#step(spendBudget(cluster, "ticks"), action.replica, {
          kind: "tick",
        });
      case "propose":
        return this.#step(spendBudget(cluster, "proposals"), action.replica, {
          kind: "propose",
          payload: new Uint8Array([cluster.remaining.proposals]),
          proposal: cluster.remaining.proposals,
        });
      case "deliver": {
        const message = cluster.messages[action.message]!;
        const messages = cluster.messages.filter((each) => each !== message);
        return this.#step({ ...cluster, messages }, message.to, {
          kind: "received",
          message: this.#mutation === "countsEveryVote"
            ? withVoteGranted(message)
            : message,
        });
      }
      case "sync":
        return this.#sync(cluster, action.replica);
      case "restart":
        return this.#restart(spendBudget(cluster, "restarts"), action.replica);
    }
  }

  #runScriptStep(cluster: ClusterState, step: ScriptStep): ClusterState {
    if ("tick" in step) {
      return this.apply(cluster, { kind: "tick", replica: step.tick });
    }
    if ("sync" in step) {
      return this.apply(cluster, { kind: "sync", replica: step.sync });
    }
    if ("drop" in step) {
      return {
        ...cluster,
        messages: cluster.messages.filter((each) => each.kind !== step.drop),
      };
    }
    return cluster.messages.filter((each) => each.kind === step.deliver).reduce(
      (before, message) =>
        this.apply(before, {
          kind: "deliver",
          message: before.messages.indexOf(message),
        }),
      cluster,
    );
  }

  fingerprint(cluster: ClusterState): string {
    const { replicas, messages, committed, remaining } = cluster;
    return JSON.stringify([
      [...replicas.values()].map(({ state, disk, pendingEffects }) => {
        const { snapshot: _snapshot, options: _options, ...rest } = state;
        return [
          {
            ...rest,
            votes: [...state.votes].sort(),
            progress: [...state.progress].sort(),
          },
          disk,
          pendingEffects,
        ];
      }),
      messages.map((each) => JSON.stringify(each)).sort(),
      [...committed],
      remaining,
    ]);
  }

  findViolation(cluster: ClusterState): string | null {
    return cluster.violation;
  }

  #step(
    cluster: ClusterState,
    id: ReplicaId,
    event: ConsensusEvent,
  ): ClusterState {
    const replica = cluster.replicas.get(id)!;
    const { state, effects } = stepConsensus(replica.state, event, now);
    return effects.reduce(
      (next, effect) => this.#perform(next, id, effect),
      withReplica(cluster, id, { ...replica, state }),
    );
  }

  #perform(
    cluster: ClusterState,
    id: ReplicaId,
    effect: ConsensusEffect,
  ): ClusterState {
    switch (effect.kind) {
      case "persist":
      case "persistSnapshot":
        return queueEffect(cluster, id, effect);
      case "send":
        return effect.awaitsSync && this.#mutation !== "sendsBeforeSync"
          ? queueEffect(withInterimMessage(cluster, id, effect), id, effect)
          : withMessage(cluster, effect.message);
      case "commit":
        return effect.entries.reduce(recordCommitted, cluster);
      case "roleChanged":
        return effect.role === Role.leader
          ? recordLeader(cluster, id)
          : cluster;
      case "restore":
      case "proposed":
        return cluster;
    }
  }

  #sync(cluster: ClusterState, id: ReplicaId): ClusterState {
    const replica = cluster.replicas.get(id)!;
    const disk = replica.pendingEffects.reduce(
      (before, effect) => this.#persist(before, effect),
      replica.disk,
    );
    const messages = replica.pendingEffects.flatMap((effect) =>
      effect.kind === "send" ? [effect.message] : []
    );
    const last = replica.pendingEffects.findLast((each) =>
      each.kind === "persist" && each.entries.length > 0
    );
    const synced = withReplica(
      { ...cluster, messages: [...cluster.messages, ...messages] },
      id,
      { ...replica, disk, pendingEffects: [] },
    );
    if (last?.kind !== "persist") return synced;
    const { index, term } = last.entries.at(-1)!;
    return this.#step(synced, id, { kind: "synced", index, term });
  }

  #persist(disk: Disk, effect: ConsensusEffect): Disk {
    if (effect.kind !== "persist") return disk;
    const first = effect.entries[0]?.index ?? Infinity;
    const hardState = effect.hardState ?? disk.hardState;
    return {
      hardState: this.#mutation === "forgetsVote"
        ? { ...hardState, votedFor: null }
        : hardState,
      entries: [
        ...disk.entries.filter((each) => each.index < first),
        ...effect.entries,
      ],
    };
  }

  #restart(cluster: ClusterState, id: ReplicaId): ClusterState {
    const { disk } = cluster.replicas.get(id)!;
    return withReplica(cluster, id, startReplica(id, disk));
  }
}

function startReplica(self: ReplicaId, disk: Disk): ModelReplica {
  const snapshot = emptySnapshot({ voters, learners: [] });
  const state = createConsensusState({ self, snapshot, ...disk }, {
    now,
    options: consensusOptions,
  });
  return { state, disk, pendingEffects: [] };
}

function withVoteGranted(message: ConsensusMessage): ConsensusMessage {
  return message.kind === "voteResponse"
    ? { ...message, granted: true }
    : message;
}

function spendBudget(
  cluster: ClusterState,
  budget: keyof ClusterState["remaining"],
): ClusterState {
  const { remaining } = cluster;
  return {
    ...cluster,
    remaining: { ...remaining, [budget]: remaining[budget] - 1 },
  };
}

function withReplica(
  cluster: ClusterState,
  id: ReplicaId,
  replica: ModelReplica,
): ClusterState {
  return { ...cluster, replicas: new Map(cluster.replicas).set(id, replica) };
}

function queueEffect(
  cluster: ClusterState,
  id: ReplicaId,
  effect: ConsensusEffect,
): ClusterState {
  const replica = cluster.replicas.get(id)!;
  return withReplica(cluster, id, {
    ...replica,
    pendingEffects: [...replica.pendingEffects, effect],
  });
}

function withInterimMessage(
  cluster: ClusterState,
  id: ReplicaId,
  { interim }: Extract<ConsensusEffect, { readonly kind: "send" }>,
): ClusterState {
  const isBusy = cluster.replicas.get(id)!.pendingEffects.length > 0;
  return interim && isBusy ? withMessage(cluster, interim) : cluster;
}

function withMessage(
  cluster: ClusterState,
  message: ConsensusMessage,
): ClusterState {
  return { ...cluster, messages: [...cluster.messages, message] };
}

function recordCommitted(
  cluster: ClusterState,
  entry: LogEntry,
): ClusterState {
  const text = describeEntry(entry);
  const known = cluster.committed.get(entry.index);
  if (known === text) return cluster;
  return {
    ...cluster,
    committed: new Map(cluster.committed).set(entry.index, text),
    violation: known === undefined
      ? cluster.violation
      : `index ${entry.index} was committed as ${known} and as ${text}`,
  };
}

// A leader must be the only one in its term and have all committed entries.
function recordLeader(cluster: ClusterState, id: ReplicaId): ClusterState {
  const { state } = cluster.replicas.get(id)!;
  const other = cluster.leaders.get(state.term);
  const lost = [...cluster.committed].find(([index, text]) => {
    const entry = state.entries[index - 1];
    return !entry || describeEntry(entry) !== text;
  });
  const violation = other !== undefined && other !== id
    ? `${other} and ${id} both lead in term ${state.term}`
    : lost
    ? `${id} leads in term ${state.term} without the committed entry ${lost[1]}`
    : cluster.violation;
  return {
    ...cluster,
    leaders: new Map(cluster.leaders).set(state.term, id),
    violation,
  };
}

function describeEntry(entry: LogEntry): string {
  return `${entry.index}:${entry.term}:${entry.kind}:${
    entry.payload.join(".")
  }`;
}

import {
  configurationOf,
  createConsensusState,
  emptySnapshot,
  EntryKind,
  holdsLeaderLease,
  isVoter,
  nextTickAt,
  Role,
  stepConsensus,
  termAt,
} from "@kingcupglade/consensus";
import type {
  Configuration,
  ConsensusEffect,
  ConsensusEvent,
  ConsensusMessage,
  ConsensusOptions,
  ConsensusState,
  LogEntry,
  Snapshot,
} from "@kingcupglade/consensus";
import { decodeValue, encodeValue } from "@kingcupglade/protocol";
import type { ReplicaStorage } from "@kingcupglade/storage";
import { StateMachineTask } from "@kingcupglade/tasks";
import type { Clock } from "@kingcupglade/tasks";
import { NotLeaderError, UnknownOutcomeError } from "./errors.ts";
import { LeadershipConfirmer } from "./leadership_confirmer.ts";
import { PersistQueue } from "./persist_queue.ts";
import { replicaIdOf } from "./replica_id.ts";
import type { ReplicatedStateMachine } from "./replicated_state_machine.ts";

const minimumTickDelayMilliseconds = 1;
const transferPollMilliseconds = 10;
const entriesPerCheckpoint = 500;
const bytesPerCheckpoint = 8 * 1024 * 1024;

/** Options of a {@link Replica}. */
export interface ReplicaOptions<State, Command, Outcome> {
  readonly machine: ReplicatedStateMachine<State, Command, Outcome>;
  readonly storage: ReplicaStorage;
  readonly clock: Clock;
  readonly send: (message: ConsensusMessage) => void;
  /** Called when entries are applied, a snapshot is restored or the role changes. */
  readonly onChange: () => void;
  /** Called when the replica has stopped because of a failure. */
  readonly onFailure: (failure: unknown) => void;
  /** @default the defaults of {@link ConsensusOptions} */
  readonly consensus?: ConsensusOptions;
}

interface Checkpoint<State> {
  readonly state: State;
  /** Index of the last entry that the state covers. */
  readonly index: number;
  /** Number of entries applied since the checkpoint. */
  readonly entries: number;
  /** Payload bytes of these entries. */
  readonly bytes: number;
}

interface PendingProposal<Outcome> {
  readonly resolve: (outcome: Outcome) => void;
  readonly reject: (failure: Error) => void;
}

/** Runs one replica: its log, its data folder and its local copy of the state. */
export class Replica<State, Command, Outcome> {
  readonly id: string;
  readonly #options: ReplicaOptions<State, Command, Outcome>;
  readonly #consensus: StateMachineTask<
    ConsensusState,
    ConsensusEvent,
    ConsensusEffect
  >;
  readonly #leadershipConfirmer: LeadershipConfirmer;
  #timer: NodeJS.Timeout | undefined;
  #tickAt = Infinity;
  readonly #persistQueue: PersistQueue;
  readonly #pendingByProposal = new Map<number, PendingProposal<Outcome>>();
  readonly #pendingByIndex = new Map<
    number,
    PendingProposal<Outcome> & { term: number }
  >();
  #state: State;
  #appliedIndex: number;
  #checkpoint: Checkpoint<State>;
  #nextProposal = 1;
  #isStopped = false;

  constructor(options: ReplicaOptions<State, Command, Outcome>) {
    const { storage, clock } = options;
    this.#options = options;
    this.id = replicaIdOf(storage.identity);
    const snapshot = storage.stored.snapshot ??
      emptySnapshot({ voters: [], learners: [] });
    this.#appliedIndex = snapshot.index;
    this.#state = options.machine.restore(snapshot.data, snapshot.index);
    this.#checkpoint = this.#createCheckpoint();
    this.#persistQueue = new PersistQueue({
      storage,
      state: () => this.#consensus.state,
      send: options.send,
      onSynced: ({ index, term }) =>
        this.#post({ kind: "synced", index, term }),
      onFailure: (failure) => this.#fail(failure),
    });
    this.#consensus = new StateMachineTask({
      initialState: createConsensusState({
        self: this.id,
        hardState: storage.stored.hardState,
        snapshot,
        entries: storage.stored.entries,
      }, {
        now: clock.now(),
        ...(options.consensus && { options: options.consensus }),
      }),
      step: stepConsensus,
      clock,
      perform: (effect) => this.#perform(effect),
      onFailure: (failure) => this.#fail(failure),
    });
    this.#leadershipConfirmer = new LeadershipConfirmer({
      clock,
      state: () => this.#consensus.state,
      sendHeartbeats: () => this.#post({ kind: "confirmLeadership" }),
    });
    this.#scheduleTick();
  }

  /** The replicated state after the last locally applied entry. */
  get state(): State {
    return this.#state;
  }

  /** Index of the last applied log entry. */
  get appliedIndex(): number {
    return this.#appliedIndex;
  }

  /** The consensus state after the last event. */
  get consensus(): ConsensusState {
    return this.#consensus.state;
  }

  /** The leader known to this replica, or null. */
  get leader(): string | null {
    return this.#consensus.state.leader;
  }

  /** Whether this replica is a voter in the current configuration. */
  get isVoter(): boolean {
    return isVoter(this.#consensus.state);
  }

  /**
   * Whether this replica is the leader, holds the leader lease, and has applied
   * every entry that was acknowledged before its term.
   */
  get isReadyLeader(): boolean {
    const state = this.#consensus.state;
    return !this.#isStopped &&
      holdsLeaderLease(state, this.#options.clock.now()) &&
      termAt(state, this.#appliedIndex) === state.term;
  }

  /** Handles a message from another replica. */
  receive(message: ConsensusMessage): void {
    if (message.to !== this.id) return;
    this.#post({ kind: "received", message });
    this.#leadershipConfirmer.resolveConfirmed();
  }

  /**
   * Commits a command and resolves with its outcome once it is applied locally.
   *
   * @throws {UnknownOutcomeError} when this replica lost leadership before it
   * knew whether the command was committed.
   * @throws {NotLeaderError} when the command was definitely not committed.
   */
  propose(command: Command): Promise<Outcome> {
    if (this.#isStopped) return Promise.reject(new NotLeaderError());
    const proposal = this.#nextProposal++;
    return new Promise((resolve, reject) => {
      this.#pendingByProposal.set(proposal, { resolve, reject });
      this.#post({
        kind: "propose",
        payload: encodeValue(command),
        proposal,
      });
    });
  }

  /**
   * Resolves with true once a majority has responded to a message sent after
   * this call, so that no other replica had become leader before the call.
   * Resolves with false if that does not happen within the timeout.
   */
  confirmLeadership(timeoutMilliseconds: number): Promise<boolean> {
    return this.#leadershipConfirmer.confirm(timeoutMilliseconds);
  }

  /** Waits until all queued writes are synced or the timeout has elapsed. */
  waitUntilSynced(timeoutMilliseconds: number): Promise<void> {
    return this.#persistQueue.waitUntilIdle(timeoutMilliseconds);
  }

  /** Proposes a configuration change; it is ignored if it is not allowed now. */
  proposeConfiguration(configuration: Configuration): void {
    this.#post({ kind: "proposeConfiguration", configuration });
  }

  /**
   * Transfers leadership to another voter if this replica is the leader.
   * Resolves with whether a new term started within the timeout.
   */
  async transferLeadership(timeoutMilliseconds: number): Promise<boolean> {
    const { clock } = this.#options;
    const { role, term } = this.#consensus.state;
    if (role !== Role.leader) return false;
    this.#post({ kind: "transferLeadership" });
    const until = clock.now() + timeoutMilliseconds;
    while (this.#consensus.state.term === term && clock.now() < until) {
      await new Promise((resolve) =>
        setTimeout(resolve, transferPollMilliseconds)
      );
    }
    return this.#consensus.state.term > term;
  }

  /** Stops the task and closes the data folder. */
  async stop(): Promise<void> {
    this.#shutDown();
    await this.#persistQueue.stop();
    await this.#options.storage.close();
  }

  #shutDown(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
    this.#leadershipConfirmer.stop();
    this.#consensus.stop();
    this.#rejectPendingProposals();
  }

  #fail(failure: unknown): void {
    this.#shutDown();
    this.#options.onFailure(failure);
  }

  #post(event: ConsensusEvent): void {
    this.#consensus.post(event);
    this.#scheduleTick();
  }

  // Most events only postpone the tick, so a timer that would fire too early is
  // kept: an early tick does nothing but schedule the next one.
  #scheduleTick(): void {
    const now = this.#options.clock.now();
    const tickAt = nextTickAt(this.#consensus.state, now);
    if (this.#isStopped || tickAt >= this.#tickAt) return;
    this.#tickAt = tickAt;
    clearTimeout(this.#timer);
    this.#timer = setTimeout(
      () => this.#tick(),
      Math.max(minimumTickDelayMilliseconds, tickAt - now),
    );
  }

  #tick(): void {
    this.#tickAt = Infinity;
    this.#post({ kind: "tick" });
  }

  #perform(effect: ConsensusEffect): void {
    switch (effect.kind) {
      case "persist":
      case "persistSnapshot":
        return this.#persistQueue.add(effect);
      case "send":
        return this.#send(effect);
      case "proposed":
        return this.#trackProposal(effect);
      case "commit":
        return this.#apply(effect.entries);
      case "restore":
        this.#restore(effect.snapshot);
        return this.#options.onChange();
      case "roleChanged":
        if (effect.role !== Role.leader) this.#rejectPendingProposals();
        return this.#options.onChange();
    }
  }

  #send(effect: Extract<ConsensusEffect, { readonly kind: "send" }>): void {
    const { send } = this.#options;
    if (!effect.awaitsSync) return send(effect.message);
    if (effect.interim && this.#persistQueue.isBusy) send(effect.interim);
    this.#persistQueue.add(effect);
  }

  #trackProposal(
    effect: Extract<ConsensusEffect, { readonly kind: "proposed" }>,
  ): void {
    const pending = this.#pendingByProposal.get(effect.proposal);
    this.#pendingByProposal.delete(effect.proposal);
    if (!pending) return;
    if (effect.index === null) return pending.reject(new NotLeaderError());
    this.#pendingByIndex.set(effect.index, { ...pending, term: effect.term });
  }

  #apply(entries: readonly LogEntry[]): void {
    for (const entry of entries) {
      const outcome = this.#applyEntry(entry);
      const pending = this.#pendingByIndex.get(entry.index);
      this.#pendingByIndex.delete(entry.index);
      if (!pending) continue;
      if (pending.term === entry.term && outcome) pending.resolve(outcome);
      else pending.reject(new NotLeaderError());
    }
    this.#options.onChange();
    this.#compactIfLarge();
  }

  #applyEntry(entry: LogEntry): Outcome | null {
    const { machine } = this.#options;
    const { state, index, entries, bytes } = this.#checkpoint;
    this.#checkpoint = {
      state,
      index,
      entries: entries + 1,
      bytes: bytes + entry.payload.length,
    };
    this.#appliedIndex = entry.index;
    if (entry.kind !== EntryKind.command) {
      this.#state = machine.skip(this.#state, entry.index);
      return null;
    }
    const command = decodeValue<Command>(entry.payload);
    const applied = machine.apply(this.#state, command, entry.index);
    this.#state = applied.state;
    return applied.outcome;
  }

  #restore({ data, index }: Snapshot): void {
    this.#appliedIndex = index;
    this.#state = this.#options.machine.restore(data, index);
    this.#checkpoint = this.#createCheckpoint();
  }

  #createCheckpoint(): Checkpoint<State> {
    return {
      state: this.#state,
      index: this.#appliedIndex,
      entries: 0,
      bytes: 0,
    };
  }

  // Truncates the log at the checkpoint before the latest one, so that a replica
  // that is slightly behind still receives entries instead of a full snapshot.
  #compactIfLarge(): void {
    const checkpoint = this.#checkpoint;
    if (
      checkpoint.entries < entriesPerCheckpoint &&
      checkpoint.bytes < bytesPerCheckpoint
    ) return;
    this.#checkpoint = this.#createCheckpoint();
    this.#compact(checkpoint);
  }

  #compact(checkpoint: Checkpoint<State>): void {
    const { snapshot, entries } = this.#consensus.state;
    const covered = entries.slice(0, checkpoint.index - snapshot.index);
    const last = covered.at(-1);
    if (!last) return;
    const compacted: Snapshot = {
      index: last.index,
      term: last.term,
      configuration: configurationOf({ snapshot, entries: covered }),
      data: this.#options.machine.encode(checkpoint.state),
    };
    this.#post({ kind: "compacted", snapshot: compacted });
    this.#persistQueue.add({ kind: "persistSnapshot", snapshot: compacted });
  }

  // Proposals that are in the log may still be committed by another leader.
  #rejectPendingProposals(): void {
    for (const each of this.#pendingByProposal.values()) {
      each.reject(new NotLeaderError());
    }
    for (const each of this.#pendingByIndex.values()) {
      each.reject(new UnknownOutcomeError());
    }
    this.#pendingByProposal.clear();
    this.#pendingByIndex.clear();
  }
}

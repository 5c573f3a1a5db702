import {
  createConsensusState,
  emptySnapshot,
  EntryKind,
  isVoter,
  quorumContactAt,
  Role,
  stepConsensus,
  termAt,
} from "@kingcupglade/consensus";
import type {
  Configuration,
  ConsensusEffect,
  ConsensusEvent,
  ConsensusMessage,
  ConsensusState,
  LogEntry,
  Snapshot,
} from "@kingcupglade/consensus";
import {
  applyCommand,
  decodeControlState,
  encodeControlState,
} from "@kingcupglade/ownership";
import type {
  CommandOutcome,
  ControlCommand,
  ControlState,
} from "@kingcupglade/ownership";
import { decodeValue, encodeValue } from "@kingcupglade/protocol";
import type { ReplicaStorage } from "@kingcupglade/storage";
import { MachineTask } from "@kingcupglade/tasks";
import type { Clock } from "@kingcupglade/tasks";
import { NotLeaderError } from "./errors.ts";
import { replicaIdOf } from "./replica_id.ts";

const tickMilliseconds = 25;
const entriesPerSnapshot = 1000;

/** Options of a {@link ReplicaTask}. */
export interface ReplicaTaskOptions {
  readonly storage: ReplicaStorage;
  readonly clock: Clock;
  readonly send: (message: ConsensusMessage) => void;
  /** Called after every applied command and change of role. */
  readonly onChange: () => void;
  readonly onFailure: (failure: unknown) => void;
}

interface WaitingProposal {
  readonly resolve: (outcome: CommandOutcome) => void;
  readonly reject: (failure: Error) => void;
}

/** Runs one control replica: its log, its data folder and its copy of the state. */
export class ReplicaTask {
  readonly id: string;
  readonly #options: ReplicaTaskOptions;
  readonly #machine: MachineTask<
    ConsensusState,
    ConsensusEvent,
    ConsensusEffect
  >;
  readonly #timer: NodeJS.Timeout;
  readonly #queue: ConsensusEffect[] = [];
  readonly #unplaced = new Map<number, WaitingProposal>();
  readonly #placed = new Map<number, WaitingProposal & { term: number }>();
  #control: ControlState;
  #nextProposal = 1;
  #draining: Promise<void> | undefined;
  #stopped = false;

  constructor(options: ReplicaTaskOptions) {
    const { storage, clock } = options;
    this.#options = options;
    this.id = replicaIdOf(storage.identity);
    const snapshot = storage.stored.snapshot ??
      emptySnapshot({ voters: [], learners: [] });
    this.#control = decodeControlState(snapshot.data);
    this.#machine = new MachineTask({
      initial: createConsensusState({
        self: this.id,
        hardState: storage.stored.hardState,
        snapshot,
        entries: storage.stored.entries,
      }, { now: clock.now() }),
      step: stepConsensus,
      clock,
      perform: (effect) => this.#enqueue(effect),
      onFailure: options.onFailure,
    });
    this.#timer = setInterval(
      () => this.#machine.post({ kind: "tick" }),
      tickMilliseconds,
    );
  }

  /** The replicated state as far as it is applied here. */
  get control(): ControlState {
    return this.#control;
  }

  /** The consensus state after the last event. */
  get consensus(): ConsensusState {
    return this.#machine.state;
  }

  /** The replica that leads, as far as this one knows. */
  get leader(): string | null {
    return this.#machine.state.leader;
  }

  /** The replicas that vote and copy. */
  get isVoter(): boolean {
    return isVoter(this.#machine.state);
  }

  /**
   * Whether this replica leads, has heard its quorum within the election
   * timeout, and has applied everything that was acknowledged before it led.
   */
  get isReadyLeader(): boolean {
    const state = this.#machine.state;
    const now = this.#options.clock.now();
    return state.role === Role.leader &&
      now - quorumContactAt(state, now) < state.options.electionMilliseconds &&
      termAt(state, this.#control.version) === state.term;
  }

  /** Takes in a message of another replica. */
  receive(message: ConsensusMessage): void {
    if (message.to === this.id) {
      this.#machine.post({ kind: "received", message });
    }
  }

  /**
   * Commits a command and applies it here.
   *
   * @throws {NotLeaderError} when this replica does not lead, or stopped
   * leading before it knew whether the command was committed.
   */
  propose(command: ControlCommand): Promise<CommandOutcome> {
    const proposal = this.#nextProposal++;
    return new Promise((resolve, reject) => {
      this.#unplaced.set(proposal, { resolve, reject });
      this.#machine.post({
        kind: "propose",
        payload: encodeValue(command),
        proposal,
      });
    });
  }

  /** Asks for a change of the replica set. */
  proposeConfiguration(configuration: Configuration): void {
    this.#machine.post({ kind: "proposeConfiguration", configuration });
  }

  /** Hands the lead to another voter, if this replica leads. */
  transferLeadership(): void {
    this.#machine.post({ kind: "transferLeadership" });
  }

  /** Stops the task and closes the data folder. */
  async stop(): Promise<void> {
    this.#stopped = true;
    clearInterval(this.#timer);
    this.#machine.stop();
    await this.#draining;
    this.#rejectWaiting();
    await this.#options.storage.close();
  }

  #enqueue(effect: ConsensusEffect): void {
    this.#queue.push(effect);
    this.#draining ??= this.#drain()
      .catch((failure) => this.#fail(failure))
      .finally(() => (this.#draining = undefined));
  }

  #fail(failure: unknown): void {
    this.#stopped = true;
    clearInterval(this.#timer);
    this.#machine.stop();
    this.#rejectWaiting();
    this.#options.onFailure(failure);
  }

  // Everything queued while one sync was under way shares the next one.
  async #drain(): Promise<void> {
    await Promise.resolve();
    while (this.#queue.length > 0 && !this.#stopped) {
      const batch = this.#queue.splice(0);
      await this.#persist(batch);
      for (const effect of batch) this.#perform(effect);
    }
  }

  async #persist(batch: readonly ConsensusEffect[]): Promise<void> {
    const { storage } = this.#options;
    let records: { hardState: never; entries: readonly LogEntry[] }[] = [];
    for (const effect of batch) {
      if (effect.kind === "persist") records.push(effect as never);
      if (effect.kind === "persistSnapshot") {
        records = [];
        await this.#saveSnapshot(effect.snapshot);
      }
    }
    if (records.length === 0) return;
    await storage.append(
      records.map(({ hardState, entries }) => ({ hardState, entries })),
    );
    const last = records.at(-1)?.entries.at(-1);
    if (last) {
      this.#machine.post({
        kind: "synced",
        index: last.index,
        term: last.term,
      });
    }
  }

  async #saveSnapshot(snapshot: Snapshot): Promise<void> {
    const { term, votedFor, entries } = this.#machine.state;
    await this.#options.storage.saveSnapshot(snapshot, {
      hardState: { term, votedFor },
      entries: entries.filter((entry) => entry.index > snapshot.index),
    });
  }

  #perform(effect: ConsensusEffect): void {
    switch (effect.kind) {
      case "send":
        return this.#options.send(effect.message);
      case "proposed":
        return this.#place(effect);
      case "commit":
        return this.#apply(effect.entries);
      case "restore":
        this.#control = decodeControlState(effect.snapshot.data);
        return this.#options.onChange();
      case "roleChanged":
        if (effect.role !== Role.leader) this.#rejectWaiting();
        return this.#options.onChange();
    }
  }

  #place(
    effect: Extract<ConsensusEffect, { readonly kind: "proposed" }>,
  ): void {
    const waiting = this.#unplaced.get(effect.proposal);
    this.#unplaced.delete(effect.proposal);
    if (!waiting) return;
    if (effect.index === null) return waiting.reject(new NotLeaderError());
    this.#placed.set(effect.index, { ...waiting, term: effect.term });
  }

  #apply(entries: readonly LogEntry[]): void {
    for (const entry of entries) {
      const outcome = this.#applyEntry(entry);
      const waiting = this.#placed.get(entry.index);
      this.#placed.delete(entry.index);
      if (!waiting) continue;
      if (waiting.term === entry.term && outcome) waiting.resolve(outcome);
      else waiting.reject(new NotLeaderError());
    }
    this.#options.onChange();
    this.#compactIfLarge();
  }

  #applyEntry(entry: LogEntry): CommandOutcome | null {
    if (entry.kind !== EntryKind.command) {
      this.#control = { ...this.#control, version: entry.index };
      return null;
    }
    const command = decodeValue<ControlCommand>(entry.payload);
    const { state, outcome } = applyCommand(
      this.#control,
      command,
      entry.index,
    );
    this.#control = state;
    return outcome;
  }

  #compactIfLarge(): void {
    const { snapshot, entries } = this.#machine.state;
    const index = this.#control.version;
    if (index - snapshot.index < entriesPerSnapshot) return;
    const entry = entries[index - snapshot.index - 1];
    if (!entry) return;
    const configuration = entries.slice(0, index - snapshot.index)
      .findLast((each) => each.configuration)?.configuration ??
      snapshot.configuration;
    const compacted: Snapshot = {
      index,
      term: entry.term,
      configuration,
      data: encodeControlState(this.#control),
    };
    this.#machine.post({ kind: "compacted", snapshot: compacted });
    this.#enqueue({ kind: "persistSnapshot", snapshot: compacted });
  }

  #rejectWaiting(): void {
    const waiting = [...this.#unplaced.values(), ...this.#placed.values()];
    this.#unplaced.clear();
    this.#placed.clear();
    for (const each of waiting) each.reject(new NotLeaderError());
  }
}

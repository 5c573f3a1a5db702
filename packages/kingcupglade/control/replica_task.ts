import {
  configurationOf,
  createConsensusState,
  emptySnapshot,
  EntryKind,
  holdsQuorum,
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
import { NotLeaderError, UnknownOutcomeError } from "./errors.ts";
import { PersistQueue } from "./persist_queue.ts";
import { replicaIdOf } from "./replica_id.ts";

const shortestPauseMilliseconds = 1;
const handOverPollMilliseconds = 10;
const entriesPerCheckpoint = 500;
const bytesPerCheckpoint = 8 * 1024 * 1024;

/** Options of a {@link ReplicaTask}. */
export interface ReplicaTaskOptions {
  readonly storage: ReplicaStorage;
  readonly clock: Clock;
  readonly send: (message: ConsensusMessage) => void;
  /** Called after every applied command and change of role. */
  readonly onChange: () => void;
  readonly onFailure: (failure: unknown) => void;
}

interface Checkpoint {
  readonly control: ControlState;
  /** Entries applied since, and their bytes. */
  readonly entries: number;
  readonly bytes: number;
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
  #timer: NodeJS.Timeout | undefined;
  #tickAt = Infinity;
  readonly #disk: PersistQueue;
  readonly #unplaced = new Map<number, WaitingProposal>();
  readonly #placed = new Map<number, WaitingProposal & { term: number }>();
  #control: ControlState;
  #checkpoint: Checkpoint;
  #nextProposal = 1;
  #ended = false;

  constructor(options: ReplicaTaskOptions) {
    const { storage, clock } = options;
    this.#options = options;
    this.id = replicaIdOf(storage.identity);
    const snapshot = storage.stored.snapshot ??
      emptySnapshot({ voters: [], learners: [] });
    this.#control = restoreControl(snapshot);
    this.#checkpoint = checkpointAt(this.#control);
    this.#disk = new PersistQueue({
      storage,
      state: () => this.#machine.state,
      send: options.send,
      onSynced: ({ index, term }) =>
        this.#post({ kind: "synced", index, term }),
      onFailure: (failure) => this.#fail(failure),
    });
    this.#machine = new MachineTask({
      initial: createConsensusState({
        self: this.id,
        hardState: storage.stored.hardState,
        snapshot,
        entries: storage.stored.entries,
      }, { now: clock.now() }),
      step: stepConsensus,
      clock,
      perform: (effect) => this.#perform(effect),
      onFailure: (failure) => this.#fail(failure),
    });
    this.#scheduleTick();
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

  /** Whether this replica votes. */
  get isVoter(): boolean {
    return isVoter(this.#machine.state);
  }

  /**
   * Whether this replica leads, has heard its quorum so lately that no other
   * can lead yet, and has applied everything acknowledged before it led.
   */
  get isReadyLeader(): boolean {
    const state = this.#machine.state;
    return !this.#ended && holdsQuorum(state, this.#options.clock.now()) &&
      termAt(state, this.#control.version) === state.term;
  }

  /** Takes in a message of another replica. */
  receive(message: ConsensusMessage): void {
    if (message.to === this.id) {
      this.#post({ kind: "received", message });
    }
  }

  /**
   * Commits a command and applies it here.
   *
   * @throws {UnknownOutcomeError} when this replica stopped leading before it
   * knew whether the command was committed.
   * @throws {NotLeaderError} when the command was certainly not committed.
   */
  propose(command: ControlCommand): Promise<CommandOutcome> {
    if (this.#ended) return Promise.reject(new NotLeaderError());
    const proposal = this.#nextProposal++;
    return new Promise((resolve, reject) => {
      this.#unplaced.set(proposal, { resolve, reject });
      this.#post({
        kind: "propose",
        payload: encodeValue(command),
        proposal,
      });
    });
  }

  /** Waits until nothing waits for the disk, or the time is up. */
  untilSynced(timeoutMilliseconds: number): Promise<void> {
    return this.#disk.untilIdle(timeoutMilliseconds);
  }

  /** Asks for a change of the replica set. */
  proposeConfiguration(configuration: Configuration): void {
    this.#post({ kind: "proposeConfiguration", configuration });
  }

  /**
   * Hands the lead to another voter, if this replica leads. Answers with
   * whether another one was elected within the time.
   */
  async handOver(timeoutMilliseconds: number): Promise<boolean> {
    const { clock } = this.#options;
    const { role, term } = this.#machine.state;
    if (role !== Role.leader) return false;
    this.#post({ kind: "transferLeadership" });
    const until = clock.now() + timeoutMilliseconds;
    while (this.#machine.state.term === term && clock.now() < until) {
      await new Promise((resolve) =>
        setTimeout(resolve, handOverPollMilliseconds)
      );
    }
    return this.#machine.state.term > term;
  }

  /** Stops the task and closes the data folder. */
  async stop(): Promise<void> {
    this.#end();
    await this.#disk.stop();
    await this.#options.storage.close();
  }

  #end(): void {
    this.#ended = true;
    clearTimeout(this.#timer);
    this.#machine.stop();
    this.#rejectWaiting();
  }

  #fail(failure: unknown): void {
    this.#end();
    this.#options.onFailure(failure);
  }

  #post(event: ConsensusEvent): void {
    this.#machine.post(event);
    this.#scheduleTick();
  }

  // A timer that is too early stays: most events only put the tick off.
  #scheduleTick(): void {
    const now = this.#options.clock.now();
    const tickAt = nextTickAt(this.#machine.state, now);
    if (this.#ended || tickAt >= this.#tickAt) return;
    this.#tickAt = tickAt;
    clearTimeout(this.#timer);
    this.#timer = setTimeout(
      () => this.#tick(),
      Math.max(shortestPauseMilliseconds, tickAt - now),
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
        return this.#disk.add(effect);
      case "send":
        return this.#send(effect);
      case "proposed":
        return this.#place(effect);
      case "commit":
        return this.#apply(effect.entries);
      case "restore":
        this.#control = restoreControl(effect.snapshot);
        this.#checkpoint = checkpointAt(this.#control);
        return this.#options.onChange();
      case "roleChanged":
        if (effect.role !== Role.leader) this.#rejectWaiting();
        return this.#options.onChange();
    }
  }

  #send(effect: Extract<ConsensusEffect, { readonly kind: "send" }>): void {
    const { send } = this.#options;
    if (!effect.awaitsSync) return send(effect.message);
    if (effect.meanwhile && this.#disk.isBusy) send(effect.meanwhile);
    this.#disk.add(effect);
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
    const { control, entries, bytes } = this.#checkpoint;
    this.#checkpoint = {
      control,
      entries: entries + 1,
      bytes: bytes + entry.payload.length,
    };
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

  // The log is cut at the checkpoint before the latest one, so that a replica
  // slightly behind still gets entries in place of the whole state.
  #compactIfLarge(): void {
    const { entries, bytes, control } = this.#checkpoint;
    if (entries < entriesPerCheckpoint && bytes < bytesPerCheckpoint) return;
    this.#checkpoint = checkpointAt(this.#control);
    this.#compact(control);
  }

  #compact(control: ControlState): void {
    const { snapshot, entries } = this.#machine.state;
    const covered = entries.slice(0, control.version - snapshot.index);
    const last = covered.at(-1);
    if (!last) return;
    const compacted: Snapshot = {
      index: last.index,
      term: last.term,
      configuration: configurationOf({ snapshot, entries: covered }),
      data: encodeControlState(control),
    };
    this.#post({ kind: "compacted", snapshot: compacted });
    this.#disk.add({ kind: "persistSnapshot", snapshot: compacted });
  }

  // What was placed in the log may yet be committed under another leader.
  #rejectWaiting(): void {
    for (const each of this.#unplaced.values()) {
      each.reject(new NotLeaderError());
    }
    for (const each of this.#placed.values()) {
      each.reject(new UnknownOutcomeError());
    }
    this.#unplaced.clear();
    this.#placed.clear();
  }
}

function checkpointAt(control: ControlState): Checkpoint {
  return { control, entries: 0, bytes: 0 };
}

// The first snapshot of a replica set holds no state.
function restoreControl({ data, index }: Snapshot): ControlState {
  return { ...decodeControlState(data), version: index };
}

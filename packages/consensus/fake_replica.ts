import { isVoter } from "./election.ts";
import type { FakeNetwork } from "./fake_network.ts";
import { lastIndex } from "./log.ts";
import {
  createConsensusState,
  emptySnapshot,
  nextTickAt,
  stepConsensus,
} from "./machine.ts";
import { Role } from "./types.ts";
import type {
  ConsensusEffect,
  ConsensusEvent,
  ConsensusState,
  HardState,
  LogEntry,
  ReplicaId,
  Snapshot,
} from "./types.ts";

const entriesPerSnapshot = 40;

interface Disk {
  hardState: HardState;
  snapshot: Snapshot;
  entries: readonly LogEntry[];
}

/** A simulated replica whose disk keeps only what was synced before a crash. */
export class FakeReplica {
  readonly vm: string;
  readonly region: string;
  readonly #network: FakeNetwork;
  readonly #inbox: ConsensusEvent[] = [];
  /** Term of each pending proposal by its log index. */
  readonly #terms = new Map<number, number>();
  #incarnation = 0;
  #disk: Disk;
  #state: ConsensusState;
  #isRunning = true;
  #pausedUntil = 0;
  #queuedEffects: ConsensusEffect[] = [];
  #syncingEffects: readonly ConsensusEffect[] = [];
  #syncDueAt = 0;
  /** Upper bound of the random duration of one sync. */
  syncMilliseconds = 10;

  constructor(options: {
    readonly vm: string;
    readonly region: string;
    readonly snapshot: Snapshot;
    readonly network: FakeNetwork;
  }) {
    this.vm = options.vm;
    this.region = options.region;
    this.#network = options.network;
    this.#disk = {
      hardState: { term: 0, votedFor: null },
      snapshot: options.snapshot,
      entries: [],
    };
    this.#state = this.#loadState();
  }

  get id(): ReplicaId {
    return `${this.vm}.${this.#incarnation}`;
  }

  get state(): ConsensusState {
    return this.#state;
  }

  get isRunning(): boolean {
    return this.#isRunning;
  }

  get isPaused(): boolean {
    return this.#network.now < this.#pausedUntil;
  }

  get isVoter(): boolean {
    return this.#isRunning && isVoter(this.#state);
  }

  /** Returns a copy of the synced state. */
  copyDisk(): Disk {
    return { ...this.#disk };
  }

  /** Stops immediately; unsynced state is lost. */
  crash(): void {
    this.#isRunning = false;
    this.#inbox.length = 0;
    this.#queuedEffects = [];
    this.#syncingEffects = [];
    this.#terms.clear();
  }

  /** Starts from the synced state. */
  restart(): void {
    this.#state = this.#loadState();
    this.#isRunning = true;
  }

  /** Starts from an empty disk as a new incarnation. */
  restartWithEmptyDisk(): void {
    this.#incarnation += 1;
    this.#disk = {
      hardState: { term: 0, votedFor: null },
      snapshot: emptySnapshot({ voters: [], learners: [] }),
      entries: [],
    };
    this.restart();
  }

  /** Starts from an older copy of its disk. */
  restartFromDisk(disk: Disk): void {
    this.#disk = disk;
    this.restart();
  }

  /** Stops handling events and syncs for a time; events are queued. */
  pause(milliseconds: number): void {
    this.#pausedUntil = this.#network.now + milliseconds;
  }

  post(event: ConsensusEvent): void {
    if (this.#isRunning) this.#inbox.push(event);
  }

  /** Handles queued events, the tick if it is due, and disk syncs. */
  advance(): void {
    const { now } = this.#network;
    if (!this.#isRunning || now < this.#pausedUntil) return;
    const isDue = now >= nextTickAt(this.#state, now);
    if (isDue) this.#inbox.push({ kind: "tick" });
    for (const event of this.#inbox.splice(0)) this.#step(event);
    this.#sync();
  }

  #loadState(): ConsensusState {
    return createConsensusState(
      { self: this.id, ...this.#disk },
      { now: this.#network.now, options: { maximumBatchBytes: 64 } },
    );
  }

  #step(event: ConsensusEvent): void {
    const { state, effects } = stepConsensus(
      this.#state,
      event,
      this.#network.now,
    );
    this.#state = state;
    for (const effect of effects) this.#perform(effect);
  }

  #perform(effect: ConsensusEffect): void {
    switch (effect.kind) {
      case "persist":
      case "persistSnapshot":
        this.#queuedEffects.push(effect);
        return;
      case "send":
        return this.#send(effect);
      case "proposed":
        if (effect.index !== null) this.#terms.set(effect.index, effect.term);
        return;
      case "commit":
        return this.#commit(effect.entries);
      case "restore":
        return this.#checkSnapshot(effect.snapshot);
      case "roleChanged":
        if (effect.role === Role.leader) {
          this.#network.recordLeader(this.id, this.#state.term);
        }
    }
  }

  #send(effect: Extract<ConsensusEffect, { readonly kind: "send" }>): void {
    if (!effect.awaitsSync) return this.#network.send(effect.message);
    const isBusy = this.#queuedEffects.length + this.#syncingEffects.length > 0;
    if (isBusy && effect.interim) this.#network.send(effect.interim);
    this.#queuedEffects.push(effect);
  }

  #commit(entries: readonly LogEntry[]): void {
    for (const entry of entries) {
      this.#network.recordCommitted(entry);
      if (this.#terms.get(entry.index) === entry.term) {
        this.#network.acknowledgedCommands += 1;
      }
      this.#terms.delete(entry.index);
    }
    const { commitIndex, snapshot } = this.#state;
    if (commitIndex - snapshot.index >= entriesPerSnapshot) this.#compact();
  }

  #compact(): void {
    const { commitIndex, snapshot, entries } = this.#state;
    const covered = entries.slice(0, commitIndex - snapshot.index);
    const last = covered.at(-1)!;
    const configuration = covered.findLast((each) => each.configuration)
      ?.configuration ?? snapshot.configuration;
    const data = new Uint8Array(200).fill(commitIndex % 251);
    const compacted = {
      index: commitIndex,
      term: last.term,
      configuration,
      data,
    };
    this.#inbox.push({ kind: "compacted", snapshot: compacted });
    this.#queuedEffects.push({ kind: "persistSnapshot", snapshot: compacted });
  }

  #checkSnapshot({ index, data }: Snapshot): void {
    const isIntact = data.length === 200 &&
      data.every((each) => each === index % 251);
    if (!isIntact && index > 0) throw new Error(`snapshot ${index} is corrupt`);
  }

  #sync(): void {
    const { now } = this.#network;
    if (this.#syncingEffects.length === 0 && this.#queuedEffects.length > 0) {
      this.#syncingEffects = this.#queuedEffects;
      this.#queuedEffects = [];
      this.#syncDueAt = now + this.#network.randomBelow(this.syncMilliseconds);
    }
    if (this.#syncingEffects.length === 0 || now < this.#syncDueAt) return;
    const completed = this.#syncingEffects;
    this.#syncingEffects = [];
    for (const effect of completed) this.#complete(effect);
  }

  #complete(effect: ConsensusEffect): void {
    if (effect.kind === "send") return this.#network.send(effect.message);
    if (effect.kind === "persistSnapshot") return this.#storeSnapshot();
    if (effect.kind !== "persist") return;
    this.#disk.hardState = effect.hardState ?? this.#disk.hardState;
    const offset = this.#disk.snapshot.index + 1;
    for (const entry of effect.entries) {
      if (entry.index < offset) continue;
      const kept = this.#disk.entries.slice(0, entry.index - offset);
      this.#disk.entries = [...kept, entry];
    }
    const last = effect.entries.at(-1);
    if (!last) return;
    this.#inbox.push({ kind: "synced", index: last.index, term: last.term });
  }

  #storeSnapshot(): void {
    const { snapshot, entries, term, votedFor } = this.#state;
    this.#disk = { hardState: { term, votedFor }, snapshot, entries };
    this.#inbox.push({
      kind: "synced",
      index: lastIndex(this.#state),
      term: entries.at(-1)?.term ?? snapshot.term,
    });
  }
}

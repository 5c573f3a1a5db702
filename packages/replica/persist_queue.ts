import type {
  ConsensusEffect,
  ConsensusMessage,
  ConsensusState,
  LogEntry,
} from "@kingcupglade/consensus";
import type { ReplicaStorage } from "@kingcupglade/storage";

type PersistEffect = Extract<ConsensusEffect, { readonly kind: "persist" }>;

/** An effect that writes to the disk or may have to wait for a sync. */
export type StorageEffect = Extract<
  ConsensusEffect,
  { readonly kind: "persist" | "persistSnapshot" | "send" }
>;

/** Options of a {@link PersistQueue}. */
export interface PersistQueueOptions {
  readonly storage: ReplicaStorage;
  /** The consensus state after the last event. */
  readonly state: () => ConsensusState;
  readonly send: (message: ConsensusMessage) => void;
  /** Called when the log has been synced up to an entry. */
  readonly onSynced: (entry: LogEntry) => void;
  /** Called once, when writing to the data folder fails. */
  readonly onFailure: (failure: unknown) => void;
}

/**
 * Persists the effects of consensus with one sync per batch, where a batch is
 * everything queued during the previous sync, and then sends the messages that
 * waited for the sync.
 */
export class PersistQueue {
  readonly #options: PersistQueueOptions;
  readonly #queue: StorageEffect[] = [];
  #isDraining = false;
  #drained: Promise<void> = Promise.resolve();
  #isStopped = false;

  constructor(options: PersistQueueOptions) {
    this.#options = options;
  }

  /** Whether an effect that is added now has to wait for a sync. */
  get isBusy(): boolean {
    return this.#isDraining;
  }

  /** Adds an effect. */
  add(effect: StorageEffect): void {
    if (this.#isStopped) return;
    this.#queue.push(effect);
    if (this.#isDraining) return;
    this.#isDraining = true;
    this.#drained = this.#drain().catch((failure) => {
      this.#isStopped = true;
      this.#options.onFailure(failure);
    });
  }

  /** Waits until the queue is empty or the timeout has elapsed. */
  async waitUntilIdle(timeoutMilliseconds: number): Promise<void> {
    if (!this.#isDraining) return;
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<void>((resolve) => {
      timer = setTimeout(resolve, timeoutMilliseconds);
    });
    await Promise.race([this.#drained, timeout]);
    clearTimeout(timer);
  }

  /** Stops after the current write; queued effects are dropped. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    await this.#drained;
  }

  async #drain(): Promise<void> {
    await Promise.resolve();
    while (this.#queue.length > 0 && !this.#isStopped) {
      const batch = this.#queue.splice(0);
      await this.#persistBatch(batch);
      if (this.#isStopped) return;
      for (const effect of batch) {
        if (effect.kind === "send") this.#options.send(effect.message);
      }
    }
    this.#isDraining = false;
  }

  async #persistBatch(batch: readonly StorageEffect[]): Promise<void> {
    const { storage, onSynced } = this.#options;
    const persists = batch.filter((each): each is PersistEffect =>
      each.kind === "persist"
    );
    const lastEntry = persists.findLast((each) => each.entries.length > 0)
      ?.entries.at(-1);
    if (batch.some((each) => each.kind === "persistSnapshot")) {
      await this.#persistCurrentState();
    } else if (persists.length > 0) {
      await storage.append(
        persists.map(({ hardState, entries }) => ({ hardState, entries })),
      );
    }
    if (lastEntry) onSynced(lastEntry);
  }

  // The current state is at least as recent as everything in the batch.
  async #persistCurrentState(): Promise<void> {
    const { snapshot, entries, term, votedFor } = this.#options.state();
    await this.#options.storage.saveSnapshot(snapshot, {
      hardState: { term, votedFor },
      entries,
    });
  }
}

import { setTimeout as delay } from "node:timers/promises";
import { recordBytes } from "@kingcupglade/ledger";
import type {
  LedgerBatch,
  LedgerShard,
  LedgerUpdate,
} from "@kingcupglade/ledger";
import type { Clock } from "@kingcupglade/tasks";

const maximumBatchUpdates = 256;
const maximumBatchBytes = 262_144;
const maximumPendingUpdates = 10_000;
const retryDelayMilliseconds = 20;

/** Options of a {@link ShardReplicator}. */
export interface ShardReplicatorOptions {
  readonly shard: LedgerShard;
  /** Sends a batch to the standby; null when there is none. */
  readonly send: ((batch: LedgerBatch) => Promise<boolean>) | null;
  readonly clock: Clock;
}

interface PendingUpdate {
  readonly update: LedgerUpdate;
  /** Set on the last update of the copy for a new standby. */
  readonly completesCopy?: boolean;
  readonly resolve: (recorded: boolean) => void;
}

/**
 * Sends a standby a complete copy of a shard and then every update in order,
 * during one epoch of the holder.
 */
export class ShardReplicator {
  readonly #options: ShardReplicatorOptions;
  readonly #pending: PendingUpdate[] = [];
  readonly #epoch: number;
  #sequence = 0;
  #isStopped = false;
  #isRunning = false;
  #isSynchronised = false;
  #resolveSynchronised: () => void = () => {};

  /**
   * Resolves when the standby has the complete copy, or the epoch has ended.
   */
  readonly whenSynchronised: Promise<void>;

  constructor(options: ShardReplicatorOptions) {
    this.#options = options;
    this.#epoch = options.shard.role.epoch;
    this.whenSynchronised = new Promise((resolve) => {
      this.#resolveSynchronised = resolve;
    });
    if (options.send) this.#sendCopy();
    else this.#markSynchronised();
  }

  /** Whether the standby has the complete copy, or there is no standby. */
  get isSynchronised(): boolean {
    return this.#isSynchronised && !this.#isStopped;
  }

  /** Whether too many updates are pending to accept another claim. */
  get isFull(): boolean {
    return this.#pending.length >= maximumPendingUpdates;
  }

  /** Resolves with whether the standby has recorded the update. */
  record(update: LedgerUpdate): Promise<boolean> {
    if (this.#isStopped) return Promise.resolve(false);
    if (!this.#options.send) return Promise.resolve(true);
    return new Promise((resolve) => {
      this.#pending.push({ update, resolve });
      void this.#run();
    });
  }

  /** Ends the epoch; updates that are still pending are not recorded. */
  stop(): void {
    this.#isStopped = true;
    this.#resolveSynchronised();
    for (const each of this.#pending.splice(0)) each.resolve(false);
  }

  #sendCopy(): void {
    const { shard, clock } = this.#options;
    const updates = shard.snapshot(clock.now());
    updates.forEach((update) =>
      this.#pending.push({ update, resolve: () => {} })
    );
    this.#pending.push({
      // Removing an empty claim ID has no effect; this update ends the copy.
      update: { kind: "remove", claim: "" },
      completesCopy: true,
      resolve: (recorded) => {
        if (recorded) this.#markSynchronised();
      },
    });
    void this.#run();
  }

  #markSynchronised(): void {
    this.#isSynchronised = true;
    this.#resolveSynchronised();
  }

  async #run(): Promise<void> {
    if (this.#isRunning) return;
    this.#isRunning = true;
    // Updates of the same turn of the event loop share a batch.
    await Promise.resolve();
    while (this.#pending.length > 0 && !this.#isStopped) await this.#sendNext();
    this.#isRunning = false;
  }

  async #sendNext(): Promise<void> {
    const { shard, send, clock } = this.#options;
    const sent = nextUpdates(this.#pending);
    const batch: LedgerBatch = {
      epoch: this.#epoch,
      sequence: this.#sequence,
      first: this.#sequence === 0,
      last: sent.some((each) => each.completesCopy),
      blockedMilliseconds: shard.blockedMilliseconds(clock.now()),
      updates: sent.map((each) => each.update),
    };
    const accepted = await send!(batch).catch(() => false);
    if (this.#isStopped) return;
    if (!accepted) return delay(retryDelayMilliseconds);
    this.#sequence += 1;
    for (const each of this.#pending.splice(0, sent.length)) each.resolve(true);
  }
}

/** Returns the updates of the next batch, limited in number and size. */
function nextUpdates(
  pending: readonly PendingUpdate[],
): readonly PendingUpdate[] {
  let bytes = 0;
  let count = 0;
  for (const { update } of pending.slice(0, maximumBatchUpdates)) {
    if (bytes >= maximumBatchBytes) break;
    bytes += update.kind === "put" ? recordBytes(update.record) : 0;
    count += 1;
  }
  return pending.slice(0, count);
}

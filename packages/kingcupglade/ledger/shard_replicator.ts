import { setTimeout as pause } from "node:timers/promises";
import { recordBytes } from "@kingcupglade/ledger";
import type {
  LedgerBatch,
  LedgerShard,
  LedgerUpdate,
} from "@kingcupglade/ledger";
import type { Clock } from "@kingcupglade/tasks";

const updatesPerBatch = 256;
const batchBytes = 262_144;
const maximumWaitingUpdates = 10_000;
const retryPauseMilliseconds = 20;

/** Options of a {@link ShardReplicator}. */
export interface ShardReplicatorOptions {
  readonly shard: LedgerShard;
  /** Sends a batch to the standby; null when there is none. */
  readonly send: ((batch: LedgerBatch) => Promise<boolean>) | null;
  readonly clock: Clock;
}

interface WaitingUpdate {
  readonly update: LedgerUpdate;
  /** Set on the last update of the copy that a new standby gets. */
  readonly completes?: boolean;
  readonly settle: (recorded: boolean) => void;
}

/**
 * Gives a standby the whole copy of a shard and then every change, in order,
 * for one epoch of the holder.
 */
export class ShardReplicator {
  readonly #options: ShardReplicatorOptions;
  readonly #waiting: WaitingUpdate[] = [];
  readonly #epoch: number;
  #sequence = 0;
  #stopped = false;
  #running = false;
  #isSynchronised = false;
  #wakeSynchronised: () => void = () => {};

  /** Resolves when the standby has the whole copy, or the epoch is over. */
  readonly synchronised: Promise<void>;

  constructor(options: ShardReplicatorOptions) {
    this.#options = options;
    this.#epoch = options.shard.role.epoch;
    this.synchronised = new Promise((resolve) => {
      this.#wakeSynchronised = resolve;
    });
    if (options.send) this.#sendCopy();
    else this.#noteSynchronised();
  }

  /** Whether the standby has the whole copy, or there is no standby. */
  get isSynchronised(): boolean {
    return this.#isSynchronised && !this.#stopped;
  }

  /** Whether so many changes wait that no claim may be added. */
  get isFull(): boolean {
    return this.#waiting.length >= maximumWaitingUpdates;
  }

  /** Resolves with whether the standby has recorded the change. */
  record(update: LedgerUpdate): Promise<boolean> {
    if (this.#stopped) return Promise.resolve(false);
    if (!this.#options.send) return Promise.resolve(true);
    return new Promise((settle) => {
      this.#waiting.push({ update, settle });
      void this.#run();
    });
  }

  /** Ends the epoch: what is not recorded by now will not be. */
  stop(): void {
    this.#stopped = true;
    this.#wakeSynchronised();
    for (const each of this.#waiting.splice(0)) each.settle(false);
  }

  #sendCopy(): void {
    const { shard, clock } = this.#options;
    const updates = shard.snapshot(clock.now());
    updates.forEach((update) =>
      this.#waiting.push({ update, settle: () => {} })
    );
    this.#waiting.push({
      // A removal of no claim changes nothing.
      update: { kind: "remove", claim: "" },
      completes: true,
      settle: (recorded) => {
        if (recorded) this.#noteSynchronised();
      },
    });
    void this.#run();
  }

  #noteSynchronised(): void {
    this.#isSynchronised = true;
    this.#wakeSynchronised();
  }

  async #run(): Promise<void> {
    if (this.#running) return;
    this.#running = true;
    // Lets the updates of one turn share a batch.
    await Promise.resolve();
    while (this.#waiting.length > 0 && !this.#stopped) await this.#sendNext();
    this.#running = false;
  }

  async #sendNext(): Promise<void> {
    const { shard, send, clock } = this.#options;
    const sent = nextUpdates(this.#waiting);
    const batch: LedgerBatch = {
      epoch: this.#epoch,
      sequence: this.#sequence,
      first: this.#sequence === 0,
      last: sent.some((each) => each.completes),
      blockedMilliseconds: shard.blockedMilliseconds(clock.now()),
      updates: sent.map((each) => each.update),
    };
    const accepted = await send!(batch).catch(() => false);
    if (this.#stopped) return;
    if (!accepted) return pause(retryPauseMilliseconds);
    this.#sequence += 1;
    for (const each of this.#waiting.splice(0, sent.length)) each.settle(true);
  }
}

/** The updates of one batch, bounded in number and size. */
function nextUpdates(
  waiting: readonly WaitingUpdate[],
): readonly WaitingUpdate[] {
  let bytes = 0;
  let count = 0;
  for (const { update } of waiting.slice(0, updatesPerBatch)) {
    if (bytes >= batchBytes) break;
    bytes += update.kind === "put" ? recordBytes(update.record) : 0;
    count += 1;
  }
  return waiting.slice(0, count);
}

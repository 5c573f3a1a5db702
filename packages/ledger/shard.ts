import { RecordStore } from "./record_store.ts";
import type { ClaimRecord, LedgerBatch, LedgerUpdate } from "./record.ts";

/** A VM's part in a shard, as assigned by control. */
export interface ShardRole {
  readonly part: "holder" | "standby" | "none";
  /** Fencing epoch of the assignment. */
  readonly epoch: number;
  /** Epoch since which the VM has had a part without interruption. */
  readonly since: number;
  /** Epoch of the first assignment of the shard. */
  readonly foundedAt: number;
}

/** A holder's decision on a claim. */
export type ClaimDecision =
  /** Record the update on the standby, then run the request. */
  | { readonly kind: "run"; readonly update: LedgerUpdate }
  /** This holder is running the request. */
  | { readonly kind: "running" }
  /** The request has ended. */
  | {
    readonly kind: "ended";
    readonly record: Exclude<ClaimRecord, { readonly state: "open" }>;
  }
  /** The key was used for a request with different content. */
  | { readonly kind: "conflict" }
  /** Both copies were lost, possibly with a record of this claim. */
  | { readonly kind: "lost"; readonly retryAfterMilliseconds: number }
  /** The shard can store no further claim. */
  | { readonly kind: "full" }
  /** This VM does not hold the shard. */
  | { readonly kind: "notHolder" };

/** A standby's response to a batch. */
export type BatchResponse =
  | { readonly kind: "accepted" }
  /** The holder's epoch has ended. */
  | { readonly kind: "fenced"; readonly epoch: number }
  /** An earlier batch is missing. */
  | { readonly kind: "gap" };

/** Options of a {@link LedgerShard}. */
export interface LedgerShardOptions {
  /** Retention time of an outcome. */
  readonly retentionMilliseconds: number;
  /** @default 50000 */
  readonly maximumRecords?: number;
  /** @default 16777216 */
  readonly maximumBytes?: number;
}

const noRole: ShardRole = {
  part: "none",
  epoch: 0,
  since: 0,
  foundedAt: 0,
};

/** Reason of a claim whose holder was lost before its outcome was recorded. */
export const holderLostReason = "connection-lost";

/**
 * One VM's copy of a ledger shard: the claimed requests and their outcomes.
 * Performs no I/O and reads no clock.
 */
export class LedgerShard {
  readonly #options: LedgerShardOptions;
  readonly #records: RecordStore;
  #role: ShardRole = noRole;
  #isComplete = false;
  #lastSequence = -1;
  /** Time until which a claim without a record counts as lost. */
  #blockedUntil = -Infinity;
  #generation = 0;
  #hasEverBeenComplete = false;

  constructor(options: LedgerShardOptions) {
    this.#options = options;
    this.#records = new RecordStore(options);
  }

  /** The current assignment of this copy. */
  get role(): ShardRole {
    return this.#role;
  }

  /** Whether the copy contains everything that was recorded in its epoch. */
  get isComplete(): boolean {
    return this.#isComplete;
  }

  /** Increases whenever the copy is reset. */
  get generation(): number {
    return this.#generation;
  }

  /** Number of records. */
  get size(): number {
    return this.#records.size;
  }

  /** IDs of the claims that have a record. */
  get claims(): readonly string[] {
    return this.#records.entries().map((each) => each.id);
  }

  /** Estimated memory of the records in bytes. */
  get bytes(): number {
    return this.#records.bytes;
  }

  /** Applies a new assignment; older ones are ignored. */
  assign(role: ShardRole, now: number): void {
    const previous = this.#role;
    const hasEverBeenComplete = this.#hasEverBeenComplete;
    if (role.epoch <= previous.epoch) return;
    const keepsRecords = this.#isComplete && previous.epoch >= role.since;
    this.#role = role;
    if (role.part !== "holder") return this.#reset();
    if (keepsRecords) {
      if (previous.part === "standby") this.#takeOver(now);
      return;
    }
    this.#reset();
    this.#markComplete();
    // A copy that has existed since the first assignment and was never complete
    // has acknowledged nothing, so nothing was claimed.
    this.#blockedUntil = role.since === role.foundedAt && !hasEverBeenComplete
      ? -Infinity
      : now + this.#options.retentionMilliseconds;
  }

  /** Decides how to handle a request with a claim. */
  claim(id: string, content: string, now: number): ClaimDecision {
    if (this.#role.part !== "holder") return { kind: "notHolder" };
    this.#records.expire(now);
    const known = this.#records.get(id);
    if (known) {
      if (known.content !== content) return { kind: "conflict" };
      return known.state === "open"
        ? { kind: "running" }
        : { kind: "ended", record: known };
    }
    if (now < this.#blockedUntil) {
      return { kind: "lost", retryAfterMilliseconds: this.#blockedUntil - now };
    }
    if (this.#records.isFull) return { kind: "full" };
    return {
      kind: "run",
      update: this.#put(id, { state: "open", content }, now),
    };
  }

  /** Records the outcome of a claimed request. */
  settle(
    id: string,
    record: Exclude<ClaimRecord, { readonly state: "open" }>,
    now: number,
  ): LedgerUpdate {
    return this.#put(id, record, now);
  }

  /** Removes a claim whose request certainly did not run. */
  release(id: string): LedgerUpdate {
    this.#records.delete(id);
    return { kind: "remove", claim: id };
  }

  /**
   * Accepts the outcome of a request from the holder of an earlier epoch, which
   * completed the request after it was replaced.
   */
  settleLate(
    id: string,
    record: Exclude<ClaimRecord, { readonly state: "open" }>,
    now: number,
  ): LedgerUpdate | null {
    const known = this.#records.get(id);
    const isOutcomeMissing = this.#role.part === "holder" &&
      known?.state === "unknown" && known.content === record.content;
    return isOutcomeMissing ? this.#put(id, record, now) : null;
  }

  /** Applies a batch that the holder sent. */
  receive(batch: LedgerBatch, now: number): BatchResponse {
    const { epoch, part } = this.#role;
    if (batch.epoch < epoch || (batch.epoch === epoch && part === "holder")) {
      return { kind: "fenced", epoch };
    }
    if (batch.epoch > epoch) {
      this.#role = {
        ...noRole,
        part: "standby",
        epoch: batch.epoch,
      };
      this.#reset();
    }
    if (batch.sequence <= this.#lastSequence) return { kind: "accepted" };
    if (batch.sequence !== this.#lastSequence + 1) return { kind: "gap" };
    this.#lastSequence = batch.sequence;
    if (batch.first) this.#records.clear();
    for (const update of batch.updates) this.#applyUpdate(update, now);
    this.#records.expire(now);
    if (batch.last) this.#markComplete();
    this.#blockedUntil = now + batch.blockedMilliseconds;
    return { kind: "accepted" };
  }

  /** Returns the updates that a new standby needs. */
  snapshot(now: number): readonly LedgerUpdate[] {
    this.#records.expire(now);
    return this.#records.entries().map(({ id, record, expiresAt }) => ({
      kind: "put",
      claim: id,
      record,
      remainingMilliseconds: expiresAt - now,
    }));
  }

  /** Removes expired records. */
  expire(now: number): void {
    this.#records.expire(now);
  }

  /** Returns the time for which a claim without a record counts as lost. */
  blockedMilliseconds(now: number): number {
    return Math.max(0, this.#blockedUntil - now);
  }

  #markComplete(): void {
    this.#isComplete = true;
    this.#hasEverBeenComplete = true;
  }

  #reset(): void {
    this.#generation += 1;
    this.#records.clear();
    this.#isComplete = false;
    this.#lastSequence = -1;
    this.#blockedUntil = -Infinity;
  }

  // The lost holder may have sent the request of any open claim, or may still
  // send it.
  #takeOver(now: number): void {
    for (const { id, record } of this.#records.entries()) {
      if (record.state !== "open") continue;
      const { content } = record;
      this.#put(
        id,
        { state: "unknown", content, reason: holderLostReason },
        now,
      );
    }
  }

  #put(id: string, record: ClaimRecord, now: number): LedgerUpdate {
    const remainingMilliseconds = this.#options.retentionMilliseconds;
    this.#records.put(id, { record, expiresAt: now + remainingMilliseconds });
    return { kind: "put", claim: id, record, remainingMilliseconds };
  }

  #applyUpdate(update: LedgerUpdate, now: number): void {
    if (update.kind === "remove") return this.#records.delete(update.claim);
    this.#records.put(update.claim, {
      record: update.record,
      expiresAt: now + update.remainingMilliseconds,
    });
  }
}

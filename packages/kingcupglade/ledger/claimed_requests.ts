import { contentDigest } from "@kingcupglade/ledger";
import type {
  Claim,
  ClaimRecord,
  LedgerUpdate,
  StoredResponse,
} from "@kingcupglade/ledger";
import type { RoleAssignment } from "@kingcupglade/ownership";
import {
  ledgerNotQueried,
  notRun,
  Outcome,
  Reason,
  unknownOutcome,
} from "@kingcupglade/routing";
import type { Refusal } from "@kingcupglade/routing";
import type { Clock } from "@kingcupglade/tasks";
import { BufferingSink } from "../gateway/response_sink.ts";
import type { Attempts, CallerRequest } from "../gateway/attempts.ts";
import type { HeldShard, LedgerTask } from "./ledger_task.ts";

const maximumResponseBytes = 1 << 20;
const maximumStoredResponseBytes = 16_384;
const outcomeRecordTimeoutMilliseconds = 500;
const tablePollIntervalMilliseconds = 20;

/** Result of a claimed request. */
export type ClaimedResult =
  | { readonly kind: "answer"; readonly answer: StoredResponse }
  | Refusal;

/** A request that arrived at the holder of its claim. */
export interface ClaimedRequest {
  readonly claim: Claim;
  readonly role: RoleAssignment;
  readonly caller: Omit<CallerRequest, "sink">;
}

type FinalRecord = Exclude<ClaimRecord, { readonly state: "open" }>;

interface OpenClaim {
  readonly held: HeldShard;
  readonly content: string;
  readonly update: LedgerUpdate;
  /** Generation of the copy in which the claim was opened. */
  readonly generation: number;
}

/** Options of {@link ClaimedRequests}. */
export interface ClaimedRequestsOptions {
  readonly ledger: LedgerTask;
  readonly attempts: Attempts;
  readonly clock: Clock;
}

/**
 * Runs each claimed request at most once and returns its result to each caller.
 */
export class ClaimedRequests {
  readonly #options: ClaimedRequestsOptions;
  readonly #running = new Map<string, Promise<ClaimedResult>>();

  constructor(options: ClaimedRequestsOptions) {
    this.#options = options;
  }

  /** Number of running requests. */
  get size(): number {
    return this.#running.size;
  }

  /** Runs a request, or returns the result of the first with the same claim. */
  async run(request: ClaimedRequest): Promise<ClaimedResult> {
    const { claim, role, caller } = request;
    const body = caller.body.buffer;
    if (!body) return notRun(Reason.bodyTooLarge, { status: 413 });
    const held = await this.#acquire(role, caller.deadlineAt);
    if (!held) return ledgerNotQueried(Reason.noLedger);
    const content = contentDigest({ ...caller, body });
    const decision = held.shard.claim(claim.id, content, this.#now);
    switch (decision.kind) {
      case "conflict":
        return notRun(Reason.conflict, { status: 409 });
      case "full":
        return ledgerNotQueried(Reason.overload);
      case "notHolder":
        return ledgerNotQueried(Reason.noLedger);
      case "lost":
        return {
          ...unknownOutcome(Reason.ledgerLost),
          retryAfterSeconds: Math.ceil(decision.retryAfterMilliseconds / 1000),
        };
      case "ended":
        return resultOf(decision.record);
      case "running":
        return await this.#join(claim, caller.deadlineAt);
      case "run":
        return await this.#start(request, {
          held,
          content,
          update: decision.update,
          generation: held.shard.generation,
        });
    }
  }

  /**
   * Returns the shard once its standby, if any, has a complete copy; null when
   * this VM is not the holder, the replicator is full, or the deadline passed.
   */
  async #acquire(
    role: RoleAssignment,
    deadlineAt: number,
  ): Promise<HeldShard | null> {
    while (this.#now < deadlineAt) {
      const held = this.#options.ledger.held(role);
      if (!held || held.replicator.isFull) return null;
      if (held.replicator.isSynchronised) return held;
      await resultWithin(
        held.replicator.whenSynchronised,
        Math.min(tablePollIntervalMilliseconds, deadlineAt - this.#now),
      );
    }
    return null;
  }

  async #join(claim: Claim, deadlineAt: number): Promise<ClaimedResult> {
    const running = this.#running.get(claim.id);
    const result = running &&
      await resultWithin(running, deadlineAt - this.#now);
    return result ?? unknownOutcome(Reason.inProgress);
  }

  async #start(
    request: ClaimedRequest,
    open: OpenClaim,
  ): Promise<ClaimedResult> {
    const { id } = request.claim;
    const running = this.#execute(request, open);
    this.#running.set(id, running);
    try {
      return await running;
    } finally {
      this.#running.delete(id);
    }
  }

  async #execute(
    request: ClaimedRequest,
    open: OpenClaim,
  ): Promise<ClaimedResult> {
    const { caller } = request;
    const recorded = await resultWithin(
      open.held.replicator.record(open.update),
      caller.deadlineAt - this.#now,
    );
    if (!recorded || !this.#mayRun(request, open)) {
      this.#release(request, open);
      return ledgerNotQueried(Reason.noLedger);
    }
    const sink = new BufferingSink({ maximumBytes: maximumResponseBytes });
    const refusal = await this.#options.attempts.run({ ...caller, sink });
    if (refusal?.outcome === Outcome.notRun) {
      this.#release(request, open);
      return refusal;
    }
    // The sink is closed if the response was too large to be buffered.
    const unknown = refusal && !sink.isClosed
      ? refusal
      : unknownOutcome(Reason.badAnswer);
    await this.#settle(request, {
      open,
      record: sink.answer
        ? recordOf(sink.answer, open.content)
        : { state: "unknown", content: open.content, reason: unknown.reason },
    });
    return sink.answer ? { kind: "answer", answer: sink.answer } : unknown;
  }

  #mayRun({ role }: ClaimedRequest, open: OpenClaim): boolean {
    return this.#options.ledger.held(role)?.replicator === open.held.replicator;
  }

  /** Returns the copy in which a claim is open, if this VM still holds it. */
  #copyOf({ role }: ClaimedRequest, open: OpenClaim): HeldShard | null {
    const copy = this.#options.ledger.heldEvenWithoutLease(role);
    return copy?.shard.generation === open.generation ? copy : null;
  }

  #release(request: ClaimedRequest, open: OpenClaim): void {
    const copy = this.#copyOf(request, open);
    if (copy) void copy.replicator.record(copy.shard.release(request.claim.id));
  }

  /** Records an outcome on both copies, or at the holder that follows. */
  async #settle(
    request: ClaimedRequest,
    end: { readonly open: OpenClaim; readonly record: FinalRecord },
  ): Promise<void> {
    const { claim, role } = request;
    const { ledger } = this.#options;
    const copy = this.#copyOf(request, end.open);
    if (!copy) return await ledger.settleAtHolder(role, claim, end.record);
    const recording = copy.replicator.record(
      copy.shard.settle(claim.id, end.record, this.#now),
    );
    void recording.then((recorded) =>
      recorded ? undefined : ledger.settleAtHolder(role, claim, end.record)
    );
    await resultWithin(recording, outcomeRecordTimeoutMilliseconds);
  }

  get #now(): number {
    return this.#options.clock.now();
  }
}

function recordOf(
  response: StoredResponse,
  content: string,
): FinalRecord {
  const isStored = response.body.length <= maximumStoredResponseBytes;
  return { state: "done", content, answer: isStored ? response : null };
}

function resultOf(record: FinalRecord): ClaimedResult {
  if (record.state === "unknown") {
    return unknownOutcome(record.reason as Reason);
  }
  if (record.answer) return { kind: "answer", answer: record.answer };
  return {
    kind: "refusal",
    status: 409,
    outcome: Outcome.answered,
    reason: Reason.answerNotKept,
  };
}

/** Returns the result of a promise, or undefined after a timeout. */
function resultWithin<Result>(
  promise: Promise<Result>,
  milliseconds: number,
): Promise<Result | undefined> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(
      () => resolve(undefined),
      Math.max(0, milliseconds),
    );
    promise.then((result) => {
      clearTimeout(timer);
      resolve(result);
    }, reject);
  });
}

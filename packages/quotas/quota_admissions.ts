import type { Clock } from "@kingcupglade/tasks";
import { GatewayQuotas, QuotaRejection } from "./gateway_quotas.ts";
import type {
  GatewayQuotasOptions,
  QuotaState,
  QuotaUse,
} from "./gateway_quotas.ts";
import type { QuotaAnswer, QuotaReport } from "./messages.ts";

/** Longest wait of a request for an answer of the leader. */
const maximumWaitMilliseconds = 250;
/** Shortest time between two calls, for all workspaces together. */
const callIntervalMilliseconds = 100;
/**
 * Requests that wait at the same time at a gateway; at 14 requests a second, the
 * load of a gateway of the first site, fewer than 4 arrive in the longest wait.
 */
const maximumWaiting = 256;
/**
 * Answers without enough allowance after which requests wait no more. After the
 * first, other gateways are asked to return theirs, which takes one more call.
 */
const denialsUntilRejection = 2;
/** Bounds of the time until the leader is asked again after a denial. */
const minimumDenialMilliseconds = 200;
const maximumDenialMilliseconds = 1000;
/**
 * Shortest time between two calls in advance of need for one workspace; the
 * report of the next watch, a second later at most, asks as well.
 */
const advanceIntervalMilliseconds = 1000;
/** Retry-after of requests that find no lease. */
const leaseRetryAfterMilliseconds = 1000;

/** Decision on a request of a limited workspace. */
export type QuotaDecision =
  | { readonly kind: "admitted"; readonly use: QuotaUse }
  | {
    readonly kind: "rejected";
    readonly reason: QuotaRejection;
    readonly retryAfterMilliseconds: number;
    readonly state: QuotaState;
  };

interface Waiter {
  readonly until: number;
  readonly decide: (decision: QuotaDecision) => void;
}

/** What the leader last said of a workspace that is short of allowance. */
interface Denials {
  count: number;
  /** The leader is not asked before this time. */
  until: number;
}

/**
 * Decides which requests of limited workspaces are admitted, which wait for an
 * answer of the leader, and when the leader is called. It sets no timers: its
 * owner calls {@link expire} at {@link nextAt}.
 */
export class QuotaAdmissions {
  readonly quotas: GatewayQuotas;
  readonly #clock: Clock;
  /** Requests that wait, by workspace, in the order of their arrival. */
  readonly #waiters = new Map<string, Waiter[]>();
  readonly #denials = new Map<string, Denials>();
  /** When the leader was last asked in advance, by workspace. */
  readonly #advancedAt = new Map<string, number>();
  /** Workspaces for which the leader should be called. */
  readonly #short = new Set<string>();
  #waiting = 0;
  #calledAt = -Infinity;
  /** Workspaces that the call in progress asks for. */
  #asked: ReadonlySet<string> | undefined;

  constructor(options: GatewayQuotasOptions) {
    this.quotas = new GatewayQuotas(options);
    this.#clock = options.clock;
  }

  /** Number of requests that wait for an answer. */
  get waiting(): number {
    return this.#waiting;
  }

  /**
   * Calls `decide` once, now or later. Returns a function that ends the wait
   * without a decision.
   */
  admit(
    workspace: string,
    decide: (decision: QuotaDecision) => void,
  ): () => void {
    this.quotas.recordDemand(workspace);
    const waiters = this.#waiters.get(workspace);
    const use = waiters ? undefined : this.quotas.take(workspace);
    if (use) {
      this.#askInAdvance(workspace);
      decide({ kind: "admitted", use });
      return () => {};
    }
    if (!this.#mayWait(workspace)) {
      decide(this.#rejection(workspace));
      return () => {};
    }
    const waiter = {
      until: this.#clock.now() + maximumWaitMilliseconds,
      decide,
    };
    this.#waiters.set(workspace, [...waiters ?? [], waiter]);
    this.#waiting += 1;
    this.quotas.setWaiting(workspace, (waiters?.length ?? 0) + 1);
    this.#short.add(workspace);
    return () => this.#remove(workspace, waiter);
  }

  /** Whether the leader should be called now. */
  get isCallDue(): boolean {
    return this.#short.size > 0 && this.#asked === undefined &&
      this.#clock.now() >= this.#calledAt + callIntervalMilliseconds;
  }

  /** Creates the report of a call, which {@link endCall} ends. */
  startCall(): QuotaReport {
    this.#calledAt = this.#clock.now();
    this.#asked = new Set(this.#short);
    this.#short.clear();
    return this.quotas.report(false);
  }

  /** Ends a call. The answer is null if there is none. */
  endCall(answer: QuotaAnswer | null): void {
    const asked = this.#asked ?? new Set();
    this.#asked = undefined;
    if (answer?.needsWhole) {
      this.quotas.apply(answer);
      for (const workspace of this.#waiters.keys()) this.#short.add(workspace);
      return;
    }
    const waiting = new Set(this.#waiters.keys());
    if (answer) this.apply(answer);
    for (const workspace of asked) {
      this.#recordResult(workspace, waiting.has(workspace));
    }
  }

  /** Applies an answer, and decides on the requests that waited for it. */
  apply(answer: QuotaAnswer): void {
    this.quotas.apply(answer);
    for (const workspace of [...this.#waiters.keys()]) this.#settle(workspace);
    for (const workspace of [...this.#denials.keys()]) {
      if (this.quotas.hasRoom(workspace)) this.#denials.delete(workspace);
    }
  }

  /** Rejects the requests that have waited too long. */
  expire(): void {
    const now = this.#clock.now();
    for (const [workspace, waiters] of [...this.#waiters]) {
      this.#settle(workspace);
      for (const waiter of [...waiters]) {
        if (waiter.until > now) break;
        if (!this.#remove(workspace, waiter)) continue;
        waiter.decide(this.#rejection(workspace));
      }
    }
    for (const [workspace, { until }] of this.#denials) {
      const isOld = now > until + maximumDenialMilliseconds;
      if (isOld) this.#denials.delete(workspace);
    }
    for (const [workspace, askedAt] of this.#advancedAt) {
      const isOld = now > askedAt + advanceIntervalMilliseconds;
      if (isOld) this.#advancedAt.delete(workspace);
    }
  }

  /** When there is something to do; undefined while nothing waits. */
  get nextAt(): number | undefined {
    const callAt = this.#short.size > 0 && this.#asked === undefined
      ? this.#calledAt + callIntervalMilliseconds
      : Infinity;
    let next = callAt;
    for (const [first] of this.#waiters.values()) {
      next = Math.min(next, first!.until);
    }
    return Number.isFinite(next) ? next : undefined;
  }

  // Settles the requests of a workspace that the leader was asked for.
  #recordResult(workspace: string, didWait: boolean): void {
    this.#settle(workspace);
    const waiters = this.#waiters.get(workspace) ?? [];
    const isServed = waiters.length === 0 &&
      (didWait || this.quotas.hasRoom(workspace));
    if (isServed) {
      this.#denials.delete(workspace);
      return;
    }
    const now = this.#clock.now();
    const count = (this.#denials.get(workspace)?.count ?? 0) + 1;
    const milliseconds = Math.min(
      maximumDenialMilliseconds,
      minimumDenialMilliseconds *
        2 ** Math.max(0, count - denialsUntilRejection),
    );
    const isDenied = count >= denialsUntilRejection;
    this.#denials.set(workspace, {
      count,
      until: isDenied ? now + milliseconds : now,
    });
    if (!isDenied) {
      if (waiters.length > 0) this.#short.add(workspace);
      return;
    }
    for (const waiter of [...waiters]) {
      if (!this.#remove(workspace, waiter)) continue;
      waiter.decide(this.#rejection(workspace));
    }
  }

  // Requests do not wait for what the leader has just denied.
  #mayWait(workspace: string): boolean {
    const denials = this.#denials.get(workspace);
    const isDenied = denials !== undefined &&
      this.#clock.now() < denials.until;
    return !isDenied && this.#waiting < maximumWaiting;
  }

  #askInAdvance(workspace: string): void {
    if (this.#denials.has(workspace)) return;
    if (!this.quotas.isNearlyUsed(workspace)) return;
    const now = this.#clock.now();
    const askedAt = this.#advancedAt.get(workspace) ?? -Infinity;
    if (now < askedAt + advanceIntervalMilliseconds) return;
    this.#advancedAt.set(workspace, now);
    this.#short.add(workspace);
  }

  #settle(workspace: string): void {
    for (const waiter of [...this.#waiters.get(workspace) ?? []]) {
      const use = this.quotas.take(workspace);
      if (!use) return;
      if (this.#remove(workspace, waiter)) {
        waiter.decide({ kind: "admitted", use });
      } else use.release();
    }
  }

  #remove(workspace: string, waiter: Waiter): boolean {
    const waiters = this.#waiters.get(workspace);
    const index = waiters?.indexOf(waiter) ?? -1;
    if (!waiters || index < 0) return false;
    this.#waiting -= 1;
    waiters.splice(index, 1);
    this.quotas.setWaiting(workspace, waiters.length);
    if (waiters.length === 0) this.#waiters.delete(workspace);
    return true;
  }

  #rejection(workspace: string): QuotaDecision {
    const state = this.quotas.state(workspace);
    return this.quotas.hasLease
      ? {
        kind: "rejected",
        reason: QuotaRejection.limit,
        retryAfterMilliseconds: this.quotas.reject(workspace),
        state,
      }
      : {
        kind: "rejected",
        reason: QuotaRejection.lease,
        retryAfterMilliseconds: leaseRetryAfterMilliseconds,
        state,
      };
  }
}

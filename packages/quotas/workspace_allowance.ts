import { SlidingCount } from "./sliding_count.ts";

/** Demand is reported anew if it differs by more than this share. */
const reportedShare = 1 / 4;
/** Share of the allowance at which the leader is asked in advance. */
const nearShare = 1 / 8;
/**
 * Windows without a request after which an allowance is given up, also if there
 * is room for it to stay: memory must not grow with all pairs of gateways and
 * workspaces. On the first site a gateway sees most workspaces every 20 s.
 */
const idleWindows = 12;
/** Smaller allowances are used up before an answer could arrive. */
const minimumNear = 8;
/** Smaller differences of the demand are not worth a message. */
const minimumReportedDifference = 2;

/** Allowance of a gateway for one workspace, and what was used of it. */
export class WorkspaceAllowance {
  readonly #sent: SlidingCount;
  readonly #demand: SlidingCount;
  readonly #windowMilliseconds: number;
  /** Time of the last request, or of the first report without one. */
  #usedAt: number | undefined;
  /** Requests that wait for more allowance. */
  waiting = 0;
  /** Requests that were admitted and have not been sent to a target. */
  #pending = 0;
  #held = 0;
  /** What the leader last set; below what is held while that is in use. */
  #ceiling = 0;
  #reportedDemand = 0;
  #changedSince = 0;
  /** Number of requests that were rejected since one was admitted. */
  #rejected = 0;

  constructor(windowMilliseconds: number) {
    this.#windowMilliseconds = windowMilliseconds;
    this.#sent = new SlidingCount(windowMilliseconds);
    this.#demand = new SlidingCount(windowMilliseconds);
  }

  get held(): number {
    return this.#held;
  }

  /** Largest count at which no further request is admitted. */
  get ceiling(): number {
    return this.#ceiling;
  }

  /** Returns the requests that are pending or were sent in the last window. */
  count(now: number): number {
    return this.#pending + this.#sent.total(now);
  }

  /**
   * Returns the allowance that would have served the callers: their requests in
   * the last window. Requests that were sent late are counted for longer.
   */
  demand(now: number): number {
    return Math.max(this.#demand.total(now), this.count(now) + this.waiting);
  }

  recordDemand(now: number): void {
    this.#usedAt = now;
    this.#demand.add(now);
  }

  /** Takes one request if the allowance permits it. */
  take(now: number): boolean {
    if (this.count(now) >= this.#ceiling) return false;
    this.#pending += 1;
    this.#rejected = 0;
    return true;
  }

  /** Whether the allowance is so nearly in use that more should be asked for. */
  isNearlyUsed(now: number): boolean {
    return this.#ceiling >= minimumNear &&
      this.#ceiling - this.count(now) < this.#ceiling * nearShare;
  }

  /** Counts a pending request as sent. */
  send(now: number): void {
    this.#pending -= 1;
    this.#sent.add(now);
  }

  /** Gives back a pending request that was not sent. */
  release(): void {
    this.#pending -= 1;
  }

  /** Forgets the pending requests, which must not be sent any more. */
  dropPending(): void {
    this.#pending = 0;
  }

  /** Applies the allowance that the leader set. */
  set(allowance: number, now: number, reportNumber: number): void {
    this.#ceiling = allowance;
    this.#hold(Math.max(allowance, this.count(now)), reportNumber);
  }

  /** Gives up what is not used, and not set by the leader or long idle. */
  lower(now: number, reportNumber: number): void {
    this.#usedAt ??= now;
    const idleMilliseconds = now - this.#usedAt;
    if (idleMilliseconds > idleWindows * this.#windowMilliseconds) {
      this.#ceiling = 0;
    }
    const count = this.count(now);
    this.#hold(
      Math.min(this.#held, Math.max(this.#ceiling, count)),
      reportNumber,
    );
  }

  /**
   * Returns the milliseconds until one more request is expected to be admitted.
   * Each rejected request is told a later time, so that they return one by one.
   */
  reject(now: number): number {
    this.#rejected = this.#rejected % Math.max(1, this.#ceiling) + 1;
    return this.#sent.millisecondsUntilFreed(
      Math.max(1, this.count(now) - this.#ceiling) + this.#rejected,
      now,
    );
  }

  /** Whether the leader may not know the present values. */
  needsReport(now: number, acknowledged: number): boolean {
    const demand = this.demand(now);
    const difference = Math.abs(demand - this.#reportedDemand);
    const isOutdated = difference > Math.max(
          minimumReportedDifference,
          this.#reportedDemand * reportedShare,
        ) ||
      (this.#held < minimumNear && demand < this.#reportedDemand) ||
      (demand === 0 && this.#reportedDemand > 0) ||
      (demand > this.#held && demand > this.#reportedDemand);
    return isOutdated || this.#changedSince > acknowledged;
  }

  /** Records that a report holds the present values. */
  report(now: number, number: number): readonly [held: number, demand: number] {
    const demand = this.demand(now);
    if (demand !== this.#reportedDemand) this.#changedSince = number;
    this.#reportedDemand = demand;
    return [this.#held, demand];
  }

  /** Whether the entry tells nothing. */
  isIdle(now: number, acknowledged: number): boolean {
    return this.#held === 0 && this.count(now) === 0 &&
      this.demand(now) === 0 &&
      !this.needsReport(now, acknowledged);
  }

  #hold(held: number, reportNumber: number): void {
    if (held === this.#held) return;
    this.#held = held;
    this.#changedSince = reportNumber;
  }
}

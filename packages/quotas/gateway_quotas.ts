import type { Clock } from "@kingcupglade/tasks";
import type { QuotaAnswer, QuotaReport, QuotaReportRow } from "./messages.ts";
import { leaseMilliseconds } from "./quota_settings.ts";
import { WorkspaceAllowance } from "./workspace_allowance.ts";

/** Why a request of a limited workspace was not admitted. */
export const QuotaRejection = {
  /** The allowance is in use. */
  limit: "the limit of the workspace is reached",
  /** No allowance may be used without a lease. */
  lease: "no lease of allowances",
} as const;
export type QuotaRejection = typeof QuotaRejection[keyof typeof QuotaRejection];

/** A request that was counted. */
export interface QuotaUse {
  /** Whether it may be sent: it was already, or its lease goes on. */
  readonly isValid: boolean;
  /**
   * Time until its lease ends, after which it must not be sent; infinite once it
   * was sent, as it may be sent again.
   */
  readonly leftMilliseconds: number;
  /**
   * Records that the request is sent to a target, now. Returns false if it must
   * not be sent, as the lease has ended since it was admitted. Only the first
   * call counts.
   */
  send(): boolean;
  /**
   * Records that the request is handed to another gateway, which sends it at a
   * time that is not known here: it counts until {@link release}, and from then
   * on like one that is sent. Returns false if it must not be sent.
   */
  relay(): boolean;
  /** Gives the count back, unless the request was sent. */
  release(): void;
}

/** What a log line tells of a decision. */
export interface QuotaState {
  readonly allowance: number;
  readonly count: number;
  /** Time since the report by which the lease counts; infinite before one. */
  readonly leaseAgeMilliseconds: number;
}

/** Options of {@link GatewayQuotas}. */
export interface GatewayQuotasOptions {
  /** Distinguishes this gateway from the one before its restart. */
  readonly incarnation: string;
  readonly windowMilliseconds: number;
  /**
   * Measures the windows. It must not run ahead, as requests would be counted for
   * too short a time; a suspension of the VM need not be included.
   */
  readonly clock: Clock;
  /**
   * Measures the leases. It must not fall behind: it includes the time for which
   * the VM was suspended.
   */
  readonly elapsedClock: Clock;
}

/**
 * The allowances of a gateway. For each workspace, the requests that are pending
 * or were sent in the last window never exceed what the leader lent.
 */
export class GatewayQuotas {
  readonly #options: GatewayQuotasOptions;
  readonly #allowances = new Map<string, WorkspaceAllowance>();
  #number = 0;
  #applied = 0;
  /** Reports up to this number have reached the leader. */
  #acknowledged = 0;
  /** Answers to reports below this number come from another session. */
  #firstOfSession = 0;
  #term = 0;
  #needsWhole = true;
  #leaseEndsAt = -Infinity;
  /** Rises when the lease ends, which ends the pending requests. */
  #leaseNumber = 0;
  readonly #sentAt = new Map<number, number>();

  constructor(options: GatewayQuotasOptions) {
    this.#options = options;
  }

  /** Number of workspaces with an entry. */
  get size(): number {
    return this.#allowances.size;
  }

  /** Whether allowances may be used now. */
  get hasLease(): boolean {
    this.#checkLease();
    return this.#leaseEndsAt > this.#elapsed();
  }

  /** Records that a caller sent a request of a workspace. */
  recordDemand(workspace: string): void {
    this.#allowanceOf(workspace).recordDemand(this.#now());
  }

  /** Sets the number of requests of a workspace that wait for more allowance. */
  setWaiting(workspace: string, count: number): void {
    this.#allowanceOf(workspace).waiting = count;
  }

  /** Counts a request, or returns undefined if none is admitted now. */
  take(workspace: string): QuotaUse | undefined {
    if (!this.hasLease) return undefined;
    const allowance = this.#allowanceOf(workspace);
    if (!allowance.take(this.#now())) return undefined;
    return this.#createUse(allowance);
  }

  /** Whether a request would be admitted now. */
  hasRoom(workspace: string): boolean {
    const { allowance, count } = this.state(workspace);
    return this.hasLease && count < allowance;
  }

  /** Whether more should be asked for before the allowance is used up. */
  isNearlyUsed(workspace: string): boolean {
    return this.#allowances.get(workspace)?.isNearlyUsed(this.#now()) === true;
  }

  /** Returns the time after which a request that is rejected may return. */
  reject(workspace: string): number {
    return this.#allowanceOf(workspace).reject(this.#now());
  }

  /** Returns what a decision for a workspace depends on. */
  state(workspace: string): QuotaState {
    const now = this.#now();
    const allowance = this.#allowances.get(workspace);
    return {
      allowance: allowance?.ceiling ?? 0,
      count: allowance?.count(now) ?? 0,
      leaseAgeMilliseconds: this.#elapsed() -
        (this.#leaseEndsAt - leaseMilliseconds),
    };
  }

  /**
   * Creates the next report.
   *
   * @param isNewLeader Whether the leader may be another one than before.
   */
  report(isNewLeader: boolean): QuotaReport {
    const now = this.#now();
    this.#checkLease();
    const number = this.#number += 1;
    this.#forgetLapsedReports();
    this.#sentAt.set(number, this.#elapsed());
    const isWhole = this.#needsWhole || isNewLeader;
    if (isWhole) this.#firstOfSession = number;
    this.#needsWhole = false;
    const rows: QuotaReportRow[] = [];
    for (const [workspace, allowance] of this.#allowances) {
      allowance.lower(now, number);
      if (allowance.isIdle(now, this.#acknowledged)) {
        this.#allowances.delete(workspace);
      } else if (isWhole || allowance.needsReport(now, this.#acknowledged)) {
        rows.push([workspace, ...allowance.report(now, number)]);
      }
    }
    const { incarnation } = this.#options;
    return { number, incarnation, applied: this.#applied, isWhole, rows };
  }

  /** Makes the next report a whole one, as the leader may be another then. */
  reportWholeNext(): void {
    this.#needsWhole = true;
  }

  /** Applies an answer. Returns false if it is outdated. */
  apply(answer: QuotaAnswer): boolean {
    const now = this.#now();
    this.#checkLease();
    const { number, term, confirmedAgeMilliseconds } = answer;
    const sentAt = this.#sentAt.get(number);
    const isOutdated = sentAt === undefined || number <= this.#applied ||
      number < this.#firstOfSession || term < this.#term;
    if (isOutdated) return false;
    this.#term = term;
    if (answer.needsWhole) {
      this.#needsWhole = true;
      return false;
    }
    const leaseEndsAt = sentAt - confirmedAgeMilliseconds + leaseMilliseconds;
    if (leaseEndsAt <= this.#elapsed()) return false;
    this.#applied = number;
    this.#acknowledged = number;
    for (const known of this.#sentAt.keys()) {
      if (known <= number) this.#sentAt.delete(known);
    }
    this.#leaseEndsAt = Math.max(this.#leaseEndsAt, leaseEndsAt);
    for (const [workspace, allowance] of answer.rows) {
      this.#allowanceOf(workspace).set(allowance, now, this.#number + 1);
    }
    return true;
  }

  #createUse(allowance: WorkspaceAllowance): QuotaUse {
    const leaseNumber = this.#leaseNumber;
    let state: "pending" | "relayed" | "sent" | "released" = "pending";
    const isCurrent = () => {
      this.#checkLease();
      return leaseNumber === this.#leaseNumber;
    };
    const isValid = () =>
      state === "sent" ||
      (state !== "released" && isCurrent());
    const leftMilliseconds = () => {
      if (state === "sent") return Infinity;
      return isValid() ? this.#leaseEndsAt - this.#elapsed() : 0;
    };
    const send = () => {
      if (!isValid()) return false;
      if (state !== "sent") allowance.send(this.#now());
      state = "sent";
      return true;
    };
    return {
      get isValid() {
        return isValid();
      },
      get leftMilliseconds() {
        return leftMilliseconds();
      },
      send,
      relay: () => {
        if (!isValid()) return false;
        if (state === "pending") state = "relayed";
        return true;
      },
      release: () => {
        if (state === "relayed") send();
        else if (state === "pending" && isCurrent()) allowance.release();
        if (state !== "sent") state = "released";
      },
    };
  }

  // Answers to them would give no lease.
  #forgetLapsedReports(): void {
    const earliest = this.#elapsed() - leaseMilliseconds;
    for (const [number, sentAt] of this.#sentAt) {
      if (sentAt > earliest) break;
      this.#sentAt.delete(number);
    }
  }

  // Without a lease, the leader may lend the allowances to others.
  #checkLease(): void {
    const isCurrent = this.#leaseEndsAt > this.#elapsed();
    if (this.#leaseEndsAt === -Infinity || isCurrent) return;
    this.#leaseEndsAt = -Infinity;
    this.#leaseNumber += 1;
    for (const allowance of this.#allowances.values()) {
      allowance.dropPending();
      allowance.set(0, this.#now(), this.#number + 1);
    }
  }

  #allowanceOf(workspace: string): WorkspaceAllowance {
    let allowance = this.#allowances.get(workspace);
    if (!allowance) {
      allowance = new WorkspaceAllowance(this.#options.windowMilliseconds);
      this.#allowances.set(workspace, allowance);
    }
    return allowance;
  }

  #now(): number {
    return this.#options.clock.now();
  }

  #elapsed(): number {
    return this.#options.elapsedClock.now();
  }
}

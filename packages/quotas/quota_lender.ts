import type { BorrowerRecorder } from "./borrower_recorder.ts";
import { borrowerId, gatewayOf } from "./borrowers.ts";
import { LoanBounds } from "./loan_bounds.ts";
import type { BoundRecorder } from "./loan_bounds.ts";
import type { QuotaAnswer, QuotaAnswerRow, QuotaReport } from "./messages.ts";
import { loanMilliseconds } from "./quota_settings.ts";
import {
  outstandingOf,
  recordAnswer,
  WorkspaceLoans,
} from "./workspace_loans.ts";

/**
 * Answers that are remembered of a borrower that has applied none; at one watch a
 * second and ten calls, more than a lease of them.
 */
const maximumAnswered = 64;

/** An incarnation of a gateway that holds or may hold allowances. */
interface Borrower {
  readonly incarnation: string;
  /** Number of its newest report. */
  number: number;
  /** The newest of its reports whose answer it has applied. */
  applied: number;
  /** When its loans lapse. */
  expiresAt: number;
  /** Reports that were answered, until one of the answers was applied. */
  readonly answered: Set<number>;
  readonly workspaces: Set<string>;
}

/** Options of a {@link QuotaLender}. */
export interface QuotaLenderOptions {
  readonly term: number;
  readonly windowMilliseconds: number;
  /** When this VM began to lead. */
  readonly startedAt: number;
  /**
   * Returns the total that an earlier leader may have lent of a workspace; 0 if
   * it had no limit at that time.
   */
  readonly lentBefore: (workspace: string) => number;
  /**
   * Returns the total of a workspace; 0 if there is no such workspace, infinite
   * if it has no limit.
   */
  readonly total: (workspace: string) => number;
  /** Records who may hold loans; nothing is lent to others. */
  readonly recorder: BoundRecorder & Pick<BorrowerRecorder, "add" | "remove">;
}

/**
 * Lends the totals of workspaces to gateways. The sum of the allowances that
 * gateways may hold never exceeds the total, except after the total fell, until
 * gateways have returned the difference.
 */
export class QuotaLender {
  readonly #options: QuotaLenderOptions;
  readonly #loans = new Map<string, WorkspaceLoans>();
  /** Borrowers by gateway and incarnation. */
  readonly #borrowers = new Map<string, Borrower>();
  /** The newest incarnation of each gateway. */
  readonly #newest = new Map<string, string>();
  /** Workspaces whose gateways may have to return something. */
  readonly #changed = new Set<string>();
  /**
   * Borrowers of earlier leaders that may still accept answers of these: they
   * have applied no answer of this one. A report alone does not prevent it.
   */
  readonly #unconfirmed: Set<string>;
  readonly #bounds: LoanBounds;
  /** Whether all that an earlier leader lent was reported or has lapsed. */
  #isSettled = false;

  constructor(options: QuotaLenderOptions) {
    this.#options = options;
    this.#bounds = new LoanBounds(options.recorder);
    this.#unconfirmed = new Set(options.recorder.committed.keys());
    if (this.#unconfirmed.size === 0) this.#settle();
  }

  /** Whether all that an earlier leader lent was reported or has lapsed. */
  get isSettled(): boolean {
    return this.#isSettled;
  }

  /** Borrowers of earlier leaders that may hold what is not known here. */
  get unconfirmed(): ReadonlySet<string> {
    return this.#unconfirmed;
  }

  /** Number of workspaces with outstanding allowances. */
  get workspaceCount(): number {
    return this.#loans.size;
  }

  /** Returns the sum of the allowances of a workspace that may be in use. */
  outstanding(workspace: string): number {
    return this.#loans.get(workspace)?.outstanding ?? 0;
  }

  /** Records a report. One that is older than another is ignored. */
  record(gateway: string, report: QuotaReport, now: number): void {
    this.expire(now);
    const id = borrowerId(gateway, report.incarnation);
    const known = this.#borrowers.get(id);
    // The leader must not take the missing rows for allowances of 0.
    if (!known && !report.isWhole) return;
    if (known && report.number <= known.number) return;
    const borrower = known ?? this.#addBorrower(gateway, report, now);
    borrower.number = report.number;
    borrower.applied = Math.max(borrower.applied, report.applied);
    this.#options.recorder.add(id);
    this.#dropAppliedAnswers(id, borrower, report);
    for (const [workspace, held, demand] of report.rows) {
      this.#recordRow({ id, borrower, workspace, held, demand }, {
        isFirst: !known,
        isWhole: report.isWhole,
      });
    }
    if (report.isWhole) this.#clearMissing(id, borrower, report);
    this.#confirm(id, borrower);
  }

  /**
   * Answers a report, which {@link record} has seen.
   *
   * @param confirmedAgeMilliseconds Time since a quorum last confirmed that this
   * VM leads.
   */
  answer(
    gateway: string,
    report: Pick<QuotaReport, "number" | "incarnation">,
    { now, confirmedAgeMilliseconds }: {
      readonly now: number;
      readonly confirmedAgeMilliseconds: number;
    },
  ): QuotaAnswer {
    this.expire(now);
    const { term, windowMilliseconds } = this.#options;
    const { number } = report;
    const id = borrowerId(gateway, report.incarnation);
    const borrower = this.#borrowers.get(id);
    const answer = { term, number, confirmedAgeMilliseconds };
    // A gateway applies no answer that is older than one that it has applied.
    if (!borrower || number < borrower.applied) {
      return { ...answer, needsWhole: !borrower, rows: [] };
    }
    borrower.expiresAt = now + loanMilliseconds + windowMilliseconds;
    if (this.#unconfirmed.has(id)) rememberAnswered(borrower, number);
    const rows: QuotaAnswerRow[] = [];
    for (const workspace of borrower.workspaces) {
      const row = this.#answerRow(id, workspace, number);
      if (row) rows.push(row);
    }
    return { ...answer, needsWhole: false, rows };
  }

  /** Whether a report is the newest of its borrower. */
  isNewest(
    gateway: string,
    { number, incarnation }: Pick<QuotaReport, "number" | "incarnation">,
  ): boolean {
    const id = borrowerId(gateway, incarnation);
    return this.#borrowers.get(id)?.number === number;
  }

  /**
   * Returns the gateways that should be answered now, as they hold allowances
   * that others are short of; each once for a change.
   */
  takeDebtors(): ReadonlySet<string> {
    const debtors = new Set<string>();
    for (const workspace of this.#changed) {
      const loans = this.#loans.get(workspace);
      if (!loans) continue;
      loans.total = this.#total(workspace);
      for (const id of loans.debtors()) debtors.add(gatewayOf(id));
    }
    this.#changed.clear();
    return debtors;
  }

  /** Drops loans that have lapsed. */
  expire(now: number): void {
    const { startedAt, windowMilliseconds } = this.#options;
    for (const [id, borrower] of this.#borrowers) {
      if (borrower.expiresAt > now) continue;
      for (const workspace of [...borrower.workspaces]) {
        this.#removeLoan(id, borrower, workspace);
      }
      this.#borrowers.delete(id);
      const gateway = gatewayOf(id);
      if (this.#newest.get(gateway) === id) this.#newest.delete(gateway);
    }
    const settlesAt = startedAt + loanMilliseconds + windowMilliseconds;
    if (!this.#isSettled && now >= settlesAt) this.#settle();
  }

  /** Drops what has lapsed, also from the record; called periodically. */
  tick(now: number): void {
    this.expire(now);
    const { startedAt, windowMilliseconds, recorder } = this.#options;
    // Borrowers of an earlier leader may not have reported yet.
    const lapsesAt = startedAt + loanMilliseconds + windowMilliseconds;
    if (now < lapsesAt) return;
    for (const id of recorder.committed.keys()) {
      if (!this.#borrowers.has(id)) recorder.remove(id, now);
    }
    this.#bounds.review(now, {
      total: (workspace) => this.#total(workspace),
      outstanding: (id, workspace) => this.#outstandingOf(id, workspace),
    });
  }

  // The borrower has applied an answer of this term, and applies none of an
  // earlier one from then on.
  #confirm(id: string, { applied, answered }: Borrower): void {
    if (!answered.has(applied)) return;
    answered.clear();
    this.#unconfirmed.delete(id);
    if (!this.#isSettled && this.#unconfirmed.size === 0) this.#settle();
  }

  #settle(): void {
    this.#isSettled = true;
    this.#unconfirmed.clear();
    for (const [workspace, loans] of [...this.#loans]) {
      loans.unknown = 0;
      loans.changed();
      if (loans.size === 0) this.#loans.delete(workspace);
    }
  }

  #addBorrower(
    gateway: string,
    { incarnation }: QuotaReport,
    now: number,
  ): Borrower {
    const id = borrowerId(gateway, incarnation);
    const borrower: Borrower = {
      incarnation,
      number: 0,
      applied: 0,
      expiresAt: now + loanMilliseconds + this.#options.windowMilliseconds,
      answered: new Set(),
      workspaces: new Set(),
    };
    this.#borrowers.set(id, borrower);
    const before = this.#newest.get(gateway);
    this.#newest.set(gateway, id);
    if (before !== undefined) this.#endDemand(before);
    return borrower;
  }

  // A gateway that has restarted demands nothing in its former life, but what it
  // sent before still counts until the loans lapse.
  #endDemand(id: string): void {
    const borrower = this.#borrowers.get(id);
    for (const workspace of borrower?.workspaces ?? []) {
      const loans = this.#loans.get(workspace)!;
      const loan = loans.get(id)!;
      loan.demand = 0;
      loans.changed();
    }
  }

  #dropAppliedAnswers(
    id: string,
    borrower: Borrower,
    { number, isWhole }: QuotaReport,
  ): void {
    for (const workspace of borrower.workspaces) {
      const loans = this.#loans.get(workspace)!;
      const loan = loans.get(id)!;
      if (loan.answers.length === 0) continue;
      // After a whole report, a gateway applies no answer to an older one.
      const last = isWhole ? number - 1 : borrower.applied;
      loan.answers = loan.answers.filter((answer) => answer.number > last);
      loans.changed();
    }
  }

  #recordRow(
    { id, borrower, workspace, held, demand }: {
      readonly id: string;
      readonly borrower: Borrower;
      readonly workspace: string;
      readonly held: number;
      readonly demand: number;
    },
    { isFirst, isWhole }: {
      readonly isFirst: boolean;
      readonly isWhole: boolean;
    },
  ): void {
    const loans = this.#loansOf(workspace);
    const loan = loans.get(id) ?? { held: 0, demand: 0, answers: [] };
    const before = outstandingOf(loan);
    if (!this.#isSettled) {
      // Another leader may have lent out what a gateway gave up while it was in
      // contact with that one.
      if (isFirst) loans.unknown = Math.max(0, loans.unknown - held);
      else if (isWhole) loans.unknown += Math.max(0, before - held);
    }
    this.#changed.add(workspace);
    if (held === 0 && demand === 0 && loan.answers.length === 0) {
      return this.#removeLoan(id, borrower, workspace);
    }
    borrower.workspaces.add(workspace);
    loans.set(id, { ...loan, held, demand });
  }

  #clearMissing(
    id: string,
    borrower: Borrower,
    { rows }: QuotaReport,
  ): void {
    const reported = new Set(rows.map(([workspace]) => workspace));
    for (const workspace of [...borrower.workspaces]) {
      if (reported.has(workspace)) continue;
      this.#recordRow({ id, borrower, workspace, held: 0, demand: 0 }, {
        isFirst: false,
        isWhole: true,
      });
    }
  }

  #answerRow(
    id: string,
    workspace: string,
    number: number,
  ): QuotaAnswerRow | undefined {
    const loans = this.#loansOf(workspace);
    const loan = loans.get(id)!;
    const allowance = this.#bounds.limit({
      id,
      workspace,
      allowance: loans.allowanceFor(id, this.#newest.size),
      demand: loan.demand,
      total: loans.total,
    });
    const newest = loan.answers.at(-1)?.allowance ?? loan.held;
    if (allowance === loan.held && newest === loan.held) return undefined;
    loan.answers = recordAnswer(loan.answers, { number, allowance });
    loans.changed();
    return [workspace, allowance];
  }

  #removeLoan(id: string, borrower: Borrower, workspace: string): void {
    const loans = this.#loans.get(workspace);
    borrower.workspaces.delete(workspace);
    if (!loans) return;
    loans.delete(id);
    this.#changed.add(workspace);
    // What may be lent by a former leader has to be remembered.
    if (loans.size === 0 && this.#isSettled) this.#loans.delete(workspace);
  }

  #loansOf(workspace: string): WorkspaceLoans {
    const total = this.#total(workspace);
    let loans = this.#loans.get(workspace);
    if (!loans) {
      loans = new WorkspaceLoans(
        total,
        this.#isSettled ? 0 : this.#options.lentBefore(workspace),
      );
      this.#loans.set(workspace, loans);
    }
    loans.total = total;
    if (!this.#isSettled) {
      loans.unknownLimit = this.#bounds.unknown(workspace, {
        total: this.#options.lentBefore(workspace),
        borrowers: this.#unconfirmed,
        known: (id) => this.#outstandingOf(id, workspace),
      });
    }
    return loans;
  }

  #outstandingOf(id: string, workspace: string): number {
    const loan = this.#loans.get(workspace)?.get(id);
    return loan ? outstandingOf(loan) : 0;
  }

  // A gateway needs no allowance for a workspace without a limit.
  #total(workspace: string): number {
    const total = this.#options.total(workspace);
    return Number.isFinite(total) ? total : 0;
  }
}

function rememberAnswered({ answered }: Borrower, number: number): void {
  answered.add(number);
  for (const oldest of answered) {
    if (answered.size <= maximumAnswered) break;
    answered.delete(oldest);
  }
}

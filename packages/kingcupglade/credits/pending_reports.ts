import type { CreditReport } from "@kingcupglade/routing";
import type { Clock } from "@kingcupglade/tasks";

/** Time after which a report is answered even if no credits are free. */
const maximumWaitMilliseconds = 1000;

/** Options of {@link PendingReports}. */
export interface PendingReportsOptions {
  readonly clock: Clock;
  /** Recomputes the credits for a report; null when it is outdated. */
  readonly reevaluate: (
    report: CreditReport,
    credits: readonly number[],
  ) => readonly number[] | null;
}

interface PendingReport {
  readonly report: CreditReport;
  readonly since: number;
  credits: readonly number[];
  readonly answer: (credits: readonly number[]) => void;
}

/** Delays the answers to reports on one shard until credits are free. */
export class PendingReports {
  readonly #options: PendingReportsOptions;
  readonly #pending = new Set<PendingReport>();

  constructor(options: PendingReportsOptions) {
    this.#options = options;
  }

  /** Resolves with the credits when more are free, or after a timeout. */
  wait(
    report: CreditReport,
    credits: readonly number[],
  ): Promise<readonly number[]> {
    const since = this.#options.clock.now();
    return new Promise((answer) =>
      this.#pending.add({ report, since, credits, answer })
    );
  }

  /** Answers the reports on the given targets that can now be satisfied. */
  reevaluateFor(targets: readonly string[]): void {
    if (this.#pending.size === 0) return;
    const freed = new Set(targets);
    for (const each of this.#pending) {
      if (each.report.targets.some(({ target }) => freed.has(target))) {
        this.#reevaluate(each);
      }
    }
  }

  /** Answers reports that can now be satisfied or have waited too long. */
  sweep(): void {
    const now = this.#options.clock.now();
    for (const each of this.#pending) {
      this.#reevaluate(each);
      if (now - each.since >= maximumWaitMilliseconds) this.#respond(each);
    }
  }

  #reevaluate(pending: PendingReport): void {
    const credits = this.#options.reevaluate(pending.report, pending.credits);
    if (!credits) return this.#respond(pending);
    pending.credits = credits;
    if (!isUnsatisfied(pending.report, credits)) this.#respond(pending);
  }

  #respond(pending: PendingReport): void {
    if (this.#pending.delete(pending)) pending.answer(pending.credits);
  }
}

/** Whether a report wants more credits for each target and gained none. */
export function isUnsatisfied(
  report: CreditReport,
  credits: readonly number[],
): boolean {
  return report.targets.length > 0 &&
    report.targets.every(({ held, wanted }, index) =>
      wanted > held && credits[index]! <= held
    );
}

import type { CreditReport } from "@kingcupglade/routing";
import type { Clock } from "@kingcupglade/tasks";

/** Time after which a report is answered although its wish was not met. */
const longestWaitMilliseconds = 1000;

/** Options of {@link UnmetReports}. */
export interface UnmetReportsOptions {
  readonly clock: Clock;
  /** Answers a report anew; null when it is out of date. */
  readonly reconsider: (
    report: CreditReport,
    credits: readonly number[],
  ) => readonly number[] | null;
}

interface UnmetReport {
  readonly report: CreditReport;
  readonly since: number;
  credits: readonly number[];
  readonly answer: (credits: readonly number[]) => void;
}

/** Reports of one shard that are answered as soon as credits are free. */
export class UnmetReports {
  readonly #options: UnmetReportsOptions;
  readonly #waiting = new Set<UnmetReport>();

  constructor(options: UnmetReportsOptions) {
    this.#options = options;
  }

  /** Resolves with the credits when there are more, or after a while. */
  wait(
    report: CreditReport,
    credits: readonly number[],
  ): Promise<readonly number[]> {
    const since = this.#options.clock.now();
    return new Promise((answer) =>
      this.#waiting.add({ report, since, credits, answer })
    );
  }

  /** Answers those reports on some targets that can be met by now. */
  wake(targets: readonly string[]): void {
    if (this.#waiting.size === 0) return;
    const freed = new Set(targets);
    for (const each of this.#waiting) {
      if (each.report.targets.some(({ target }) => freed.has(target))) {
        this.#reconsider(each);
      }
    }
  }

  /** Answers those that can be met by now, and those that waited too long. */
  sweep(): void {
    const now = this.#options.clock.now();
    for (const each of this.#waiting) {
      this.#reconsider(each);
      if (now - each.since >= longestWaitMilliseconds) this.#answer(each);
    }
  }

  #reconsider(unmet: UnmetReport): void {
    const credits = this.#options.reconsider(unmet.report, unmet.credits);
    if (!credits) return this.#answer(unmet);
    unmet.credits = credits;
    if (!isUnmet(unmet.report, credits)) this.#answer(unmet);
  }

  #answer(unmet: UnmetReport): void {
    if (this.#waiting.delete(unmet)) unmet.answer(unmet.credits);
  }
}

/** Whether a report got nothing of what it wished for beyond what it holds. */
export function isUnmet(
  report: CreditReport,
  credits: readonly number[],
): boolean {
  return report.targets.length > 0 &&
    report.targets.every(({ held, wanted }, index) =>
      wanted > held && credits[index]! <= held
    );
}

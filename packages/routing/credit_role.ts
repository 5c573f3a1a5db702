import {
  askForCredits,
  describeCreditTarget,
  dropLapsed,
  endHolding,
  hasRoom,
  mostCreditsPerVm,
  openCreditBook,
  outstanding,
  recallsOf,
  reserveForLostVm,
} from "./credit_book.ts";
import type { CreditAsk, CreditBook, CreditTarget } from "./credit_book.ts";

/** Times that holders and VMs count with. */
export interface CreditTimes {
  /** Credits last this long from the moment that the VM asked for them. */
  readonly leaseMilliseconds: number;
  /**
   * Longest time that a request sent under a credit can go on, and no less
   * than the routing lease: an earlier holder may grant for that long.
   */
  readonly requestMilliseconds: number;
}

/** A report of a VM on the targets of one shard. */
export interface CreditReport {
  /** The VM and its start, so that a restarted VM is another one. */
  readonly vm: string;
  readonly sequence: number;
  readonly targets: readonly (Omit<CreditAsk, "vm"> & {
    readonly target: string;
  })[];
}

/** A target and the VMs that should report on it now. */
export interface CreditRecall {
  readonly target: string;
  readonly vms: readonly string[];
  /** More is outstanding than the target bears. */
  readonly overLimit: boolean;
}

/**
 * The decisions of a credit holder for one shard at one epoch, without clock
 * or sockets. A new holder grants a VM no more than the VM says it holds until
 * every VM has reported or all credits of the earlier holder have lapsed.
 */
export class CreditRole {
  readonly #startedAt: number;
  readonly #watchedSince: number;
  readonly #losses: number[];
  readonly #books = new Map<string, CreditBook>();
  /** Number of the last report of each VM on each target. */
  readonly #sequences = new Map<string, Map<string, number>>();
  /** Targets that an earlier holder cannot have served. */
  readonly #newTargets = new Set<string>();
  #times: CreditTimes;
  #vms: ReadonlySet<string> = new Set();
  #settled = false;

  constructor(
    times: CreditTimes,
    options: {
      readonly startedAt: number;
      /** Since when the holder knows of each VM that was lost. */
      readonly watchedSince: number;
      /** When VMs were lost that an earlier holder may have granted credits. */
      readonly losses: readonly number[];
    },
  ) {
    this.#times = times;
    this.#startedAt = options.startedAt;
    this.#watchedSince = options.watchedSince;
    this.#losses = [...options.losses];
  }

  /** The books by target. */
  get books(): ReadonlyMap<string, CreditBook> {
    return this.#books;
  }

  /** Takes over the targets of the shard and the VMs of the routing table. */
  describe(
    table: {
      readonly targets: readonly CreditTarget[];
      readonly vms: ReadonlySet<string>;
      readonly times: CreditTimes;
    },
    now: number,
  ): void {
    const first = this.#vms.size === 0;
    for (const vm of this.#vms) {
      if (!table.vms.has(vm)) this.#end(vm, now);
    }
    this.#describeTargets(table.targets, { first, now });
    this.#vms = table.vms;
    this.#times = table.times;
  }

  /**
   * Credits for each target of a report; null when the VM is not in the table.
   * What is said of a target is ignored after a later report on it.
   */
  report(report: CreditReport, now: number): readonly number[] | null {
    if (!this.#vms.has(report.vm)) return null;
    const sequences = this.#sequences.get(report.vm) ?? new Map();
    this.#sequences.set(report.vm, sequences);
    return report.targets.map((ask) => {
      if (report.sequence <= (sequences.get(ask.target) ?? 0)) return 0;
      sequences.set(ask.target, report.sequence);
      return this.#answer({ ...ask, vm: report.vm }, now);
    });
  }

  #answer(ask: CreditAsk & { readonly target: string }, now: number): number {
    const book = this.#books.get(ask.target);
    if (!book) return 0;
    const { leaseMilliseconds, requestMilliseconds } = this.#times;
    const answer = askForCredits(book, ask, {
      now,
      lapsesAt: now + leaseMilliseconds + requestMilliseconds,
      mayGrow: this.#mayGrow(ask.target, now),
      mostPerVm: mostCreditsPerVm(book.target, { vms: this.#vms.size }),
    });
    this.#books.set(ask.target, answer.book);
    return answer.credits;
  }

  /** Takes in what a VM gave up when it was asked to; nothing is granted. */
  giveUp(report: CreditReport, now: number): void {
    const targets = report.targets.map((each) => ({
      ...each,
      wanted: Math.min(each.wanted, each.held),
    }));
    this.report({ ...report, targets }, now);
  }

  /**
   * Answers a report anew after others gave up credits; null when the VM has
   * reported on one of its targets since. While nothing is free, the answer is
   * the one before.
   */
  reconsider(
    report: CreditReport,
    context: { readonly credits: readonly number[]; readonly now: number },
  ): readonly number[] | null {
    const { credits, now } = context;
    const sequences = this.#sequences.get(report.vm);
    const isLatest = sequences !== undefined &&
      report.targets.every(({ target }) =>
        sequences.get(target) === report.sequence
      );
    if (!isLatest) return null;
    if (!this.#hasRoom(report, now)) return credits;
    return report.targets.map((each) =>
      this.#answer(
        { ...each, vm: report.vm, answered: 0, coldBoot: "" },
        now,
      )
    );
  }

  #hasRoom(report: CreditReport, now: number): boolean {
    return report.targets.some(({ target }) => {
      const book = this.#books.get(target);
      return book !== undefined && hasRoom(book, now);
    });
  }

  /** The VMs that should report at once, for the targets named or for all. */
  recalls(
    now: number,
    targets: Iterable<string> = this.#books.keys(),
  ): readonly CreditRecall[] {
    const recalls: CreditRecall[] = [];
    for (const target of targets) {
      const book = this.#books.get(target);
      if (!book || book.holdings.size === 0) continue;
      if (!this.#mayGrow(target, now)) continue;
      const recall = recallsOf(book, now);
      this.#books.set(target, recall.book);
      const overLimit = outstanding(recall.book) > book.limit;
      if (recall.vms.length > 0) {
        recalls.push({ target, vms: recall.vms, overLimit });
      }
    }
    return recalls;
  }

  // A target may come back while VMs hold credits of its earlier start.
  #describeTargets(
    targets: readonly CreditTarget[],
    context: { readonly first: boolean; readonly now: number },
  ): void {
    const { first, now } = context;
    const named = new Set(targets.map((each) => each.target));
    for (const [target, book] of this.#books) {
      const unused = dropLapsed(book, now).holdings.size === 0;
      if (named.has(target) || !unused) continue;
      this.#books.delete(target);
      this.#newTargets.delete(target);
    }
    for (const target of targets) {
      const book = this.#books.get(target.target);
      if (!book && !first) this.#newTargets.add(target.target);
      this.#books.set(
        target.target,
        book
          ? describeCreditTarget(book, target)
          : this.#open(target, { started: !first }),
      );
    }
  }

  #open(
    target: CreditTarget,
    options: { readonly started: boolean },
  ): CreditBook {
    const book = openCreditBook(target, options);
    if (options.started) return book;
    return this.#losses.reduce(
      (reserved, lostAt, index) =>
        reserveForLostVm(reserved, { id: `lost-${index}`, lostAt }),
      book,
    );
  }

  // What a VM holds is not known before it has reported.
  #end(vm: string, now: number): void {
    const hasReported = this.#sequences.delete(vm);
    const lapsesAt = now + this.#times.requestMilliseconds;
    for (const [target, book] of this.#books) {
      this.#books.set(
        target,
        hasReported || this.#settled
          ? endHolding(book, vm, lapsesAt)
          : reserveForLostVm(book, { id: vm, lostAt: now }),
      );
    }
  }

  #mayGrow(target: string, now: number): boolean {
    return this.isSettled(now) ||
      (this.#newTargets.has(target) && this.#everyVmReported());
  }

  /** Whether nothing that an earlier holder granted can still be in use. */
  isSettled(now: number): boolean {
    if (this.#settled) return true;
    const { leaseMilliseconds, requestMilliseconds } = this.#times;
    const longest = leaseMilliseconds + 2 * requestMilliseconds;
    this.#settled = now - this.#startedAt >= longest ||
      (now - this.#watchedSince >= requestMilliseconds &&
        this.#everyVmReported());
    return this.#settled;
  }

  #everyVmReported(): boolean {
    return this.#vms.size > 0 &&
      [...this.#vms].every((vm) => this.#sequences.has(vm));
  }
}

import {
  allocateCredits,
  createCreditPool,
  dropLapsed,
  hasFreeCredits,
  maximumCreditsPerVm,
  outstanding,
  reserveForLostVm,
  selectRecalls,
  shortenHolding,
  updateCreditTarget,
} from "./credit_pool.ts";
import type {
  CreditPool,
  CreditTarget,
  TargetCreditReport,
} from "./credit_pool.ts";

/** Time limits shared by holders of shards and VMs that use their credits. */
export interface CreditTimes {
  /** Term of credits, counted from the time of the VM's report. */
  readonly leaseMilliseconds: number;
  /**
   * Maximum duration of a request sent under a credit, and at least the routing
   * lease, because an earlier holder may grant credits for that long.
   */
  readonly requestMilliseconds: number;
}

/** A VM's report on the targets of one shard. */
export interface CreditReport {
  /** VM and its incarnation, so that a restarted VM counts as another one. */
  readonly vm: string;
  /** Increases with each report of the VM. */
  readonly sequence: number;
  readonly targets: readonly (Omit<TargetCreditReport, "vm"> & {
    readonly target: string;
  })[];
}

/** A target and the VMs that should report on it now. */
export interface CreditRecall {
  readonly target: string;
  readonly vms: readonly string[];
  /** Whether more credits are outstanding than the target's current limit. */
  readonly isOverLimit: boolean;
}

/**
 * Allocates the credits of one shard in one epoch, on behalf of the shard's
 * holder and without clock or network I/O. A new holder grants a VM no more than
 * the VM reports to hold until every VM has reported or all credits of the
 * earlier holder have lapsed.
 */
export class CreditAllocator {
  readonly #startedAt: number;
  readonly #watchedSince: number;
  readonly #losses: number[];
  readonly #pools = new Map<string, CreditPool>();
  /** Sequence number of the last report of each VM on each target. */
  readonly #sequences = new Map<string, Map<string, number>>();
  /** Targets for which an earlier holder cannot have granted credits. */
  readonly #newTargets = new Set<string>();
  #times: CreditTimes;
  #vms: ReadonlySet<string> = new Set();
  #settled = false;

  constructor(
    times: CreditTimes,
    options: {
      readonly startedAt: number;
      /** Time since which the holder has observed every loss of a VM. */
      readonly watchedSince: number;
      /**
       * Times at which VMs were lost to which an earlier holder may have granted
       * credits.
       */
      readonly losses: readonly number[];
    },
  ) {
    this.#times = times;
    this.#startedAt = options.startedAt;
    this.#watchedSince = options.watchedSince;
    this.#losses = [...options.losses];
  }

  get pools(): ReadonlyMap<string, CreditPool> {
    return this.#pools;
  }

  /** Applies the targets of the shard and the VMs from the routing table. */
  update(
    table: {
      readonly targets: readonly CreditTarget[];
      readonly vms: ReadonlySet<string>;
      readonly times: CreditTimes;
    },
    now: number,
  ): void {
    const first = this.#vms.size === 0;
    for (const vm of this.#vms) {
      if (!table.vms.has(vm)) this.#removeVm(vm, now);
    }
    this.#updateTargets(table.targets, { first, now });
    this.#vms = table.vms;
    this.#times = table.times;
  }

  /**
   * Returns the credits for each target of a report, or null if the VM is not
   * in the table. Entries for targets that a later report has covered are
   * ignored.
   */
  report(report: CreditReport, now: number): readonly number[] | null {
    if (!this.#vms.has(report.vm)) return null;
    const sequences = this.#sequences.get(report.vm) ?? new Map();
    this.#sequences.set(report.vm, sequences);
    return report.targets.map((target) => {
      if (report.sequence <= (sequences.get(target.target) ?? 0)) return 0;
      sequences.set(target.target, report.sequence);
      return this.#allocate({ ...target, vm: report.vm }, now);
    });
  }

  #allocate(
    target: TargetCreditReport & { readonly target: string },
    now: number,
  ): number {
    const pool = this.#pools.get(target.target);
    if (!pool) return 0;
    const { leaseMilliseconds, requestMilliseconds } = this.#times;
    const allocation = allocateCredits(pool, target, {
      now,
      lapsesAt: now + leaseMilliseconds + requestMilliseconds,
      mayGrow: this.#mayGrow(target.target, now),
      maximumPerVm: maximumCreditsPerVm(pool.target, { vms: this.#vms.size }),
    });
    this.#pools.set(target.target, allocation.pool);
    return allocation.credits;
  }

  /** Processes the credits that a VM returns after a recall; grants nothing. */
  returnCredits(report: CreditReport, now: number): void {
    const targets = report.targets.map((each) => ({
      ...each,
      wanted: Math.min(each.wanted, each.held),
    }));
    this.report({ ...report, targets }, now);
  }

  /**
   * Recomputes the response to a report after other VMs returned credits.
   * Returns null if the VM has since reported on one of its targets, and the
   * previous response while no credits are free.
   */
  reevaluate(
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
    if (!this.#hasFreeCredits(report, now)) return credits;
    return report.targets.map((each) =>
      this.#allocate(
        { ...each, vm: report.vm, answered: 0, coldBoot: "" },
        now,
      )
    );
  }

  #hasFreeCredits(report: CreditReport, now: number): boolean {
    return report.targets.some(({ target }) => {
      const pool = this.#pools.get(target);
      return pool !== undefined && hasFreeCredits(pool, now);
    });
  }

  /** Returns the VMs that should report now, for some targets or for all. */
  selectRecalls(
    now: number,
    targets: Iterable<string> = this.#pools.keys(),
  ): readonly CreditRecall[] {
    const recalls: CreditRecall[] = [];
    for (const target of targets) {
      const pool = this.#pools.get(target);
      if (!pool || pool.holdings.size === 0) continue;
      if (!this.#mayGrow(target, now)) continue;
      const recall = selectRecalls(pool, now);
      this.#pools.set(target, recall.pool);
      const isOverLimit = outstanding(recall.pool) > pool.limit;
      if (recall.vms.length > 0) {
        recalls.push({ target, vms: recall.vms, isOverLimit });
      }
    }
    return recalls;
  }

  // A target may return while VMs hold credits of its earlier incarnation.
  #updateTargets(
    targets: readonly CreditTarget[],
    context: { readonly first: boolean; readonly now: number },
  ): void {
    const { first, now } = context;
    const named = new Set(targets.map((each) => each.target));
    for (const [target, pool] of this.#pools) {
      const isUnused = dropLapsed(pool, now).holdings.size === 0;
      if (named.has(target) || !isUnused) continue;
      this.#pools.delete(target);
      this.#newTargets.delete(target);
    }
    for (const target of targets) {
      const pool = this.#pools.get(target.target);
      if (!pool && !first) this.#newTargets.add(target.target);
      this.#pools.set(
        target.target,
        pool
          ? updateCreditTarget(pool, target)
          : this.#createPool(target, { hasJustStarted: !first }),
      );
    }
  }

  #createPool(
    target: CreditTarget,
    options: { readonly hasJustStarted: boolean },
  ): CreditPool {
    const pool = createCreditPool(target, options);
    if (options.hasJustStarted) return pool;
    return this.#losses.reduce(
      (reserved, lostAt, index) =>
        reserveForLostVm(reserved, { id: `lost-${index}`, lostAt }),
      pool,
    );
  }

  // The credits of a VM are unknown until it has reported.
  #removeVm(vm: string, now: number): void {
    const hasReported = this.#sequences.delete(vm);
    const lapsesAt = now + this.#times.requestMilliseconds;
    for (const [target, pool] of this.#pools) {
      this.#pools.set(
        target,
        hasReported || this.#settled
          ? shortenHolding(pool, vm, lapsesAt)
          : reserveForLostVm(pool, { id: vm, lostAt: now }),
      );
    }
  }

  #mayGrow(target: string, now: number): boolean {
    return this.isSettled(now) ||
      (this.#newTargets.has(target) && this.#everyVmReported());
  }

  /** Returns whether all credits granted by an earlier holder have ended. */
  isSettled(now: number): boolean {
    if (this.#settled) return true;
    const { leaseMilliseconds, requestMilliseconds } = this.#times;
    const longestMilliseconds = leaseMilliseconds + 2 * requestMilliseconds;
    this.#settled = now - this.#startedAt >= longestMilliseconds ||
      (now - this.#watchedSince >= requestMilliseconds &&
        this.#everyVmReported());
    return this.#settled;
  }

  #everyVmReported(): boolean {
    return this.#vms.size > 0 &&
      [...this.#vms].every((vm) => this.#sequences.has(vm));
  }
}

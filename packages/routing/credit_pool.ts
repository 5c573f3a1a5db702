/** Properties of a target from the routing table. */
export interface CreditTarget {
  readonly target: string;
  readonly boot: string;
  readonly slots: number;
  readonly coldSlots: number;
  /** Whether the target has announced that it is cold. */
  readonly cold: boolean;
  /** Maximum duration of a request to the target. */
  readonly requestMilliseconds: number;
}

/** Credits of one VM for one target. */
interface Holding {
  /** Credits that the VM may be using. */
  readonly amount: number;
  readonly wanted: number;
  /** Time by which the VM has certainly stopped using the credits. */
  readonly lapsesAt: number;
  /** When the VM last got credits after holding none; determines turns. */
  readonly servedAt: number;
  /** Time of the VM's last report. */
  readonly reportedAt: number;
  /** Time at which the VM was last requested to report. */
  readonly recalledAt: number;
}

/** Credits of one target, granted by the holder of its shard. */
export interface CreditPool {
  readonly target: CreditTarget;
  /** Maximum number of outstanding credits. */
  readonly limit: number;
  /** Requests answered since the limit last changed. */
  readonly answered: number;
  /** Answers required per credit of the limit before it grows by one. */
  readonly answersPerCredit: number;
  readonly holdings: ReadonlyMap<string, Holding>;
}

/** A VM's report on one target. */
export interface TargetCreditReport {
  readonly vm: string;
  /** The maximum of the VM's credits and its requests in progress. */
  readonly held: number;
  /** The VM's credits that have not lapsed. */
  readonly credits: number;
  readonly wanted: number;
  /** Requests answered since the VM's last report. */
  readonly answered: number;
  /** Incarnation of the target that showed signs of being cold, or "". */
  readonly coldBoot: string;
}

/** The response to a {@link TargetCreditReport}. */
export interface CreditAllocation {
  readonly pool: CreditPool;
  readonly credits: number;
}

/** Value of {@link CreditPool.answersPerCredit} until a target seems cold. */
const initialAnswersPerCredit = 2;
/** Value after the first sign of a cold target; each further sign doubles it. */
const answersPerCreditAfterShedding = 16;
const maximumAnswersPerCredit = 256;
/** How long a VM that got credits keeps its turn before the next VM's. */
const turnMilliseconds = 50;
/** Minimum time between two recalls of the same VM. */
const recallIntervalMilliseconds = 25;

/** Creates a pool, at the cold limit if the target is cold or just started. */
export function createCreditPool(
  target: CreditTarget,
  options: { readonly hasJustStarted: boolean },
): CreditPool {
  return {
    target,
    limit: options.hasJustStarted || target.cold
      ? coldLimit(target)
      : target.slots,
    answered: 0,
    answersPerCredit: initialAnswersPerCredit,
    holdings: new Map(),
  };
}

/** Applies a change of the target in the routing table. */
export function updateCreditTarget(
  pool: CreditPool,
  target: CreditTarget,
): CreditPool {
  const hasRestarted = target.boot !== pool.target.boot;
  if (hasRestarted || target.cold) {
    const hasJustBecomeCold = hasRestarted || !pool.target.cold;
    return {
      ...pool,
      target,
      limit: coldLimit(target),
      answered: 0,
      answersPerCredit: hasJustBecomeCold
        ? initialAnswersPerCredit
        : pool.answersPerCredit,
    };
  }
  return { ...pool, target, limit: Math.min(pool.limit, target.slots) };
}

/** Processes a report; never raises the outstanding credits above the limit. */
export function allocateCredits(
  pool: CreditPool,
  report: TargetCreditReport,
  context: {
    readonly now: number;
    /** Time by which the VM has stopped using the credits granted now. */
    readonly lapsesAt: number;
    /** False while credits of an earlier holder may be outstanding. */
    readonly mayGrow: boolean;
    /** Maximum number of credits that one VM may hold. */
    readonly maximumPerVm: number;
  },
): CreditAllocation {
  const { now, lapsesAt, mayGrow, maximumPerVm } = context;
  const adjusted = adjustLimit(dropLapsed(pool, now), report);
  const before = adjusted.holdings.get(report.vm);
  const holdings = new Map(adjusted.holdings);
  const wanted = Math.min(report.wanted, adjusted.target.slots, maximumPerVm);
  holdings.set(report.vm, {
    amount: report.held,
    wanted,
    lapsesAt,
    servedAt: before?.servedAt ?? -Infinity,
    reportedAt: now,
    recalledAt: -Infinity,
  });
  const updated = { ...adjusted, holdings };
  const free = adjusted.limit - outstanding(updated) + report.held;
  const share = fairShares(updated, now).get(report.vm) ?? 0;
  const credits = Math.max(
    0,
    Math.min(share, free, mayGrow ? Infinity : report.credits),
  );
  const amount = Math.max(report.held, credits);
  if (amount === 0 && wanted === 0) holdings.delete(report.vm);
  else {
    const isFirstGrant = credits > 0 && (before?.amount ?? 0) === 0;
    holdings.set(report.vm, {
      ...holdings.get(report.vm)!,
      amount,
      servedAt: isFirstGrant ? now : before?.servedAt ?? -Infinity,
    });
  }
  return { pool: updated, credits };
}

/** Shortens the term of the credits of a VM that left the routing table. */
export function shortenHolding(
  pool: CreditPool,
  vm: string,
  lapsesAt: number,
): CreditPool {
  const holding = pool.holdings.get(vm);
  if (!holding || holding.lapsesAt <= lapsesAt) return pool;
  const holdings = new Map(pool.holdings);
  holdings.set(vm, { ...holding, wanted: 0, lapsesAt });
  return { ...pool, holdings };
}

/** Reserves what a lost VM may have been granted by an earlier holder. */
export function reserveForLostVm(
  pool: CreditPool,
  lost: { readonly id: string; readonly lostAt: number },
): CreditPool {
  const holdings = new Map(pool.holdings);
  holdings.set(lost.id, {
    amount: maximumCreditsPerVm(pool.target, { vms: 2 }),
    wanted: 0,
    lapsesAt: lost.lostAt + pool.target.requestMilliseconds,
    servedAt: -Infinity,
    reportedAt: -Infinity,
    recalledAt: Infinity,
  });
  return { ...pool, holdings };
}

/**
 * Returns the maximum number of credits of one VM. The rest of a target's slots
 * can be granted immediately if a VM is lost together with the holder's record
 * of its credits.
 */
export function maximumCreditsPerVm(
  target: Pick<CreditTarget, "slots">,
  options: { readonly vms: number },
): number {
  return options.vms > 1 ? Math.ceil(target.slots / 2) : target.slots;
}

/**
 * Returns the VMs that should report, to get free credits or return idle ones,
 * and records the recall.
 */
export function selectRecalls(
  pool: CreditPool,
  now: number,
): { readonly pool: CreditPool; readonly vms: readonly string[] } {
  const current = dropLapsed(pool, now);
  const free = current.limit - outstanding(current);
  let missing = -free;
  for (const { wanted, amount } of current.holdings.values()) {
    missing += Math.max(0, wanted - amount);
  }
  if (missing <= 0) return { pool: current, vms: [] };
  const vms = free > 0
    ? underservedVms(current, now)
    : recallOrder(current, now).slice(0, missing + 1);
  const holdings = new Map(current.holdings);
  for (const vm of vms) {
    holdings.set(vm, { ...holdings.get(vm)!, recalledAt: now });
  }
  return { pool: { ...current, holdings }, vms };
}

function underservedVms(pool: CreditPool, now: number): readonly string[] {
  const shares = fairShares(pool, now);
  return [...pool.holdings].filter(([vm, holding]) =>
    (shares.get(vm) ?? 0) > holding.amount && mayRecall(holding, now)
  ).map(([vm]) => vm);
}

/**
 * Returns the VMs with credits, those that do not want more first, and among
 * them the one that reported longest ago first.
 */
function recallOrder(pool: CreditPool, now: number): readonly string[] {
  const wantsMore = ({ wanted, amount }: Holding) => Number(wanted > amount);
  return [...pool.holdings]
    .filter(([, holding]) => holding.amount > 0 && mayRecall(holding, now))
    .sort(([, left], [, right]) =>
      wantsMore(left) - wantsMore(right) || left.reportedAt - right.reportedAt
    )
    .map(([vm]) => vm);
}

function mayRecall(holding: Holding, now: number): boolean {
  return now - holding.recalledAt >= recallIntervalMilliseconds;
}

/** Returns the number of credits that VMs may be using. */
export function outstanding(pool: CreditPool): number {
  let total = 0;
  for (const holding of pool.holdings.values()) total += holding.amount;
  return total;
}

/** Returns whether any credits are free. */
export function hasFreeCredits(pool: CreditPool, now: number): boolean {
  let free = pool.limit;
  for (const { amount, lapsesAt } of pool.holdings.values()) {
    if (lapsesAt > now) free -= amount;
  }
  return free > 0;
}

function adjustLimit(pool: CreditPool, report: TargetCreditReport): CreditPool {
  if (report.coldBoot !== "" && report.coldBoot === pool.target.boot) {
    return {
      ...pool,
      limit: coldLimit(pool.target),
      answered: 0,
      answersPerCredit: pool.answersPerCredit < answersPerCreditAfterShedding
        ? answersPerCreditAfterShedding
        : Math.min(maximumAnswersPerCredit, pool.answersPerCredit * 2),
    };
  }
  if (pool.target.cold || pool.limit >= pool.target.slots) return pool;
  const answered = pool.answered + report.answered;
  return answered < pool.limit * pool.answersPerCredit
    ? { ...pool, answered }
    : { ...pool, answered: 0, limit: pool.limit + 1 };
}

/** Removes the credits that have lapsed. */
export function dropLapsed(pool: CreditPool, now: number): CreditPool {
  const kept = [...pool.holdings].filter(([, each]) => each.lapsesAt > now);
  if (kept.length === pool.holdings.size) return pool;
  return { ...pool, holdings: new Map(kept) };
}

/**
 * Divides the limit by max-min fairness: no VM gets more than it wants, the
 * smallest demands are met first, and the remainder is assigned in turns.
 */
function fairShares(
  pool: CreditPool,
  now: number,
): ReadonlyMap<string, number> {
  const demands = [...pool.holdings].filter(([, each]) => each.wanted > 0);
  const shares = new Map<string, number>(demands.map(([vm]) => [vm, 0]));
  const ordered = demands.sort((left, right) =>
    turnOrder(left[1], now) - turnOrder(right[1], now)
  );
  let remaining = pool.limit;
  let unmet = ordered;
  while (remaining > 0 && unmet.length > 0) {
    const portion = Math.max(1, Math.floor(remaining / unmet.length));
    for (const [vm, { wanted }] of unmet) {
      const more = Math.min(portion, remaining, wanted - shares.get(vm)!);
      shares.set(vm, shares.get(vm)! + more);
      remaining -= more;
    }
    unmet = unmet.filter(([vm, { wanted }]) => shares.get(vm)! < wanted);
  }
  return shares;
}

// A VM keeps its turn for a while; then the VM that was served longest ago is
// next.
function turnOrder(holding: Holding, now: number): number {
  const isInTurn = holding.amount > 0 &&
    now - holding.servedAt < turnMilliseconds;
  return isInTurn ? -Infinity : holding.servedAt;
}

function coldLimit(target: CreditTarget): number {
  return Math.min(target.coldSlots, target.slots);
}

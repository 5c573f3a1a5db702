/** What the holder knows of a target from the routing table. */
export interface CreditTarget {
  readonly target: string;
  readonly boot: string;
  readonly slots: number;
  readonly coldSlots: number;
  /** Whether the target announces that it is cold. */
  readonly cold: boolean;
  /** Longest time that a request to it can go on. */
  readonly requestMilliseconds: number;
}

/** Credits of one VM for one target. */
interface Holding {
  /** Credits that the VM may be using. */
  readonly amount: number;
  readonly wanted: number;
  /** When the VM has certainly stopped using them. */
  readonly lapsesAt: number;
  /** When its wish was last met after it held nothing; orders the turns. */
  readonly servedAt: number;
  /** When it last reported. */
  readonly reportedAt: number;
  /** When it was last asked to report. */
  readonly recalledAt: number;
}

/** Credits of one target, handed out by the holder of its shard. */
export interface CreditBook {
  readonly target: CreditTarget;
  /** Credits that may be outstanding in total. */
  readonly limit: number;
  /** Requests answered since the limit last changed. */
  readonly answered: number;
  /** Answers for each credit that the limit must see before it grows by one. */
  readonly answersPerCredit: number;
  readonly holdings: ReadonlyMap<string, Holding>;
}

/** A VM's report on one target. */
export interface CreditAsk {
  readonly vm: string;
  /** The larger of its credits and its requests in progress. */
  readonly held: number;
  /** Its credits that have not lapsed. */
  readonly credits: number;
  readonly wanted: number;
  /** Requests answered since its last report. */
  readonly answered: number;
  /** Start of the target that showed signs of coldness, or "". */
  readonly coldBoot: string;
}

/** The answer to a {@link CreditAsk}. */
export interface CreditAnswer {
  readonly book: CreditBook;
  readonly credits: number;
}

const firstAnswersPerCredit = 2;
const answersPerCreditAfterShedding = 16;
const maximumAnswersPerCredit = 256;
const turnMilliseconds = 50;
const recallAgainMilliseconds = 25;

/** Opens a book; a target that just started begins at what it bears cold. */
export function openCreditBook(
  target: CreditTarget,
  options: { readonly started: boolean },
): CreditBook {
  return {
    target,
    limit: options.started || target.cold ? coldLimit(target) : target.slots,
    answered: 0,
    answersPerCredit: firstAnswersPerCredit,
    holdings: new Map(),
  };
}

/** Takes over what the routing table says of the target. */
export function describeCreditTarget(
  book: CreditBook,
  target: CreditTarget,
): CreditBook {
  const started = target.boot !== book.target.boot;
  if (started || target.cold) {
    const fresh = started || !book.target.cold;
    return {
      ...book,
      target,
      limit: coldLimit(target),
      answered: 0,
      answersPerCredit: fresh ? firstAnswersPerCredit : book.answersPerCredit,
    };
  }
  return { ...book, target, limit: Math.min(book.limit, target.slots) };
}

/** Answers a report. The credits outstanding never grow above the limit. */
export function askForCredits(
  book: CreditBook,
  ask: CreditAsk,
  context: {
    readonly now: number;
    /** When the VM has stopped using what it is granted now. */
    readonly lapsesAt: number;
    /** False while credits of an earlier holder may be outstanding. */
    readonly mayGrow: boolean;
    /** Most that one VM may hold. */
    readonly mostPerVm: number;
  },
): CreditAnswer {
  const { now, lapsesAt, mayGrow, mostPerVm } = context;
  const learned = learn(dropLapsed(book, now), ask);
  const before = learned.holdings.get(ask.vm);
  const holdings = new Map(learned.holdings);
  const wanted = Math.min(ask.wanted, learned.target.slots, mostPerVm);
  holdings.set(ask.vm, {
    amount: ask.held,
    wanted,
    lapsesAt,
    servedAt: before?.servedAt ?? -Infinity,
    reportedAt: now,
    recalledAt: -Infinity,
  });
  const asked = { ...learned, holdings };
  const room = learned.limit - outstanding(asked) + ask.held;
  const share = fairShares(asked, now).get(ask.vm) ?? 0;
  const credits = Math.max(
    0,
    Math.min(share, room, mayGrow ? Infinity : ask.credits),
  );
  const amount = Math.max(ask.held, credits);
  if (amount === 0 && wanted === 0) holdings.delete(ask.vm);
  else {
    const first = credits > 0 && (before?.amount ?? 0) === 0;
    holdings.set(ask.vm, {
      ...holdings.get(ask.vm)!,
      amount,
      servedAt: first ? now : before?.servedAt ?? -Infinity,
    });
  }
  return { book: asked, credits };
}

/** Shortens the credits of a VM that left the routing table. */
export function endHolding(
  book: CreditBook,
  vm: string,
  lapsesAt: number,
): CreditBook {
  const holding = book.holdings.get(vm);
  if (!holding || holding.lapsesAt <= lapsesAt) return book;
  const holdings = new Map(book.holdings);
  holdings.set(vm, { ...holding, wanted: 0, lapsesAt });
  return { ...book, holdings };
}

/** Counts what a lost VM may have been granted by an earlier holder. */
export function reserveForLostVm(
  book: CreditBook,
  lost: { readonly id: string; readonly lostAt: number },
): CreditBook {
  const holdings = new Map(book.holdings);
  holdings.set(lost.id, {
    amount: mostCreditsPerVm(book.target, { vms: 2 }),
    wanted: 0,
    lapsesAt: lost.lostAt + book.target.requestMilliseconds,
    servedAt: -Infinity,
    reportedAt: -Infinity,
    recalledAt: Infinity,
  });
  return { ...book, holdings };
}

/**
 * Most credits of one VM. The rest of a target's slots can be handed out at
 * once when a VM is lost together with the holder's knowledge of its credits.
 */
export function mostCreditsPerVm(
  target: Pick<CreditTarget, "slots">,
  options: { readonly vms: number },
): number {
  return options.vms > 1 ? Math.ceil(target.slots / 2) : target.slots;
}

/**
 * VMs that should report now: to get credits that are free, or to give up
 * those that they do not use while others wait.
 */
export function recallsOf(
  book: CreditBook,
  now: number,
): { readonly book: CreditBook; readonly vms: readonly string[] } {
  const current = dropLapsed(book, now);
  const room = current.limit - outstanding(current);
  let missing = -room;
  for (const { wanted, amount } of current.holdings.values()) {
    missing += Math.max(0, wanted - amount);
  }
  if (missing <= 0) return { book: current, vms: [] };
  const vms = room > 0
    ? waitingVms(current, now)
    : idleFirst(current, now).slice(0, missing + 1);
  const holdings = new Map(current.holdings);
  for (const vm of vms) {
    holdings.set(vm, { ...holdings.get(vm)!, recalledAt: now });
  }
  return { book: { ...current, holdings }, vms };
}

function waitingVms(book: CreditBook, now: number): readonly string[] {
  const shares = fairShares(book, now);
  return [...book.holdings].filter(([vm, holding]) =>
    (shares.get(vm) ?? 0) > holding.amount && mayRecall(holding, now)
  ).map(([vm]) => vm);
}

/**
 * VMs with credits: those that want no more before the others, and the one that
 * reported longest ago first.
 */
function idleFirst(book: CreditBook, now: number): readonly string[] {
  const wantsMore = ({ wanted, amount }: Holding) => Number(wanted > amount);
  return [...book.holdings]
    .filter(([, holding]) => holding.amount > 0 && mayRecall(holding, now))
    .sort(([, left], [, right]) =>
      wantsMore(left) - wantsMore(right) || left.reportedAt - right.reportedAt
    )
    .map(([vm]) => vm);
}

function mayRecall(holding: Holding, now: number): boolean {
  return now - holding.recalledAt >= recallAgainMilliseconds;
}

/** Credits that VMs may be using. */
export function outstanding(book: CreditBook): number {
  let total = 0;
  for (const holding of book.holdings.values()) total += holding.amount;
  return total;
}

/** Whether credits are free. */
export function hasRoom(book: CreditBook, now: number): boolean {
  let room = book.limit;
  for (const { amount, lapsesAt } of book.holdings.values()) {
    if (lapsesAt > now) room -= amount;
  }
  return room > 0;
}

function learn(book: CreditBook, ask: CreditAsk): CreditBook {
  if (ask.coldBoot !== "" && ask.coldBoot === book.target.boot) {
    return {
      ...book,
      limit: coldLimit(book.target),
      answered: 0,
      answersPerCredit: book.answersPerCredit < answersPerCreditAfterShedding
        ? answersPerCreditAfterShedding
        : Math.min(maximumAnswersPerCredit, book.answersPerCredit * 2),
    };
  }
  if (book.target.cold || book.limit >= book.target.slots) return book;
  const answered = book.answered + ask.answered;
  return answered < book.limit * book.answersPerCredit
    ? { ...book, answered }
    : { ...book, answered: 0, limit: book.limit + 1 };
}

/** Forgets the credits that have lapsed. */
export function dropLapsed(book: CreditBook, now: number): CreditBook {
  const kept = [...book.holdings].filter(([, each]) => each.lapsesAt > now);
  if (kept.length === book.holdings.size) return book;
  return { ...book, holdings: new Map(kept) };
}

/**
 * Divides the limit: nobody gets more than wanted, the smallest wishes are met
 * first, and what cannot be divided evenly goes round by turns.
 */
function fairShares(
  book: CreditBook,
  now: number,
): ReadonlyMap<string, number> {
  const wishes = [...book.holdings].filter(([, each]) => each.wanted > 0);
  const shares = new Map<string, number>(wishes.map(([vm]) => [vm, 0]));
  const ordered = wishes.sort((left, right) =>
    turnOrder(left[1], now) - turnOrder(right[1], now)
  );
  let left = book.limit;
  let unmet = ordered;
  while (left > 0 && unmet.length > 0) {
    const each = Math.max(1, Math.floor(left / unmet.length));
    for (const [vm, { wanted }] of unmet) {
      const more = Math.min(each, left, wanted - shares.get(vm)!);
      shares.set(vm, shares.get(vm)! + more);
      left -= more;
    }
    unmet = unmet.filter(([vm, { wanted }]) => shares.get(vm)! < wanted);
  }
  return shares;
}

// A VM keeps its turn for a while; then the one that waited longest is next.
function turnOrder(holding: Holding, now: number): number {
  const inTurn = holding.amount > 0 &&
    now - holding.servedAt < turnMilliseconds;
  return inTurn ? -Infinity : holding.servedAt;
}

function coldLimit(target: CreditTarget): number {
  return Math.min(target.coldSlots, target.slots);
}

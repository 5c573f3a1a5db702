import { fairShares } from "./fair_shares.ts";

/**
 * Share of the total that the leader keeps for gateways that become short. With
 * it, a sudden move of all callers is served until the first returns arrive.
 */
const reserveShare = 1 / 8;
/**
 * Allowance beyond the demand, as a share of it, so that a demand that rises
 * slowly needs no call.
 */
const headroomShare = 1 / 4;
/** Share of the total that all gateways together may hold without demand. */
const idleShare = 1 / 2;
/** Most pairs of gateway and workspace see less than one request a second. */
const minimumIdle = 1;
/** Differences below this share of the total are not worth a message. */
const minimumReturnShare = 1 / 32;

/** Allowance of one gateway for one workspace, as the leader knows it. */
export interface Loan {
  /** Allowance that the gateway last reported. */
  held: number;
  demand: number;
  /** Allowances in answers that the gateway may still apply, by report number. */
  answers: { readonly number: number; readonly allowance: number }[];
}

/** Returns the largest allowance that the gateway may hold. */
export function outstandingOf({ held, answers }: Loan): number {
  return answers.reduce(
    (largest, { allowance }) => Math.max(largest, allowance),
    held,
  );
}

/**
 * Returns the answers with one more. Those with the same allowance are kept as
 * one, so that a gateway that receives none takes no memory for each report.
 */
export function recordAnswer(
  answers: Loan["answers"],
  { number, allowance }: Loan["answers"][number],
): Loan["answers"] {
  const same = answers.find((each) => each.allowance === allowance);
  const others = answers.filter((each) => each !== same);
  return [
    ...others,
    { number: Math.max(number, same?.number ?? 0), allowance },
  ];
}

/** Returns the allowance that the gateway was last told to have. */
function toldTo({ held, answers }: Loan): number {
  return answers.at(-1)?.allowance ?? held;
}

/** All loans of one workspace, and how its total is divided. */
export class WorkspaceLoans {
  readonly #loans = new Map<string, Loan>();
  #unknown: number;
  #unknownLimit = Infinity;
  #total: number;
  /** Undefined after a change, as the two below. */
  #shares: Map<string, number> | undefined;
  #outstanding: number | undefined;
  #told: number | undefined;

  constructor(total: number, unknown: number) {
    this.#total = total;
    this.#unknown = unknown;
  }

  /** Lent by an earlier leader to gateways that have not reported. */
  get unknown(): number {
    return this.#unknown;
  }

  set unknown(unknown: number) {
    if (unknown !== this.#unknown) this.changed();
    this.#unknown = unknown;
  }

  /** Largest amount that may be unknown by another rule. */
  set unknownLimit(limit: number) {
    if (limit !== this.#unknownLimit) this.changed();
    this.#unknownLimit = limit;
  }

  /** Number of gateways with an allowance or a demand. */
  get size(): number {
    return this.#loans.size;
  }

  /** Sum of the allowances that may be outstanding. */
  get outstanding(): number {
    return this.#outstanding ??= this.#sum(outstandingOf);
  }

  get total(): number {
    return this.#total;
  }

  set total(total: number) {
    if (total !== this.#total) this.changed();
    this.#total = total;
  }

  get(gateway: string): Loan | undefined {
    return this.#loans.get(gateway);
  }

  set(gateway: string, loan: Loan): void {
    this.#loans.set(gateway, loan);
    this.changed();
  }

  delete(gateway: string): void {
    this.#loans.delete(gateway);
    this.changed();
  }

  /** Must be called after a loan was changed. */
  changed(): void {
    this.#shares = undefined;
    this.#outstanding = undefined;
    this.#told = undefined;
  }

  /**
   * Returns the allowance that a gateway should have: never more than it has
   * already and what is free.
   *
   * @param gateways Number of gateways in contact.
   */
  allowanceFor(gateway: string, gateways: number): number {
    const loan = this.#loans.get(gateway);
    if (!loan) return 0;
    const outstanding = outstandingOf(loan);
    const free = Math.max(0, this.#total - this.outstanding);
    const wanted = this.#isTight
      ? this.#share(gateway)
      : this.#generousAllowance(loan, gateways);
    return Math.min(wanted, outstanding + free);
  }

  /** Returns the gateways that hold more than others leave to them. */
  debtors(): readonly string[] {
    if (!this.#isTight) return [];
    const minimum = Math.max(1, this.#total * minimumReturnShare);
    return [...this.#loans].filter(([gateway, { held }]) =>
      held - this.#share(gateway) >= minimum
    ).map(([gateway]) => gateway);
  }

  // What gateways were told to return counts as free, so that no more of them
  // are asked than needed.
  get #isTight(): boolean {
    this.#told ??= this.#sum(toldTo);
    return this.#total - this.#told < this.#total * reserveShare;
  }

  #sum(amountOf: (loan: Loan) => number): number {
    let sum = Math.min(this.#unknown, this.#unknownLimit);
    for (const loan of this.#loans.values()) sum += amountOf(loan);
    return sum;
  }

  #generousAllowance({ held, demand }: Loan, gateways: number): number {
    const idle = Math.max(
      minimumIdle,
      Math.floor(this.#total * idleShare / Math.max(1, gateways)),
    );
    if (demand === 0) return Math.min(held, idle);
    return Math.max(withHeadroom(demand), idle);
  }

  #share(gateway: string): number {
    this.#shares ??= this.#divide();
    return this.#shares.get(gateway) ?? 0;
  }

  #divide(): Map<string, number> {
    const demands = new Map<string, number>();
    let sum = 0;
    for (const [gateway, { demand }] of this.#loans) {
      demands.set(gateway, demand);
      sum += demand;
    }
    const shares = fairShares(demands, this.#total);
    const left = this.#total - sum;
    if (left <= 0 || sum === 0) return shares;
    // Half of what nobody demands is free for gateways that become short.
    for (const [gateway, demand] of demands) {
      const extra = Math.floor(left / 2 * demand / sum);
      shares.set(
        gateway,
        Math.min(withHeadroom(demand), shares.get(gateway)! + extra),
      );
    }
    return shares;
  }
}

/** Returns the allowance that is lent for a demand while there is room. */
export function withHeadroom(demand: number): number {
  return demand + Math.floor(demand * headroomShare);
}

/** Options of a {@link RetryBudget}. */
export interface RetryBudgetOptions {
  /** Repeats that all gateways may send for each request. */
  readonly ratio: number;
  /** Window over which repeats are counted, in milliseconds. */
  readonly windowMilliseconds: number;
  /** Repeats beyond the ratio that all gateways may send in a window. */
  readonly slack: number;
}

/** Share of the budget that is used, as gateways count apart from each other. */
const usedShare = 0.85;

/** This gateway's part of the repeats that a service bears. */
export class RetryBudget {
  readonly #options: RetryBudgetOptions;
  readonly #requests: number[] = [];
  readonly #repeats: number[] = [];

  constructor(options: RetryBudgetOptions) {
    this.#options = options;
  }

  /** Takes in a request of a caller. */
  noteRequest(now: number): void {
    this.#requests.push(now);
    this.#forget(now);
  }

  /** Takes one repeat, if there is one left for this gateway. */
  take(now: number, gateways: number): boolean {
    this.#forget(now);
    const { ratio, slack } = this.#options;
    const most =
      (this.#requests.length * ratio + slack / Math.max(1, gateways)) *
      usedShare;
    if (this.#repeats.length + 1 > most) return false;
    this.#repeats.push(now);
    return true;
  }

  #forget(now: number): void {
    const since = now - this.#options.windowMilliseconds;
    while (this.#requests[0]! < since) this.#requests.shift();
    while (this.#repeats[0]! < since) this.#repeats.shift();
  }
}

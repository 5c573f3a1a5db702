/** Options of a {@link RetryBudget}. */
export interface RetryBudgetOptions {
  /** Retries added to the budget per request. @default 0.2 */
  readonly share?: number;
  /** Maximum number of retries in the budget. @default 100 */
  readonly maximum?: number;
}

/** Limits retries to a share of the requests, which prevents retry storms. */
export class RetryBudget {
  readonly #share: number;
  readonly #maximum: number;
  #balance: number;

  constructor(options: RetryBudgetOptions = {}) {
    this.#share = options.share ?? 0.2;
    this.#maximum = options.maximum ?? 100;
    this.#balance = this.#maximum;
  }

  /** Records a request, which adds to the budget. */
  recordRequest(): void {
    this.#balance = Math.min(this.#maximum, this.#balance + this.#share);
  }

  /** Takes one retry from the budget; returns false if none is left. */
  take(): boolean {
    if (this.#balance < 1) return false;
    this.#balance -= 1;
    return true;
  }
}

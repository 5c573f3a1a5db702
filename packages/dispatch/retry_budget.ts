/** Options of a {@link RetryBudget}. */
export interface RetryBudgetOptions {
  /** Retries that all gateways together may send per request. */
  readonly ratio: number;
  /** Window over which requests and retries are counted, in milliseconds. */
  readonly windowMilliseconds: number;
  /** Retries beyond the ratio that all gateways may send per window. */
  readonly slack: number;
}

/** Share of the budget that is used, as gateways count independently. */
const usedShare = 0.85;

/** Limits this gateway to its share of a service's retry budget. */
export class RetryBudget {
  readonly #options: RetryBudgetOptions;
  readonly #requests: number[] = [];
  readonly #retries: number[] = [];
  /**
   * Maximum number of gateways counted in the current span, which is as long as
   * the window, and in the span before.
   */
  #maximumGateways = 0;
  #previousMaximumGateways = 0;
  #spanStartedAt = -Infinity;

  constructor(options: RetryBudgetOptions) {
    this.#options = options;
  }

  /** Records a request from a caller. */
  recordRequest(now: number): void {
    this.#requests.push(now);
    this.#dropExpired(now);
  }

  /**
   * Takes one retry if the budget of this gateway allows it.
   *
   * @param gateways Number of gateways that share the budget; 0 if unknown,
   * which leaves the slack to the gateways that know it.
   */
  take(now: number, gateways: number): boolean {
    this.#dropExpired(now);
    this.#recordGateways(now, gateways);
    const { ratio, slack } = this.#options;
    // Gateways that are no longer counted may still use the share that they had
    // when more gateways were counted.
    const sharingGateways = Math.max(
      this.#maximumGateways,
      this.#previousMaximumGateways,
    );
    const slackShare = sharingGateways === 0 ? 0 : slack / sharingGateways;
    const allowedRetries = (this.#requests.length * ratio + slackShare) *
      usedShare;
    if (this.#retries.length + 1 > allowedRetries) return false;
    this.#retries.push(now);
    return true;
  }

  #recordGateways(now: number, gateways: number): void {
    const age = now - this.#spanStartedAt;
    if (age >= this.#options.windowMilliseconds) {
      const isConsecutive = age < this.#options.windowMilliseconds * 2;
      this.#previousMaximumGateways = isConsecutive ? this.#maximumGateways : 0;
      this.#maximumGateways = 0;
      this.#spanStartedAt = now;
    }
    this.#maximumGateways = Math.max(this.#maximumGateways, gateways);
  }

  #dropExpired(now: number): void {
    const since = now - this.#options.windowMilliseconds;
    while (this.#requests[0]! < since) this.#requests.shift();
    while (this.#retries[0]! < since) this.#retries.shift();
  }
}

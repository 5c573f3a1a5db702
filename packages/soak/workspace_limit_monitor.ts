/** Rate limit of a workspace, with the quota settings of the fleet. */
export interface WorkspaceLimit {
  readonly workspace: string;
  readonly ratePerSecond: number;
  readonly burst: number;
  readonly windowSeconds: number;
  readonly overage: number;
  readonly slack: number;
}

/** Options of a {@link WorkspaceLimitMonitor}. */
export interface WorkspaceLimitMonitorOptions {
  readonly limit: WorkspaceLimit;
  readonly now: () => number;
  /** For how long what is read now may have waited in this process. */
  readonly readDelay: () => number;
  readonly onViolation: (violation: string) => void;
}

const millisecondsPerSecond = 1000;

/**
 * Checks that in any window at most (R·W + B)(1 + O) + S requests of a workspace
 * reach targets. A request counts once, when it first arrives.
 */
export class WorkspaceLimitMonitor {
  /** Most requests that certainly arrived within one window. */
  highestCount = 0;
  readonly #options: WorkspaceLimitMonitorOptions;
  readonly #seen = new Set<string>();
  /** Earliest times at which requests of the current window may have arrived. */
  #arrivals: number[] = [];

  constructor(options: WorkspaceLimitMonitorOptions) {
    this.#options = options;
  }

  /** Maximum number of requests in a window. */
  get maximum(): number {
    const { ratePerSecond, burst, windowSeconds, overage, slack } =
      this.#options.limit;
    return (ratePerSecond * windowSeconds + burst) * (1 + overage) + slack;
  }

  recordArrival(id: string): void {
    if (this.#seen.has(id)) return;
    this.#seen.add(id);
    const { limit, now, readDelay, onViolation } = this.#options;
    const { workspace, windowSeconds } = limit;
    const at = now();
    const from = at - windowSeconds * millisecondsPerSecond;
    this.#arrivals.push(at - readDelay());
    this.#arrivals = this.#arrivals.filter((each) => each > from);
    const { length } = this.#arrivals;
    this.highestCount = Math.max(this.highestCount, length);
    if (length <= this.maximum) return;
    onViolation(
      `${length} requests of ${workspace} reached targets in ${windowSeconds} s, of ${
        Math.floor(this.maximum)
      }, the last ${id}`,
    );
    this.#arrivals = [];
  }
}

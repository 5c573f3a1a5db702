import { RetryBudget } from "./retry_budget.ts";

/** A hedge is sent after this quantile of the durations of a service. */
const quantile = 0.95;
/** Step by which a duration moves the estimate, as a share of the estimate. */
const stepShare = 0.05;
const minimumSamples = 20;
const minimumStepMilliseconds = 0.05;
const minimumDelayMilliseconds = 1;

/** Estimated quantile of the durations of a service. */
interface Estimate {
  milliseconds: number;
  samples: number;
}

/**
 * Decides when a slow idempotent request is also sent to a second target (a
 * hedge), and limits hedges to a share of the requests.
 */
export class HedgePolicy {
  readonly #budget: RetryBudget;
  readonly #estimates = new Map<string, Estimate>();

  constructor(options: {
    /** Hedges added to the budget per request. @default 0.04 */
    readonly share?: number | undefined;
  } = {}) {
    this.#budget = new RetryBudget({
      share: options.share ?? 0.04,
      maximum: 10,
    });
  }

  /**
   * Records a request for a service and returns the milliseconds to wait for
   * its response before sending a second one; undefined until enough durations
   * are known.
   */
  begin(service: string): number | undefined {
    this.#budget.recordRequest();
    const estimate = this.#estimates.get(service);
    return estimate && estimate.samples >= minimumSamples
      ? Math.max(minimumDelayMilliseconds, estimate.milliseconds)
      : undefined;
  }

  /** Takes one hedge from the budget; returns false if it is used up. */
  take(): boolean {
    return this.#budget.take();
  }

  /**
   * Updates the estimated quantile with the duration of a request. Steps up and
   * down balance where the quantile's share of the durations is shorter.
   */
  recordDuration(service: string, milliseconds: number): void {
    const estimate = this.#estimates.get(service);
    if (!estimate) {
      this.#estimates.set(service, { milliseconds, samples: 1 });
      return;
    }
    estimate.samples += 1;
    const step = Math.max(
      minimumStepMilliseconds,
      estimate.milliseconds * stepShare,
    );
    estimate.milliseconds += milliseconds > estimate.milliseconds
      ? step * quantile
      : -step * (1 - quantile);
  }
}

import type { ExchangeReport } from "./capacity.ts";

/** Weight of a new duration in the average. */
const steadyWeight = 0.1;
/** Weight of a new duration while there are fewer than `warmUpSamples`. */
const warmUpWeight = 0.3;
const warmUpSamples = 5;
/** Minimum duration counted for a failure, so that failing is not fast. */
const failureMilliseconds = 1000;

/** Observations of one target by this VM. */
export interface TargetObservation {
  /** Moving average of the service time in milliseconds. */
  readonly milliseconds: number;
  /** Number of responses in the average. */
  readonly samples: number;
  /** Number of consecutive failed exchanges. */
  readonly failures: number;
  /** Time at which an exchange last ended. */
  readonly at: number;
}

/** Tracks the latency and failures of targets as observed by this VM. */
export class TargetObservations {
  readonly #observations = new Map<string, TargetObservation>();

  /** Returns the observations of a target. */
  get(target: string): TargetObservation | undefined {
    return this.#observations.get(target);
  }

  /** Records the result of an exchange. */
  record(target: string, report: ExchangeReport, now: number): void {
    const before = this.#observations.get(target);
    const hasFailed = report.result === "failed";
    if (!before && report.result !== "answered" && !hasFailed) return;
    const sample = hasFailed
      ? Math.max(failureMilliseconds, report.milliseconds)
      : report.milliseconds;
    this.#observations.set(target, {
      milliseconds: this.#average(before, sample, report),
      samples: (before?.samples ?? 0) + 1,
      failures: hasFailed ? (before?.failures ?? 0) + 1 : 0,
      at: now,
    });
  }

  /** Removes the observations of targets that no longer exist. */
  retainOnly(targets: ReadonlyMap<string, unknown>): void {
    for (const target of this.#observations.keys()) {
      if (!targets.has(target)) this.#observations.delete(target);
    }
  }

  // A cancelled exchange would have taken at least as long as it lasted.
  #average(
    before: TargetObservation | undefined,
    sample: number,
    report: ExchangeReport,
  ): number {
    if (!before) return sample;
    if (report.result === "shed" || report.result === "fenced") {
      return before.milliseconds;
    }
    if (report.result === "cancelled" && sample <= before.milliseconds) {
      return before.milliseconds;
    }
    const difference = sample - before.milliseconds;
    const weight = before.samples < warmUpSamples ? warmUpWeight : steadyWeight;
    return before.milliseconds + difference * weight;
  }
}

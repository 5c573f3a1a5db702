import type { TargetDuration } from "./key_demand.ts";

/**
 * Weight of the newest report in the moving average; low, as gateways report
 * means, and only when these change.
 */
const reportWeight = 0.3;
/**
 * Faster targets receive more than their proportional share of ranges:
 * responses of a slow target miss deadlines more often, whatever its load.
 */
const speedExponent = 1.5;
/**
 * Maximum weight, and the inverse of the minimum weight; weights are bounded as
 * durations are noisy.
 */
const maximumWeight = 2;

/** Response times of the targets of keyed services, as reported by gateways. */
export class TargetSpeeds {
  readonly #durations = new Map<string, number>();

  /** Records a duration reported by a gateway. */
  record({ target, milliseconds }: TargetDuration): void {
    const known = this.#durations.get(target);
    this.#durations.set(
      target,
      known === undefined
        ? milliseconds
        : known + (milliseconds - known) * reportWeight,
    );
  }

  /**
   * Returns the weight of a target for ownership, relative to candidates with
   * equal slots: 1 for a target with their mean duration or without reports.
   */
  weight(target: string, candidates: readonly string[]): number {
    const own = this.#durations.get(target);
    const known = candidates.flatMap((each) => this.#durations.get(each) ?? []);
    if (own === undefined || known.length === 0) return 1;
    const mean = known.reduce((sum, each) => sum + each, 0) / known.length;
    const weight = (mean / Math.max(1, own)) ** speedExponent;
    return Math.min(maximumWeight, Math.max(1 / maximumWeight, weight));
  }
}

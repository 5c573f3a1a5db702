import type { KeyRange, KeyRanges } from "./types.ts";

/** Requests for positions that lie together. */
export interface DemandRow {
  readonly service: string;
  /** The positions, as {@link bucketOf} counts them. */
  readonly bucket: number;
  readonly count: number;
}

/** How long a target of a keyed service takes, as one gateway sees it. */
export interface DurationRow {
  readonly target: string;
  /** Mean, in milliseconds. */
  readonly milliseconds: number;
}

/** Positions counted together: a hot key's neighbours are hot as well. */
export const positionsPerBucket = 16;
/** Old demand counts half after this long; hot keys change within seconds. */
const halfLifeMilliseconds = 4000;
/**
 * A range that gets more than this part of what an owner gets on average is
 * cut, so that owners can be evened out by moving parts of it.
 */
const largestPart = 0.4;
/** Cuts made at one time. */
const mostCuts = 64;
/** Demand below this says little. */
const leastDemand = 20;

/** The bucket that holds a position. */
export function bucketOf(position: number): number {
  return Math.floor(position / positionsPerBucket);
}

/** How often the positions of a keyed service were asked for lately. */
export class KeyDemand {
  readonly #buckets = new Map<
    number,
    { readonly weight: number; readonly at: number }
  >();

  /** Takes in requests for a bucket. */
  note(bucket: number, count: number, now: number): void {
    const weight = this.#weight(bucket, now) + count;
    this.#buckets.set(bucket, { weight, at: now });
  }

  /** Recent requests for a range. */
  of(
    range: { readonly from: number; readonly to: number },
    now: number,
  ): number {
    let sum = 0;
    const last = bucketOf(range.to);
    for (let bucket = bucketOf(range.from); bucket <= last; bucket += 1) {
      sum += this.#weight(bucket, now);
    }
    return sum;
  }

  /**
   * Where to cut the ranges that are asked for too often to stay whole: starts
   * of new ranges, on edges of buckets.
   */
  cuts(
    ranges: KeyRanges,
    view: { readonly now: number; readonly owners: number },
  ): readonly number[] {
    const { now, owners } = view;
    const demands = ranges.map((range) => this.of(range, now));
    const total = demands.reduce((sum, each) => sum + each, 0);
    if (total < leastDemand) return [];
    const largest = total / owners * largestPart;
    return ranges.flatMap((range, at) =>
      demands[at]! > largest ? this.#cutsOf(range, { largest, now }) : []
    ).slice(0, mostCuts);
  }

  // Parts are filled bucket by bucket; a bucket alone may be too large.
  #cutsOf(
    range: KeyRange,
    view: { readonly largest: number; readonly now: number },
  ): readonly number[] {
    const { largest, now } = view;
    const cuts: number[] = [];
    const last = bucketOf(range.to);
    let sum = this.#weight(bucketOf(range.from), now);
    for (let bucket = bucketOf(range.from) + 1; bucket <= last; bucket += 1) {
      const weight = this.#weight(bucket, now);
      if (sum + weight > largest && (sum > 0 || cuts.length === 0)) {
        cuts.push(bucket * positionsPerBucket);
        sum = 0;
      }
      sum += weight;
    }
    return cuts;
  }

  #weight(bucket: number, now: number): number {
    const known = this.#buckets.get(bucket);
    if (!known) return 0;
    return known.weight * 2 ** ((known.at - now) / halfLifeMilliseconds);
  }
}

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
/** A range that gets a larger share of all demand than this is cut. */
const splitShare = 0.06;
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

  /** A range that is asked for too often to stay whole, and where to cut it. */
  split(
    ranges: KeyRanges,
    now: number,
  ): { readonly from: number; readonly at: number } | undefined {
    const demands = ranges.map((range) => this.of(range, now));
    const total = demands.reduce((sum, each) => sum + each, 0);
    if (total < leastDemand) return undefined;
    const hottest = demands.indexOf(Math.max(...demands));
    const range = ranges[hottest]!;
    if (demands[hottest]! < total * splitShare) return undefined;
    const at = this.#middle(range, demands[hottest]!, now);
    return at === undefined ? undefined : { from: range.from, at };
  }

  /** Where half of a range's demand lies on either side, on a bucket's edge. */
  #middle(range: KeyRange, demand: number, now: number): number | undefined {
    const [first, last] = [bucketOf(range.from), bucketOf(range.to)];
    if (first === last) return undefined;
    let sum = 0;
    let bucket = first;
    while (bucket < last && sum < demand / 2) {
      sum += this.#weight(bucket, now);
      bucket += 1;
    }
    const edge = Math.max(bucket, first + 1) * positionsPerBucket;
    return edge > range.from && edge <= range.to ? edge : undefined;
  }

  #weight(bucket: number, now: number): number {
    const known = this.#buckets.get(bucket);
    if (!known) return 0;
    return known.weight * 2 ** ((known.at - now) / halfLifeMilliseconds);
  }
}

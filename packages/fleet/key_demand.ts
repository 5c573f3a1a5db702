import { lastPosition } from "./types.ts";
import type { KeyRange, KeyRanges } from "./types.ts";

/** Count of requests for one position of a keyed service. */
export interface PositionDemand {
  readonly service: string;
  readonly position: number;
  readonly count: number;
}

/** Response time of a target of a keyed service, as measured by one gateway. */
export interface TargetDuration {
  readonly target: string;
  /** Mean, in milliseconds. */
  readonly milliseconds: number;
}

/** Half-life of recorded demand; short, as hot keys change within seconds. */
const halfLifeMilliseconds = 4000;
/**
 * A range whose load exceeds this share of an owner's mean load is split, so
 * that the load of owners can be balanced by moving parts of the range.
 */
const maximumLoadShare = 0.4;
/** Maximum number of cuts per call. */
const maximumCuts = 128;
/** Total demand below this is too small a sample to act on. */
const minimumDemand = 20;

/** Weights are rescaled once they have grown by a factor of 2 to this power. */
const maximumGrowthExponent = 32;

/**
 * Exponentially decayed request counts for the positions of a keyed service.
 */
export class KeyDemand {
  /** Weights as of {@link #scaledAt}; newer requests have larger weights. */
  readonly #weights = new Float64Array(lastPosition + 1);
  #scaledAt = 0;

  /** Records requests for a position. */
  record(position: number, count: number, now: number): void {
    if (!(position >= 0 && position <= lastPosition)) return;
    if (this.#growthExponent(now) > maximumGrowthExponent) this.#rescale(now);
    this.#weights[Math.floor(position)]! += count *
      2 ** this.#growthExponent(now);
  }

  /** Returns the decayed count of recent requests for a range. */
  forRange(
    range: { readonly from: number; readonly to: number },
    now: number,
  ): number {
    let sum = 0;
    for (let position = range.from; position <= range.to; position += 1) {
      sum += this.#weights[position]!;
    }
    return sum * this.#scaleFactor(now);
  }

  /**
   * Returns the positions at which overloaded ranges should be split: each is
   * the start of a new range.
   */
  cuts(
    ranges: KeyRanges,
    options: { readonly now: number; readonly owners: number },
  ): readonly number[] {
    const { now, owners } = options;
    const demands = ranges.map((range) => this.forRange(range, now));
    const total = demands.reduce((sum, each) => sum + each, 0);
    if (total < minimumDemand) return [];
    const maximumLoad = total / owners * maximumLoadShare;
    return ranges.flatMap((range, at) =>
      demands[at]! > maximumLoad
        ? this.#cutsWithin(range, { maximumLoad, now })
        : []
    ).slice(0, maximumCuts);
  }

  // Starts a new part before the position that would exceed the limit; a single
  // position may exceed it by itself.
  #cutsWithin(
    range: KeyRange,
    options: { readonly maximumLoad: number; readonly now: number },
  ): readonly number[] {
    const maximumLoad = options.maximumLoad / this.#scaleFactor(options.now);
    const cuts: number[] = [];
    let sum = this.#weights[range.from]!;
    for (let position = range.from + 1; position <= range.to; position += 1) {
      const weight = this.#weights[position]!;
      if (sum + weight > maximumLoad && (sum > 0 || cuts.length === 0)) {
        cuts.push(position);
        sum = 0;
      }
      sum += weight;
    }
    return cuts;
  }

  /** Returns the factor that converts a weight to its value at `now`. */
  #scaleFactor(now: number): number {
    return 2 ** -this.#growthExponent(now);
  }

  /** Returns the number of half-lives since the weights were last rescaled. */
  #growthExponent(now: number): number {
    return (now - this.#scaledAt) / halfLifeMilliseconds;
  }

  #rescale(now: number): void {
    const factor = this.#scaleFactor(now);
    for (let at = 0; at < this.#weights.length; at += 1) {
      this.#weights[at]! *= factor;
    }
    this.#scaledAt = now;
  }
}

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** Random choices that depend on nothing but a seed. */
export class RandomSource {
  readonly #generator: RandomGenerator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /**
   * One of several streams of a seed. The first numbers of neighbouring seeds
   * are alike without the mixing.
   */
  static ofStream(seed: number, stream: number): RandomSource {
    let mixed = Math.imul(seed, 0x9e3779b1) ^ Math.imul(stream + 1, 0x85ebca6b);
    mixed = Math.imul(mixed ^ (mixed >>> 16), 0xc2b2ae35);
    return new RandomSource((mixed ^ (mixed >>> 13)) >>> 0);
  }

  /** A number of at least 0 and less than 1. */
  number(): number {
    return uniformFloat64(this.#generator);
  }

  /** A whole number of at least `minimum` and at most `maximum`. */
  integer(minimum: number, maximum: number): number {
    return uniformInt(this.#generator, minimum, maximum);
  }

  /** One item of a list that is not empty. */
  pick<Item>(items: readonly Item[]): Item {
    return items[this.integer(0, items.length - 1)]!;
  }

  /** A time until the next of events that come independently of each other. */
  exponential(mean: number): number {
    return -Math.log(1 - this.number()) * mean;
  }
}

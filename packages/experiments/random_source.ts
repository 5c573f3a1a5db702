import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** A random number generator that depends only on its seed. */
export class RandomSource {
  readonly #generator: RandomGenerator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /**
   * Returns one of several streams of a seed. Seed and stream are mixed, as the
   * first numbers of adjacent seeds are similar otherwise.
   */
  static ofStream(seed: number, stream: number): RandomSource {
    let mixed = Math.imul(seed, 0x9e3779b1) ^ Math.imul(stream + 1, 0x85ebca6b);
    mixed = Math.imul(mixed ^ (mixed >>> 16), 0xc2b2ae35);
    return new RandomSource((mixed ^ (mixed >>> 13)) >>> 0);
  }

  /** Returns a number of at least 0 and less than 1. */
  number(): number {
    return uniformFloat64(this.#generator);
  }

  /** Returns an integer of at least `minimum` and at most `maximum`. */
  integer(minimum: number, maximum: number): number {
    return uniformInt(this.#generator, minimum, maximum);
  }

  /** Returns a random item of a non-empty list. */
  pick<Item>(items: readonly Item[]): Item {
    return items[this.integer(0, items.length - 1)]!;
  }

  /**
   * Returns an exponentially distributed number, such as a time between events.
   */
  exponential(mean: number): number {
    return -Math.log(1 - this.number()) * mean;
  }
}

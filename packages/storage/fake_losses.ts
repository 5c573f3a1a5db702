import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { FakeFiles } from "./fake_files.ts";

/** Number of losses that are chosen at random if there are more mixes. */
const maximumMixes = 32;

/** Returns a source of numbers of at least 0 and less than 1. */
export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(Math.imul(seed, 0x9e3779b1));
  return () => uniformFloat64(generator);
}

/**
 * Returns the files after losses of power with every mix of unsynced operations
 * that are kept or torn, and lost.
 */
export function lossesOf(files: FakeFiles): readonly FakeFiles[] {
  const count = files.unsyncedOperations;
  const mixes = Math.min(2 ** count, maximumMixes);
  const losses: FakeFiles[] = [];
  for (let mix = 0; mix < mixes; mix += 1) {
    const random = createRandom(mix + 1);
    for (const torn of [1, 0.5, -0.5]) {
      let at = 0;
      losses.push(files.losePower(() => {
        const isKept = 2 ** count <= maximumMixes
          ? (mix >> at++) % 2 === 1
          : random() < 0.5;
        return isKept ? torn : 0;
      }));
    }
  }
  return losses;
}

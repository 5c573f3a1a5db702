import { createHash } from "node:crypto";

const hashBytes = 6;
/** Sums of hashes stay exact in a number. */
const modulus = 2 ** (8 * hashBytes);

/** Returns the hash of a text, for a {@link SetDigest}. */
export function hashOfText(text: string): number {
  return createHash("sha1").update(text).digest().readUIntBE(0, hashBytes);
}

/** Returns the digest of the union of sets that have nothing in common. */
export function combineDigests(...digests: readonly number[]): number {
  return digests.reduce((sum, each) => (sum + each) % modulus, 0);
}

/**
 * Digest of a set of hashes, whatever their order. Sets that differ have the same
 * digest by chance only, once in 2^48.
 */
export class SetDigest {
  #value = 0;

  get value(): number {
    return this.#value;
  }

  /** Replaces a hash by another; 0 stands for none. */
  replace(before: number, after: number): void {
    this.#value = (this.#value - before + after + modulus) % modulus;
  }
}

import { createHash } from "node:crypto";
import { itemId } from "./types.ts";
import type { StoredItem, StoredItems } from "./types.ts";

const hashBytes = 6;
/** Sums of hashes stay exact in a number. */
const modulus = 2 ** (8 * hashBytes);

/** Hashes of items, which are immutable. */
const hashes = new WeakMap<StoredItem, number>();

/**
 * Digest of the names and versions of a set of items, whatever their order. Sets
 * that differ have the same digest by chance only, once in 2^48.
 */
export class ItemsDigest {
  #value = 0;

  /** Returns the digest of all items. */
  static of(items: Iterable<StoredItem>): number {
    const digest = new ItemsDigest();
    for (const item of items) digest.replace(undefined, item);
    return digest.value;
  }

  get value(): number {
    return this.#value;
  }

  /** Records that an item replaces its earlier version, if there was one. */
  replace(before: StoredItem | undefined, after: StoredItem): void {
    const removed = before ? hashOf(before) : 0;
    this.#value = (this.#value - removed + hashOf(after) + modulus) % modulus;
  }
}

/** Keeps the digest of the set of items that was asked for last. */
export class ItemsDigestCache {
  #items: StoredItems | undefined;
  #value = 0;

  /** Returns the digest of a set, which must not change. */
  of(items: StoredItems): number {
    if (items !== this.#items) {
      this.#items = items;
      this.#value = ItemsDigest.of(items.values());
    }
    return this.#value;
  }
}

function hashOf(item: StoredItem): number {
  const known = hashes.get(item);
  if (known !== undefined) return known;
  const hash = createHash("sha1").update(`${itemId(item)}\0${item.version}`)
    .digest().readUIntBE(0, hashBytes);
  hashes.set(item, hash);
  return hash;
}

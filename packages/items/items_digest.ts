import { hashOfText, SetDigest } from "./set_digest.ts";
import { itemId } from "./types.ts";
import type { StoredItem, StoredItems } from "./types.ts";

interface ItemHashes {
  readonly version: number;
  readonly content: number;
}

/** Hashes of items, which are immutable. */
const hashes = new WeakMap<StoredItem, ItemHashes>();
const noHashes: ItemHashes = { version: 0, content: 0 };

/** Digests of a set of items, whatever their order. */
export class ItemsDigest {
  readonly #versions = new SetDigest();
  readonly #contents = new SetDigest();

  /** Returns the digest of the names and versions of all items. */
  static of(items: Iterable<StoredItem>): number {
    return ItemsDigest.from(items).value;
  }

  static from(items: Iterable<StoredItem>): ItemsDigest {
    const digest = new ItemsDigest();
    for (const item of items) digest.replace(undefined, item);
    return digest;
  }

  /** Digest of the names and versions. */
  get value(): number {
    return this.#versions.value;
  }

  /** Digest of the names, versions and contents. */
  get contentValue(): number {
    return this.#contents.value;
  }

  /** Records that an item replaces its earlier version, if there was one. */
  replace(before: StoredItem | undefined, after: StoredItem): void {
    const removed = before ? hashesOf(before) : noHashes;
    const added = hashesOf(after);
    this.#versions.replace(removed.version, added.version);
    this.#contents.replace(removed.content, added.content);
  }
}

/** Keeps the digests of the set of items that was asked for last. */
export class ItemsDigestCache {
  #items: StoredItems | undefined;
  #digest = new ItemsDigest();

  /** Returns the digests of a set, which must not change. */
  of(items: StoredItems): ItemsDigest {
    if (items !== this.#items) {
      this.#items = items;
      this.#digest = ItemsDigest.from(items.values());
    }
    return this.#digest;
  }
}

function hashesOf(item: StoredItem): ItemHashes {
  const known = hashes.get(item);
  if (known !== undefined) return known;
  const id = `${itemId(item)}\0${item.version}`;
  const computed: ItemHashes = {
    version: hashOfText(id),
    content: hashOfText(`${id}\0${canonicalText(item.content)}`),
  };
  hashes.set(item, computed);
  return computed;
}

// Fields may have another order, or be absent in place of undefined, after the
// item was sent.
function canonicalText(content: unknown): string {
  return JSON.stringify(
    content,
    (_, value: unknown) =>
      value !== null && typeof value === "object" && !Array.isArray(value)
        ? Object.fromEntries(
          Object.entries(value).filter(([, field]) => field != null).sort(
            ([left], [right]) => left < right ? -1 : 1,
          ),
        )
        : value,
  );
}

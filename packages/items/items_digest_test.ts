import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { ItemsDigest } from "./items_digest.ts";
import { itemId, ItemKind } from "./types.ts";
import type { StoredItem } from "./types.ts";

const anyItem = fc.record({
  kind: fc.constantFrom(...Object.values(ItemKind)),
  name: fc.constantFrom("a", "b", "c", ""),
  version: fc.integer({ min: 1, max: 5 }),
  content: fc.constant(null),
  source: fc.constant(""),
  changedAt: fc.nat(),
});

/** Applies items in order to a set and to its digest. */
function apply(items: readonly StoredItem[]) {
  const stored = new Map<string, StoredItem>();
  const digest = new ItemsDigest();
  for (const item of items) {
    digest.replace(stored.get(itemId(item)), item);
    stored.set(itemId(item), item);
  }
  return { stored, value: digest.value };
}

function versions(stored: ReadonlyMap<string, StoredItem>): string {
  return [...stored].map(([id, { version }]) => `${id}@${version}`).sort()
    .join();
}

describe("ItemsDigest", () => {
  it("follows changes and does not depend on their order", () => {
    fc.assert(
      fc.property(fc.array(anyItem), (items) => {
        const { stored, value } = apply(items);
        const shuffled = [...stored.values()].reverse();
        expect(ItemsDigest.of(shuffled)).toBe(value);
      }),
    );
  });

  it("is the same for the same versions only", () => {
    fc.assert(
      fc.property(fc.array(anyItem), fc.array(anyItem), (left, right) => {
        const [first, second] = [apply(left), apply(right)];
        expect(first.value === second.value).toBe(
          versions(first.stored) === versions(second.stored),
        );
      }),
    );
  });

  describe("of contents", () => {
    const item = (content: object): StoredItem => ({
      kind: ItemKind.service,
      name: "a",
      version: 1,
      content: content as never,
      source: "",
      changedAt: 1,
    });
    const digestOf = (content: object) =>
      ItemsDigest.from([item(content)]).contentValue;

    it("differs where one version has two contents", () => {
      expect(digestOf({ parts: [{ weight: 1 }] })).not.toBe(
        digestOf({ parts: [{ weight: 2 }] }),
      );
    });

    // Guards against items that count as different after they were sent.
    it("depends neither on the order of fields nor on absent ones", () => {
      expect(digestOf({ a: 1, parts: [{ b: 2, c: 3 }], d: undefined })).toBe(
        digestOf({ parts: [{ c: 3, b: 2 }], a: 1 }),
      );
    });
  });
});

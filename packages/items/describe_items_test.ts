import { describe, expect, it } from "vitest";
import { describeChange, describeItems } from "./describe_items.ts";
import { ItemKind } from "./types.ts";
import type { StoredItem } from "./types.ts";

function removed(name: string, version: number): StoredItem {
  return {
    kind: ItemKind.route,
    name,
    version,
    content: null,
    source: "",
    changedAt: 1,
  };
}

describe("description of items for the log", () => {
  it("names each item with its version", () => {
    expect(describeItems([removed("r-1", 4), removed("r-2", 9)]))
      .toBe("route/r-1@-4 route/r-2@-9");
  });

  it("names the stored version of an item that a change left alone", () => {
    const stored = new Map([["route/r-1", removed("r-1", 7)]]);
    const removals = [
      { kind: ItemKind.route, name: "r-1", version: 5 },
      { kind: ItemKind.route, name: "r-2", version: 6 },
    ];
    expect(describeChange({ items: [], removals }, stored))
      .toBe("route/r-1@-5<7 route/r-2@-6");
  });

  it("names 150 items, and is bounded", () => {
    const many = Array.from(
      { length: 1000 },
      (_, at) => removed(`r-${at}`, 1),
    );
    expect(describeItems(many.slice(0, 150)).split(" ")).toHaveLength(150);
    const text = describeItems(many);
    expect(text).toMatch(/ and [0-9]+ more$/);
    expect(text.length).toBeLessThan(4100);
  });

  // Guards against a name that fills the log.
  it("is bounded for a long name", () => {
    expect(describeItems([removed("x".repeat(100_000), 1), removed("r", 1)]))
      .toBe("and 2 more");
  });
});

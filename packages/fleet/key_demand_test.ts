import { describe, expect, it } from "vitest";
import { bucketOf, KeyDemand } from "./key_demand.ts";
import { RangeAssigner } from "./range_assigner.ts";
import type { KeyRange, TargetLife } from "./types.ts";

const owners: readonly TargetLife[] = ["a", "b", "c", "d"].map((target) => ({
  target,
  bornAt: 1,
}));

/** Four owners of equal ranges, and a hot spot in the first one's. */
function hotSpot(): { ranges: KeyRange[]; demand: KeyDemand } {
  const ranges = owners.map((owner, at): KeyRange => ({
    from: at * 1024,
    to: at * 1024 + 1023,
    owner,
    fence: 1,
    handover: "",
  }));
  const demand = new KeyDemand();
  for (let position = 0; position < 4096; position += 64) {
    demand.note(bucketOf(position), 1, 0);
  }
  for (let position = 200; position < 400; position += 1) {
    demand.note(bucketOf(position), 1, 0);
  }
  return { ranges, demand };
}

function peakOf(ranges: readonly KeyRange[], demand: KeyDemand): number {
  return Math.max(
    ...owners.map(({ target }) =>
      ranges.filter(({ owner }) => owner?.target === target)
        .reduce((sum, range) => sum + demand.of(range, 0), 0)
    ),
  );
}

describe("hot key", () => {
  it("is cut out of its range and spread over the owners", () => {
    const { demand } = hotSpot();
    let { ranges } = hotSpot();
    const before = peakOf(ranges, demand);
    const assigner = new RangeAssigner({
      holdMilliseconds: 3000,
      startedAt: 0,
    });
    let moved = 0;
    for (let round = 0; round < 60; round += 1) {
      const split = demand.split(ranges, 0);
      if (split) {
        ranges = ranges.flatMap((range) =>
          range.from === split.from
            ? [{ ...range, to: split.at - 1 }, { ...range, from: split.at }]
            : [range]
        );
      }
      for (const life of owners) {
        assigner.note(ranges, {
          life,
          service: "stock",
          address: "10.0.0.1:80",
          dataCentre: "a",
          slots: 6,
          isDraining: false,
          coldMilliseconds: 0,
          sequence: round,
          holds: [],
          freed: [],
        });
      }
      const { grants } = assigner.plan(ranges, {
        candidates: owners.map((life) => ({ life, weight: 6, accepts: true })),
        now: round * 4000,
        demand: (range) => demand.of(range, 0),
      });
      for (const grant of grants) {
        moved += 1;
        ranges = ranges.map((range) =>
          range.from === grant.from
            ? { ...range, owner: grant.owner, fence: round + 2 }
            : range
        );
      }
    }
    expect(peakOf(ranges, demand)).toBeLessThan(before * 0.5);
    expect(moved).toBeLessThan(20);
  });

  it("is forgotten when it cools", () => {
    const { ranges, demand } = hotSpot();
    expect(demand.of(ranges[0]!, 40_000)).toBeLessThan(1);
  });
});

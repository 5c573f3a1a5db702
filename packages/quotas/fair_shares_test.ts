import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { fairShares } from "./fair_shares.ts";

describe("fairShares", () => {
  it("meets small demands first", () => {
    const shares = fairShares(new Map([["a", 2], ["b", 50], ["c", 70]]), 62);
    expect(Object.fromEntries(shares)).toEqual({ a: 2, b: 30, c: 30 });
  });

  it("never exceeds the total or a demand, and uses the total if demanded", () => {
    fc.assert(
      fc.property(
        fc.array(fc.nat(100), { maxLength: 20 }),
        fc.nat(500),
        (demands, total) => {
          const names = new Map(demands.map((each, at) => [`g${at}`, each]));
          const shares = fairShares(names, total);
          const sum = [...shares.values()].reduce(
            (left, each) => left + each,
            0,
          );
          const demand = demands.reduce((left, each) => left + each, 0);
          expect(sum).toBe(Math.min(total, demand));
          for (const [name, share] of shares) {
            expect(share).toBeLessThanOrEqual(names.get(name)!);
          }
        },
      ),
    );
  });
});

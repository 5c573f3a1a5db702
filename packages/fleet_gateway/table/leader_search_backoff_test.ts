import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { describe, expect, it } from "vitest";
import { LeaderSearchBackoff } from "./leader_search_backoff.ts";

const gateways = 195;

/** Counts the searches of all gateways in each 100 ms without a leader. */
function countSearches(milliseconds: number): readonly number[] {
  const generator = xoroshiro128plus(3);
  const random = () => uniformFloat64(generator);
  const counts = new Array<number>(milliseconds / 100).fill(0);
  for (let gateway = 0; gateway < gateways; gateway += 1) {
    const backoff = new LeaderSearchBackoff({ random });
    for (let now = 0; now < milliseconds; now += backoff.next()) {
      counts[Math.floor(now / 100)]! += 1;
    }
  }
  return counts;
}

describe("LeaderSearchBackoff", () => {
  it("keeps 195 gateways from overloading the control VMs during an election", () => {
    const counts = countSearches(3000);
    const later = counts.slice(10);
    expect(Math.max(...later)).toBeLessThan(gateways * 0.5);
    // Every gateway finds a new leader within 700 ms.
    for (let at = 0; at + 7 <= later.length; at += 1) {
      const sum = later.slice(at, at + 7).reduce((all, each) => all + each, 0);
      expect(sum).toBeGreaterThanOrEqual(gateways);
    }
  });

  it("searches quickly again after a leader was found", () => {
    const backoff = new LeaderSearchBackoff({ random: () => 0.5 });
    for (let count = 0; count < 20; count += 1) backoff.next();
    backoff.reset();
    expect(backoff.next()).toBe(50);
  });
});

import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { describe, expect, it } from "vitest";
import { PartSelector } from "./part_selector.ts";
import { RetryBudget } from "./retry_budget.ts";
import { SharedRateLimiter } from "./shared_rate_limiter.ts";

function createSeededRandom(seed: number): { readonly random: () => number } {
  const generator = xoroshiro128plus(seed);
  return { random: () => uniformFloat64(generator) };
}

describe("RetryBudget", () => {
  it("keeps nine gateways together within the ratio and slack", () => {
    const options = { ratio: 0.2, windowMilliseconds: 10_000, slack: 58 };
    const gateways = Array.from({ length: 9 }, () => new RetryBudget(options));
    let retries = 0;
    for (let request = 0; request < 900; request += 1) {
      const budget = gateways[request % 9]!;
      budget.recordRequest(request);
      // Every request fails and is retried as often as the budget allows.
      while (budget.take(request, 9)) retries += 1;
    }
    expect(retries).toBeGreaterThan(60);
    expect(retries).toBeLessThanOrEqual(900 * 0.2 + 58);
  });

  it("keeps a gateway's share while others are temporarily not counted", () => {
    const budget = new RetryBudget({
      ratio: 0,
      windowMilliseconds: 10_000,
      slack: 90,
    });
    expect(budget.take(0, 9)).toBe(true);
    // A new leader has been contacted by two gateways so far.
    let retries = 1;
    while (budget.take(11_000, 2)) retries += 1;
    expect(retries).toBeLessThanOrEqual(10);
  });

  it("leaves the slack to others while the number of gateways is unknown", () => {
    const budget = new RetryBudget({
      ratio: 0,
      windowMilliseconds: 10_000,
      slack: 90,
    });
    expect(budget.take(0, 0)).toBe(false);
    expect(budget.take(100, 9)).toBe(true);
  });

  it("allows retries again after the window has passed", () => {
    const budget = new RetryBudget({
      ratio: 0,
      windowMilliseconds: 1000,
      slack: 2,
    });
    expect(budget.take(0, 1)).toBe(true);
    expect(budget.take(500, 1)).toBe(false);
    expect(budget.take(1500, 1)).toBe(true);
  });
});

describe("SharedRateLimiter", () => {
  it("keeps three gateways together below a cold target's rate limit", () => {
    const limiters = Array.from({ length: 3 }, () => new SharedRateLimiter());
    const sent: number[] = [];
    for (let now = 0; now < 10_000; now += 10) {
      for (const limiter of limiters) {
        if (!limiter.allows(now, { perSecond: 5.8, gateways: 3 })) continue;
        limiter.take(now);
        sent.push(now);
      }
    }
    const maximumPerSecond = Math.max(
      ...sent.map((start) =>
        sent.filter((at) => at >= start && at < start + 1000).length
      ),
    );
    expect(maximumPerSecond).toBeLessThanOrEqual(5.8 * 1.5 + 5);
    expect(sent.length / 10).toBeGreaterThan(4);
  });
});

describe("PartSelector", () => {
  const parts = [
    { service: "a", weight: 90 },
    { service: "b", weight: 10 },
    { service: "c", weight: 0 },
  ];
  const route = { name: "r", parts };

  function shareOf(selected: readonly string[], service: string): number {
    return selected.filter((each) => each === service).length / selected.length;
  }

  it("distributes requests by weight, evenly over time", () => {
    const selector = new PartSelector({ random: () => 0.5 });
    const selected = Array.from({ length: 40 }, () => selector.next(route));
    expect(shareOf(selected, "a")).toBeCloseTo(0.9, 1);
    expect(shareOf(selected, "b")).toBeCloseTo(0.1, 1);
    expect(selected).not.toContain("c");
    expect(selected.slice(0, 20)).toContain("b");
  });

  it("matches the weights across many gateways with few requests each", () => {
    const { random } = createSeededRandom(7);
    const selected = Array.from({ length: 200 }, () => {
      const selector = new PartSelector({ random });
      return [selector.next(route), selector.next(route), selector.next(route)];
    }).flat();
    expect(shareOf(selected, "b")).toBeGreaterThan(0.06);
    expect(shareOf(selected, "b")).toBeLessThan(0.14);
  });

  it("applies the weights of routes that share services independently", () => {
    const { random } = createSeededRandom(7);
    const selector = new PartSelector({ random });
    const other = {
      name: "s",
      parts: [{ service: "a", weight: 20 }, { service: "b", weight: 80 }],
    };
    const first: string[] = [];
    const second: string[] = [];
    for (let count = 0; count < 200; count += 1) {
      first.push(selector.next(route));
      second.push(selector.next(other));
    }
    expect(shareOf(first, "b")).toBeCloseTo(0.1, 1);
    expect(shareOf(second, "b")).toBeCloseTo(0.8, 1);
  });

  it("applies changed weights immediately", () => {
    const selector = new PartSelector({ random: () => 0.2 });
    for (let count = 0; count < 31; count += 1) selector.next(route);
    const reweighted = {
      name: "r",
      parts: [{ service: "a", weight: 0 }, { service: "b", weight: 5 }],
    };
    const selected = Array.from(
      { length: 20 },
      () => selector.next(reweighted),
    );
    expect(shareOf(selected, "b")).toBe(1);
  });
});

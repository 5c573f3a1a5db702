import { describe, expect, it } from "vitest";
import { ColdRate } from "./cold_rate.ts";
import { PartChoice } from "./part_choice.ts";
import { RetryBudget } from "./retry_budget.ts";

describe("RetryBudget", () => {
  it("keeps nine gateways together within ratio and slack", () => {
    const options = { ratio: 0.2, windowMilliseconds: 10_000, slack: 58 };
    const gateways = Array.from({ length: 9 }, () => new RetryBudget(options));
    let repeats = 0;
    for (let request = 0; request < 900; request += 1) {
      const budget = gateways[request % 9]!;
      budget.noteRequest(request);
      // Every request fails, and is wanted again as often as may be.
      while (budget.take(request, 9)) repeats += 1;
    }
    expect(repeats).toBeGreaterThan(60);
    expect(repeats).toBeLessThanOrEqual(900 * 0.2 + 58);
  });

  it("gives no gateway more when others are not counted for a moment", () => {
    const budget = new RetryBudget({
      ratio: 0,
      windowMilliseconds: 10_000,
      slack: 90,
    });
    expect(budget.take(0, 9)).toBe(true);
    // A new leader has heard of two gateways so far.
    let repeats = 1;
    while (budget.take(11_000, 2)) repeats += 1;
    expect(repeats).toBeLessThanOrEqual(10);
  });

  it("leaves the slack to others while their count is not known", () => {
    const budget = new RetryBudget({
      ratio: 0,
      windowMilliseconds: 10_000,
      slack: 90,
    });
    expect(budget.take(0, 0)).toBe(false);
    expect(budget.take(100, 9)).toBe(true);
  });

  it("gives repeats back when the window has passed", () => {
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

describe("ColdRate", () => {
  it("keeps three gateways together below what a cold target bears", () => {
    const rates = Array.from({ length: 3 }, () => new ColdRate());
    const sent: number[] = [];
    for (let now = 0; now < 10_000; now += 10) {
      for (const rate of rates) {
        if (!rate.isDue(now)) continue;
        rate.take(now, { perSecond: 5.8, gateways: 3 });
        sent.push(now);
      }
    }
    const busiest = Math.max(
      ...sent.map((start) =>
        sent.filter((at) => at >= start && at < start + 1000).length
      ),
    );
    expect(busiest).toBeLessThanOrEqual(5.8 * 1.5 + 5);
    expect(sent.length / 10).toBeGreaterThan(4);
  });
});

describe("PartChoice", () => {
  it("deals requests by weight, evenly over time", () => {
    const parts = [
      { service: "a", weight: 90 },
      { service: "b", weight: 10 },
      { service: "c", weight: 0 },
    ];
    const choice = new PartChoice();
    const dealt = Array.from({ length: 40 }, () => choice.next(parts));
    expect(dealt.filter((each) => each === "a")).toHaveLength(36);
    expect(dealt.filter((each) => each === "b")).toHaveLength(4);
    expect(dealt.slice(0, 20)).toContain("b");
  });
});

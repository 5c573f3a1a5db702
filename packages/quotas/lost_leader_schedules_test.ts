import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { BorrowerRecorder } from "./borrower_recorder.ts";
import { expectWithinTotals, gateways, play } from "./quota_plan_fixture.ts";
import type { CreateRecorder, Fault, Plan } from "./quota_plan_fixture.ts";

/** Lends to gateways that no committed entry names. */
class LendsBeforeCommit extends BorrowerRecorder {
  override mayLend(): boolean {
    return true;
  }

  override bound(_id: string, _workspace: string, total: number): number {
    return total;
  }
}

/** Lends by bounds that no committed entry states. */
class LendsAboveBound extends BorrowerRecorder {
  override bound(_id: string, _workspace: string, total: number): number {
    return total;
  }
}

/** Removes borrowers that have been silent, though their loans have not lapsed. */
class RemovesEarly extends BorrowerRecorder {
  readonly #seenAt = new Map<string, number>();
  #now = 0;

  override add(id: string): void {
    this.#seenAt.set(id, this.#now);
    super.add(id);
  }

  override tick(now: number): void {
    this.#now = now;
    for (const id of this.committed.keys()) {
      const silence = now - (this.#seenAt.get(id) ?? -Infinity);
      if (silence > 1500) super.remove(id, -Infinity);
    }
    super.tick(now);
  }
}

function plansWith(
  faultsOf: (start: number, gateway: number) => readonly Fault[],
  { offset = 2000, hotShare = 0.7 } = {},
): fc.Arbitrary<Plan> {
  return fc.record({
    // Callers have moved to the gateway `offset` milliseconds before.
    start: fc.integer({ min: 1, max: 3 }).map((turn) => turn * 6000 + offset),
    seed: fc.integer({ min: 1, max: 1_000_000 }),
    ratePerSecond: fc.integer({ min: 20, max: 60 }),
  }).map(({ start, seed, ratePerSecond }) => ({
    seed,
    limit: { ratePerSecond, burst: 0 },
    load: 5,
    hotShare,
    loss: 0,
    jitterMilliseconds: 1,
    settings: { windowMilliseconds: 5000, overage: 0.1, slack: 20 },
    faults: faultsOf(start, Math.floor(start / 6000) % gateways),
  }));
}

/**
 * No entry is committed until the first leader is lost, and two gateways are cut
 * off shortly before.
 */
const unrecordedPlans = plansWith((start, gateway) => [
  { at: 1, kind: "stall-commits", milliseconds: start + 3000 },
  { at: start, kind: "cut-off", gateway, milliseconds: 12_000 },
  {
    at: start,
    kind: "cut-off",
    gateway: (gateway + 1) % gateways,
    milliseconds: 12_000,
  },
  { at: start + 100, kind: "lose-leader" },
]);

/** A gateway is cut off, and its leader is replaced while it still sends. */
const silentPlans = plansWith((start, gateway) => [
  { at: start, kind: "cut-off", gateway, milliseconds: 12_000 },
  { at: start + 1700, kind: "lose-leader" },
]);

/**
 * The same, with all callers at the gateway, which needs a higher bound. They
 * leave it 2 s later, when it has used its allowance for the second time.
 */
const unboundedPlans = plansWith((start, gateway) => [
  { at: start, kind: "cut-off", gateway, milliseconds: 12_000 },
  { at: start + 100, kind: "lose-leader" },
], { offset: 4000, hotShare: 1 });

/** Two leaders are lost within the time in which loans lapse. */
const twoLeaderPlans = plansWith((start, gateway) => [
  { at: start, kind: "cut-off", gateway, milliseconds: 12_000 },
  { at: start + 100, kind: "lose-leader" },
  { at: start + 1700, kind: "lose-leader" },
]);

describe("Schedules of a lost leader", () => {
  /** Returns what was violated; undefined for nothing. */
  function violationOf(
    plans: fc.Arbitrary<Plan>,
    create?: CreateRecorder,
  ): string | undefined {
    const { failed, errorInstance } = fc.check(
      fc.property(plans, (plan) => {
        const { record, totals } = play(plan, create);
        expectWithinTotals(record, totals, {
          ...plan.settings,
          memoryMilliseconds: 0,
        });
      }),
      { numRuns: 20, seed: 1, endOnFailure: true },
    );
    return failed ? String(errorInstance) : undefined;
  }

  // The faults below would show nothing if these failed without them.
  it.each([
    ["a gateway is not recorded", unrecordedPlans],
    ["a gateway is silent", silentPlans],
    ["a gateway has a high bound", unboundedPlans],
    ["two leaders are lost", twoLeaderPlans],
  ])("stay within the total if %s", (_name, plans) => {
    expect(violationOf(plans)).toBeUndefined();
  });

  it("exceed the total if loans do not wait for the commit", () => {
    const create: CreateRecorder = (options) => new LendsBeforeCommit(options);
    expect(violationOf(unrecordedPlans, create)).toContain("in the window");
  });

  it("exceed the total if a borrower is removed before its loans lapse", () => {
    const create: CreateRecorder = (options) => new RemovesEarly(options);
    expect(violationOf(silentPlans, create)).toContain("in the window");
  });

  it("exceed the total if a bound is raised before the commit", () => {
    const create: CreateRecorder = (options) => new LendsAboveBound(options);
    expect(violationOf(unboundedPlans, create)).toContain("in the window");
  });
});

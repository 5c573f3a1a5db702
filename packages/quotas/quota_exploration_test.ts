import fc from "fast-check";
import { describe, it } from "vitest";
import { lapseMilliseconds } from "./lent_allowances_fixture.ts";
import {
  expectWithinTotals,
  gateways,
  play,
  until,
} from "./quota_plan_fixture.ts";
import type { Fault, Plan } from "./quota_plan_fixture.ts";

/** QUOTA_RUNS=2000 for a longer exploration. */
const runs = Number(process.env["QUOTA_RUNS"] ?? 60);

const at = fc.integer({ min: 2000, max: until - 5000 });
const gateway = fc.integer({ min: 0, max: gateways - 1 });
const milliseconds = fc.integer({ min: 100, max: 12_000 });
const rate = fc.integer({ min: 1, max: 60 });

const networkFaults: readonly fc.Arbitrary<Fault>[] = [
  fc.record({ at, kind: fc.constant("pause" as const), gateway, milliseconds }),
  fc.record({
    at,
    kind: fc.constant("cut-off" as const),
    gateway,
    milliseconds,
  }),
  fc.record({ at, kind: fc.constant("restart" as const), gateway }),
];
const leaderFaults: readonly fc.Arbitrary<Fault>[] = [
  fc.record({ at, kind: fc.constant("lose-leader" as const) }),
  fc.record({
    at,
    kind: fc.constant("replace-leader" as const),
    milliseconds,
    isFlapping: fc.boolean(),
  }),
  fc.record({
    at,
    kind: fc.constant("freeze-leader" as const),
    milliseconds: fc.integer({ min: 100, max: 4000 }),
  }),
  fc.record({ at, kind: fc.constant("lose-both" as const), gateway }),
  fc.record({ at, kind: fc.constant("stall-commits" as const), milliseconds }),
];
const limitFault: fc.Arbitrary<Fault> = fc.record({
  at,
  kind: fc.constant("limit" as const),
  rate,
});

function plans(
  faults: readonly fc.Arbitrary<Fault>[],
  maximumLoss: number,
): fc.Arbitrary<Plan> {
  return fc.record({
    seed: fc.integer({ min: 1, max: 1_000_000 }),
    limit: fc.record({
      ratePerSecond: rate,
      burst: fc.integer({ min: 0, max: 60 }),
    }),
    load: fc.constantFrom(0.9, 2, 5),
    loss: fc.double({ min: 0, max: maximumLoss, noNaN: true }),
    jitterMilliseconds: fc.constantFrom(1, 40, 800),
    settings: fc.constantFrom(
      { windowMilliseconds: 5000, overage: 0.1, slack: 20 },
      { windowMilliseconds: 5000, overage: 0, slack: 0 },
      { windowMilliseconds: 1000, overage: 0.1, slack: 5 },
    ),
    faults: fc.array(fc.oneof(...faults), { maxLength: 6 }),
  });
}

describe("Lent allowances in random schedules", () => {
  // A loan that is counted at two gateways would exceed the total.
  it("stay within the total through pauses, losses and new leaders", () => {
    fc.assert(
      fc.property(plans([...networkFaults, ...leaderFaults], 0.3), (plan) => {
        const { record, totals } = play(plan);
        expectWithinTotals(record, totals, {
          ...plan.settings,
          memoryMilliseconds: 0,
        });
      }),
      { numRuns: runs },
    );
  });

  it("stay within the largest total until loans of a former limit lapse", () => {
    fc.assert(
      fc.property(
        plans([...networkFaults, ...leaderFaults, limitFault], 0.3),
        (plan) => {
          const { record, totals } = play(plan);
          expectWithinTotals(record, totals, {
            ...plan.settings,
            memoryMilliseconds: 2 * lapseMilliseconds(plan.settings),
          });
        },
      ),
      { numRuns: runs },
    );
  });

  // An operator lowers a limit to end an overload, and waits for the effect.
  it("keep to a lowered limit 2.5 s after it was lowered", () => {
    fc.assert(
      fc.property(plans([limitFault], 0), (plan) => {
        const settled = { ...plan, jitterMilliseconds: 1 };
        const { record, totals } = play(settled);
        expectWithinTotals(record, totals, {
          ...plan.settings,
          memoryMilliseconds: 2500 + plan.settings.windowMilliseconds,
        });
      }),
      { numRuns: runs },
    );
  });
});

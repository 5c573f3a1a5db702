import { describe, expect, it } from "vitest";
import { policies } from "./pace_policies_fixture.ts";
import { NewTarget } from "./pace_scenario_fixture.ts";
import type { PaceResult, PaceScenario } from "./pace_scenario_fixture.ts";
import { PaceSimulation } from "./pace_simulation_fixture.ts";

/** Prints the table of docs/design/target_pace.md if the variable is set. */
const printsTable = process.env["PACE_TABLE"] === "1";
const seeds = printsTable ? 16 : 8;

type Conditions = Omit<PaceScenario, "policy" | "seed">;

/** Returns the mean results of runs with different seeds. */
function play(
  name: keyof typeof policies,
  conditions: Conditions,
): PaceResult {
  const results = Array.from(
    { length: seeds },
    (_, index) =>
      new PaceSimulation({
        ...conditions,
        policy: policies[name],
        seed: index + 1,
      }).run(),
  );
  const mean = (value: (result: PaceResult) => number) =>
    results.reduce((sum, result) => sum + value(result), 0) / seeds;
  return {
    rejected: mean(({ rejected }) => rejected),
    othersRejected: mean(({ othersRejected }) => othersRejected),
    crashes: mean(({ crashes }) => crashes),
    broken: mean(({ broken }) => broken),
    probes: mean(({ probes }) => probes),
    completed: mean(({ completed }) => completed),
    earlyShare: mean(({ earlyShare }) => earlyShare),
    settledShare: mean(({ settledShare }) => settledShare),
    unserved: mean(({ unserved }) => unserved),
    received: mean(({ received }) => received),
  };
}

/** Share of the others' load that a healthy target carries after 2 s. */
const requiredShare = 0.9;
const counts = [1, 17, 88];

describe("pacing by shares", () => {
  for (const choosers of counts) {
    for (const slots of [2, 4]) {
      const conditions = { choosers, slots, load: 0.85 };
      describe(`with ${choosers} choosers and ${slots} slots`, () => {
        it("does not leave a healthy target idle", () => {
          const { settledShare } = play("share", {
            ...conditions,
            kind: NewTarget.healthy,
          });
          expect(settledShare).toBeGreaterThanOrEqual(requiredShare);
        });

        it("does not flood a target that is slow at first", () => {
          const paced = play("share", { ...conditions, kind: NewTarget.slow });
          const none = play("none", { ...conditions, kind: NewTarget.slow });
          expect(paced.rejected).toBeLessThanOrEqual(none.rejected * 0.85);
        });

        it("does not crash a target that is fragile at first", () => {
          const paced = play("share", {
            ...conditions,
            kind: NewTarget.fragile,
          });
          const none = play("none", {
            ...conditions,
            kind: NewTarget.fragile,
          });
          // With one chooser, neither crashes it in most runs.
          expect(paced.crashes).toBeLessThanOrEqual(
            Math.max(0.25, none.crashes / 2),
          );
        });
      });
    }
  }

  it("spares a new target the flood when every chooser has a backlog", () => {
    const conditions = {
      choosers: 88,
      slots: 2,
      load: 1.1,
      kind: NewTarget.healthy,
    };
    const paced = play("share", conditions);
    expect(paced.rejected).toBeLessThan(play("none", conditions).rejected / 2);
    expect(paced.settledShare).toBeGreaterThanOrEqual(requiredShare);
  });

  it("holds if one chooser receives most requests", () => {
    const { settledShare, rejected } = play("share", {
      choosers: 88,
      slots: 2,
      load: 0.85,
      kind: NewTarget.healthy,
      firstChooserWeight: 1000,
    });
    expect(settledShare).toBeGreaterThanOrEqual(requiredShare);
    expect(rejected).toBe(0);
  });
});

if (printsTable) {
  describe("policies of slow start", () => {
    it("are compared", () => {
      const rows = [];
      for (const load of [0.6, 0.85, 1.1]) {
        for (const choosers of counts) {
          for (const slots of [2, 4]) {
            for (const kind of Object.values(NewTarget)) {
              const conditions = { load, choosers, slots, kind };
              for (const name of Object.keys(policies)) {
                const result = play(name as keyof typeof policies, conditions);
                rows.push({ ...conditions, policy: name, ...result });
              }
            }
          }
        }
      }
      console.log(rows.map((row) => JSON.stringify(row)).join("\n"));
    }, 900_000);
  });
}

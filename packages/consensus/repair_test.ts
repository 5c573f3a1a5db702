import { describe, expect, it } from "vitest";
import { planVoters } from "./repair.ts";
import type { ReplicaStanding } from "./repair.ts";
import type { Configuration } from "./types.ts";

const places: Readonly<Record<string, readonly [string, string]>> = {
  a: ["north", "north-1"],
  b: ["south", "south-1"],
  c: ["west", "west-1"],
  d: ["north", "north-2"],
  e: ["south", "south-2"],
  f: ["west", "west-2"],
};

function plan(
  configuration: Configuration,
  differing: Readonly<Record<string, Partial<ReplicaStanding>>> = {},
) {
  const standings = Object.entries(places).map(([replica, place]) => ({
    replica,
    region: place[0],
    dataCentre: place[1],
    available: true,
    lost: false,
    caughtUp: false,
    ...differing[replica],
  }));
  return planVoters({ configuration, self: "a", voters: 3, standings });
}

const lost = { lost: true, available: false };
const caughtUp = { caughtUp: true };

describe("planVoters", () => {
  it("leaves a whole and well spread set alone", () => {
    expect(plan({ voters: ["a", "b", "c"], learners: [] })).toBeNull();
  });

  it("replaces a lost voter by a spare of its region, step by step", () => {
    const voters = ["a", "b", "c"];
    expect(plan({ voters, learners: [] }, { c: lost }))
      .toEqual({ voters, learners: ["f"] });
    expect(plan({ voters, learners: ["f"] }, { c: lost })).toBeNull();
    expect(plan({ voters, learners: ["f"] }, { c: lost, f: caughtUp }))
      .toEqual({ voters: ["a", "b", "c", "f"], learners: [] });
    expect(plan({ voters: ["a", "b", "c", "f"], learners: [] }, { c: lost }))
      .toEqual({ voters: ["a", "b", "f"], learners: [] });
  });

  it("takes another data centre when a whole region is lost", () => {
    const next = plan({ voters: ["a", "b", "c"], learners: [] }, {
      c: lost,
      f: lost,
    });
    expect(next?.learners).toEqual(["d"]);
  });

  it("spreads the voters again when the region is back", () => {
    const next = plan({ voters: ["a", "b", "d"], learners: [] });
    expect(next?.learners).toEqual(["c"]);
    expect(plan({ voters: ["a", "b", "d", "c"], learners: [] })?.voters)
      .toEqual(["a", "b", "c"]);
  });

  it("drops a learner that is lost or no longer needed", () => {
    const whole = { voters: ["a", "b", "c"], learners: ["f"] };
    expect(plan(whole)?.learners).toEqual([]);
    expect(plan(whole, { c: lost, f: lost })?.learners).toEqual([]);
  });
});

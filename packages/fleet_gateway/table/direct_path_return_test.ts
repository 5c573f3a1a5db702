import type { WatchAnswer } from "@kingcupglade/fleet_control";
import { describe, expect, it } from "vitest";
import { awaitDirectPath, DirectPathIntervals } from "./direct_path_return.ts";

const path = { leader: "leader", through: "other" };

describe("the return to the leader itself", () => {
  /** Returns the better path, if the VMs answer as given; others are silent. */
  async function returnWith(
    answers: Readonly<Record<string, WatchAnswer>>,
  ) {
    let left = 3;
    return await awaitDirectPath(path, {
      ask: (address) =>
        answers[address]
          ? Promise.resolve(answers[address])
          : Promise.reject(new Error("silent")),
      intervalMilliseconds: 1,
      hasEnded: () => left-- <= 0,
    });
  }

  const elsewhere = (leader: string | null): WatchAnswer => ({
    kind: "elsewhere",
    leader,
  });

  it("takes place once the leader responds", async () => {
    expect(
      await returnWith({
        leader: { kind: "leads" },
        other: elsewhere("leader"),
      }),
    ).toEqual({ leader: "leader", through: null });
  });

  it("does not take place while the leader is silent", async () => {
    expect(await returnWith({ other: elsewhere("leader") })).toBeNull();
    expect(await returnWith({ other: elsewhere(null) })).toBeNull();
    expect(await returnWith({})).toBeNull();
  });

  // Guards against a path that stays with a leader of before, which never
  // responds again.
  it("follows the VM between to the next leader", async () => {
    expect(await returnWith({ other: { kind: "leads" } }))
      .toEqual({ leader: "other", through: null });
    const other = elsewhere("next");
    expect(await returnWith({ other, next: { kind: "leads" } }))
      .toEqual({ leader: "next", through: null });
    expect(await returnWith({ other }))
      .toEqual({ leader: "next", through: "other" });
  });
});

describe("the intervals of questions to the leader", () => {
  // Guards against a path that works for searches alone and is taken each second.
  it("grow while the path is lost soon after each return", () => {
    const intervals = new DirectPathIntervals();
    const taken = Array.from({ length: 6 }, (_, count) => {
      const now = count * 9000;
      const interval = intervals.next(now);
      intervals.recordReturn(now + 1000);
      return interval;
    });
    expect(taken).toEqual([1000, 2000, 4000, 8000, 16_000, 16_000]);
  });

  it("start again after a path that has lasted", () => {
    const intervals = new DirectPathIntervals();
    intervals.recordReturn(0);
    expect(intervals.next(5000)).toBe(2000);
    intervals.recordReturn(7000);
    expect(intervals.next(20_000)).toBe(1000);
  });
});

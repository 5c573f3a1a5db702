import { ManualClock } from "@kingcupglade/tasks";
import { beforeEach, describe, expect, it } from "vitest";
import { ElapsedClock } from "./elapsed_clock.ts";

describe("ElapsedClock", () => {
  let monotonic: ManualClock;
  let wall: number;
  let clock: ElapsedClock;

  beforeEach(() => {
    monotonic = new ManualClock(100);
    wall = 1_000_000;
    clock = new ElapsedClock({ monotonic, readWallClock: () => wall });
  });

  function elapse(milliseconds: number, wallMilliseconds = milliseconds) {
    const before = clock.now();
    monotonic.advance(milliseconds);
    wall += wallMilliseconds;
    return clock.now() - before;
  }

  it("follows the monotonic clock", () => {
    expect(elapse(250)).toBe(250);
  });

  // A lease that outlives a suspension would let a revoked key pass.
  it("includes a suspension, during which the monotonic clock stops", () => {
    expect(elapse(5, 60_000)).toBe(60_000);
  });

  it("is not set back by a wall clock that jumps back", () => {
    expect(elapse(100, -3_600_000)).toBe(100);
  });

  it("includes a suspension after a jump back that was read", () => {
    elapse(100, -3_600_000);
    expect(elapse(5, 4000)).toBe(4000);
  });

  // The wall clock advances in whole milliseconds: differences that are added
  // up would end leases early under load.
  it("does not add up differences in resolution", () => {
    const before = clock.now();
    for (let at = 0; at < 1000; at += 1) elapse(0.5, at % 2);
    expect(clock.now() - before).toBe(500);
  });

  it("includes a wall clock that is ahead a little each time", () => {
    const before = clock.now();
    for (let at = 0; at < 100; at += 1) elapse(10, 11);
    expect(clock.now() - before).toBeGreaterThan(1085);
  });
});

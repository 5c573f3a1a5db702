import { describe, expect, it } from "vitest";
import { Readiness } from "./readiness.ts";

describe("Readiness", () => {
  function readinessAt(clock: { now: number }): Readiness {
    return new Readiness({ isReady: () => true, now: () => clock.now });
  }

  it("waits until a balancer that asks late was told twice", () => {
    const clock = { now: 10_000 };
    const readiness = readinessAt(clock);
    expect(readiness.ask()).toBe(true);
    readiness.leave();
    clock.now += 3000;
    expect(readiness.isAnnounced).toBe(false);
    expect(readiness.ask()).toBe(false);
    expect(readiness.isAnnounced).toBe(false);
    expect(readiness.ask()).toBe(false);
    expect(readiness.isAnnounced).toBe(true);
  });

  it("waits for no balancer that never asked, or is gone", () => {
    const clock = { now: 10_000 };
    const never = readinessAt(clock);
    never.leave();
    expect(never.isAnnounced).toBe(true);
    const gone = readinessAt(clock);
    gone.ask();
    clock.now += 6000;
    gone.leave();
    expect(gone.isAnnounced).toBe(true);
  });
});

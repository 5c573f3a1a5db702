import { describe, expect, it } from "vitest";
import { StopSchedule } from "./stop_schedule.ts";

// Guards against requests that a stopping VM accepts and cannot finish before it
// is killed.
describe("StopSchedule", () => {
  const grace = 6000;

  it("keeps every deadline while the VM does not stop", () => {
    expect(new StopSchedule(grace).deadlineFor(99_000, 5)).toBe(99_000);
  });

  it("ends early requests before the kill", () => {
    const schedule = new StopSchedule(grace);
    schedule.start(100);
    expect(schedule.deadlineFor(99_000, 200)).toBeLessThan(100 + grace);
    expect(schedule.deadlineFor(1000, 200)).toBe(1000);
  });

  it("refuses late requests that may outlast the grace period", () => {
    const schedule = new StopSchedule(grace);
    schedule.start(100);
    expect(schedule.deadlineFor(99_000, 3500)).toBeUndefined();
    expect(schedule.deadlineFor(4500, 3500)).toBe(4500);
  });

  it("does not extend the stop at a second signal", () => {
    const schedule = new StopSchedule(grace);
    schedule.start(100);
    schedule.start(5000);
    expect(schedule.deadlineFor(99_000, 5100)).toBeUndefined();
  });

  it("closes all connections before the kill", () => {
    const schedule = new StopSchedule(grace);
    schedule.start(100);
    expect(schedule.connectionsMilliseconds(100)).toBeLessThan(grace);
    expect(schedule.connectionsMilliseconds(4100)).toBeLessThan(2000);
    expect(schedule.connectionsMilliseconds(9000)).toBe(0);
  });
});

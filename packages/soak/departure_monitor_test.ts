import { beforeEach, describe, expect, it } from "vitest";
import { DepartureMonitor } from "./departure_monitor.ts";

describe("DepartureMonitor", () => {
  let now: number;
  let readDelay: number;
  let monitor: DepartureMonitor;

  beforeEach(() => {
    now = 0;
    readDelay = 0;
    monitor = new DepartureMonitor({
      now: () => now,
      readDelay: () => readDelay,
    });
  });

  function at(time: number, report: () => void): void {
    now = time;
    report();
  }

  function leave(ids: readonly string[]): void {
    for (const id of ids) {
      at(0, () => monitor.recordRequest(id, "g"));
      at(100, () => monitor.recordDeparture(id));
    }
  }

  const few = ["a", "b", "c"];
  const many = Array.from({ length: 8 }, (_, index) => `r${index}`);

  function arriveAt(time: number, ids: readonly string[]): void {
    for (const id of ids) at(time, () => monitor.recordArrival(id));
  }

  function runUntil(time: number, ids: readonly string[]): void {
    for (const id of ids) at(time, () => monitor.recordRun(id, 2000));
  }

  it("detects more than a few late arrivals", () => {
    leave([...few, "d"]);
    arriveAt(600, [...few, "d"]);
    arriveAt(601, few);
    expect(monitor.findViolations()).toEqual([]);
    arriveAt(700, ["d"]);
    expect(monitor.findViolations()).toMatchObject([
      expect.stringContaining("4 requests reached a target"),
    ]);
  });

  it("detects them also from a gateway that was faulty", () => {
    monitor.recordFault("g", true);
    leave(many);
    arriveAt(900, many);
    expect(monitor.findViolations()).toHaveLength(1);
  });

  // A close that is ignored in one state, or a cancellation that is held back.
  it("detects work on over a quarter of the longer runs", () => {
    leave(many);
    runUntil(1101, many.slice(0, 2));
    runUntil(599, many.slice(2));
    expect(monitor.findViolations()).toEqual([]);
    runUntil(2000, many.slice(0, 2));
    expect(monitor.findViolations()).toMatchObject([
      expect.stringContaining("at work on 4 of 10"),
    ]);
  });

  it("does not judge runs that would have ended, or of faulty gateways", () => {
    leave(many);
    for (const id of many) at(590, () => monitor.recordRun(id, 590));
    at(550, () => monitor.recordFault("g", true));
    runUntil(2000, many);
    expect([monitor.judgedCount, monitor.findViolations()]).toEqual([0, []]);
  });

  it("does not judge what this process read late", () => {
    leave(many);
    readDelay = 300;
    arriveAt(900, many);
    runUntil(900, many);
    expect([monitor.judgedCount, monitor.findViolations()]).toEqual([0, []]);
  });
});

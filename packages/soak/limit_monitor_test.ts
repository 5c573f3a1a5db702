import { beforeEach, describe, expect, it } from "vitest";
import { LimitMonitor } from "./limit_monitor.ts";

describe("LimitMonitor", () => {
  let violations: string[];
  let monitor: LimitMonitor;

  beforeEach(() => {
    violations = [];
    monitor = new LimitMonitor(
      { target: "t", perSecond: 1 },
      (violation) => violations.push(violation),
    );
    monitor.recordResponse("g1", 0);
  });

  function arrive(from: number, count: number): void {
    for (let at = 0; at < count; at += 1) {
      monitor.recordArrival("g1", from + at * 100);
    }
  }

  it("reports more than 1.5 times the limit and 5 requests in 4 s", () => {
    arrive(3000, 11);
    expect(violations).toEqual([]);
    arrive(4100, 1);
    expect(violations).toHaveLength(1);
  });

  it("counts requests of the last 4 s only", () => {
    arrive(3000, 11);
    arrive(8000, 11);
    expect(violations).toEqual([]);
  });

  it("does not count requests before gateways had time to act", () => {
    arrive(0, 30);
    expect(violations).toEqual([]);
  });

  it("does not count a gateway that was not told, or soon after a fault", () => {
    for (let at = 0; at < 30; at += 1) monitor.recordArrival("g2", 3000 + at);
    monitor.recordFault("g1", true, 3000);
    monitor.recordFault("g1", false, 4000);
    monitor.recordResponse("g1", 4000);
    arrive(4000, 30);
    expect(violations).toEqual([]);
    arrive(7000, 12);
    expect(violations).toHaveLength(1);
  });

  it("starts anew with a new incarnation", () => {
    monitor.restart();
    arrive(3000, 30);
    expect(violations).toEqual([]);
  });
});

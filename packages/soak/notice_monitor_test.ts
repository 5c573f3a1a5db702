import { beforeEach, describe, expect, it } from "vitest";
import { NoticeMonitor } from "./notice_monitor.ts";

describe("NoticeMonitor", () => {
  let violations: string[];
  let monitor: NoticeMonitor;

  beforeEach(() => {
    violations = [];
    monitor = new NoticeMonitor("t", (each) => violations.push(each));
  });

  function arrive(...times: readonly number[]): void {
    for (const at of times) monitor.recordArrival("g", at);
  }

  it("detects the third request in a pause", () => {
    monitor.recordPause("g", 0, 1500);
    arrive(100, 499, 600, 1499);
    expect(violations).toHaveLength(0);
    monitor.recordArrival("other", 1000);
    arrive(1200);
    expect(violations).toHaveLength(1);
  });

  it("allows requests after the pause", () => {
    monitor.recordPause("g", 0, 1500);
    arrive(1500, 1501, 1502, 1503);
    expect(violations).toHaveLength(0);
  });

  it("detects a request to a target that leaves, until it restarts", () => {
    monitor.recordLeaving("g", 0);
    arrive(400);
    expect(violations).toHaveLength(0);
    arrive(600);
    expect(violations).toHaveLength(1);
    monitor.restart();
    arrive(700);
    expect(violations).toHaveLength(1);
  });

  it("excuses a gateway that was faulty since", () => {
    monitor.recordLeaving("g", 0);
    monitor.recordFault("g", true);
    monitor.recordLeaving("g", 10);
    monitor.recordFault("g", false);
    arrive(900);
    expect(violations).toHaveLength(0);
  });
});

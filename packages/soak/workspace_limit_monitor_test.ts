import { beforeEach, describe, expect, it } from "vitest";
import { WorkspaceLimitMonitor } from "./workspace_limit_monitor.ts";

describe("WorkspaceLimitMonitor", () => {
  let now: number;
  let readDelay: number;
  let violations: string[];
  let monitor: WorkspaceLimitMonitor;

  beforeEach(() => {
    now = 0;
    readDelay = 0;
    violations = [];
    monitor = new WorkspaceLimitMonitor({
      limit: {
        workspace: "acme",
        ratePerSecond: 20,
        burst: 10,
        windowSeconds: 5,
        overage: 0.1,
        slack: 20,
      },
      now: () => now,
      readDelay: () => readDelay,
      onViolation: (violation) => violations.push(violation),
    });
  });

  /** Lets requests arrive at even distances in a time. */
  function arrive(count: number, from: number, milliseconds: number): void {
    for (let at = 0; at < count; at += 1) {
      now = from + at * milliseconds / count;
      monitor.recordArrival(`w${from}-${at}`);
    }
  }

  it("detects one request more than the limit in any window", () => {
    arrive(141, 2000, 4900);
    expect(violations).toEqual([]);
    expect(monitor.highestCount).toBe(141);
    arrive(1, 6950, 1);
    expect(violations).toMatchObject([
      expect.stringContaining("142 requests of acme reached targets in 5 s"),
    ]);
  });

  it("allows the limit in one window after another", () => {
    arrive(141, 0, 100);
    arrive(141, 5100, 100);
    expect(violations).toEqual([]);
  });

  it("counts a request once that is retried", () => {
    arrive(141, 0, 100);
    now = 200;
    monitor.recordArrival("w0-3");
    expect(violations).toEqual([]);
  });

  // They may have arrived before the window in which they were read.
  it("does not count what may have waited unread while this process stood still", () => {
    readDelay = 1500;
    arrive(100, 6100, 10);
    readDelay = 0;
    arrive(100, 9700, 100);
    expect(violations).toEqual([]);
    expect(monitor.highestCount).toBe(100);
    arrive(42, 9900, 50);
    expect(violations).toHaveLength(1);
  });
});

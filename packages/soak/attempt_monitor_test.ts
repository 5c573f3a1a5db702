import { beforeEach, describe, expect, it } from "vitest";
import { AttemptEnd, AttemptMonitor } from "./attempt_monitor.ts";
import type { Attempt } from "./attempt_monitor.ts";
import { ProcessLife } from "./process_life.ts";

const stoppedAt = 10_000;
const exitedAt = 12_500;

describe("AttemptMonitor", () => {
  let life: ProcessLife;
  let monitor: AttemptMonitor;

  beforeEach(() => {
    monitor = new AttemptMonitor();
    life = new ProcessLife({
      name: "gateway-0",
      pid: 71,
      startedAt: 1000,
      graceMilliseconds: 3000,
      logFile: "",
      startupMilliseconds: () => 0,
    });
  });

  function send(signal: NodeJS.Signals, at: number): void {
    life.recordSignal({ signal, at, processorMilliseconds: Infinity });
  }

  function record(attempt: Partial<Attempt> = {}): void {
    monitor.record({
      id: "r1",
      gateway: "gateway-0",
      sentAt: exitedAt - 40,
      endedAt: exitedAt + 1,
      end: AttemptEnd.reset,
      isReused: false,
      hasArrived: false,
      ...attempt,
    });
  }

  function stop(): readonly string[] {
    send("SIGTERM", stoppedAt);
    life.recordExit({ at: exitedAt, code: 0, signal: null });
    return monitor.findViolations([life]);
  }

  it("detects a request that a stop leaves without an answer", () => {
    record();
    record({ id: "r2", end: AttemptEnd.cut, isReused: true });
    expect(stop()).toMatchObject([
      expect.stringContaining("left 2 requests without an answer: r1 sent"),
    ]);
  });

  it("allows a request that crosses the close of a kept connection", () => {
    record({ isReused: true });
    expect(stop()).toEqual([]);
  });

  it("detects such a request once it has reached a target", () => {
    record({ isReused: true, hasArrived: true });
    expect(stop()).toHaveLength(1);
  });

  it("detects one that waited before it was reset", () => {
    record({ isReused: true, sentAt: exitedAt - 300 });
    expect(stop()).toHaveLength(1);
  });

  it("allows refused connections, and requests of the next process", () => {
    record({ end: AttemptEnd.refused });
    record({ sentAt: exitedAt + 5, endedAt: exitedAt + 6 });
    expect(stop()).toEqual([]);
  });

  it("excuses a process that was paused or killed", () => {
    send("SIGSTOP", exitedAt - 30);
    record();
    expect(stop()).toEqual([]);
  });
});

import { describe, expect, it } from "vitest";
import { InvariantMonitor } from "./invariant_monitor.ts";

describe("InvariantMonitor", () => {
  it("detects a non-idempotent request that runs twice", () => {
    const monitor = new InvariantMonitor();
    monitor.recordRequest("r1", false);
    monitor.recordExecution("r1", "first");
    expect(monitor.violations).toEqual([]);
    monitor.recordExecution("r1", "second");
    expect(monitor.violations).toHaveLength(1);
  });

  it("allows an idempotent request to run twice", () => {
    const monitor = new InvariantMonitor();
    monitor.recordRequest("r1", true);
    monitor.recordExecution("r1", "first");
    monitor.recordExecution("r1", "second");
    expect(monitor.violations).toEqual([]);
  });

  it("detects a refused request that runs before or after the refusal", () => {
    const monitor = new InvariantMonitor();
    for (const id of ["r1", "r2"]) monitor.recordRequest(id, false);
    monitor.recordExecution("r1", "first");
    monitor.recordResponse("r1", { status: 503, body: "", isDelimited: true });
    monitor.recordResponse("r2", { status: 503, body: "", isDelimited: true });
    monitor.recordExecution("r2", "first");
    expect(monitor.violations).toHaveLength(2);
  });

  it("detects the response to another caller's request", () => {
    const monitor = new InvariantMonitor();
    monitor.recordRequest("r1", true);
    monitor.recordResponse("r1", {
      status: 200,
      body: "r2;",
      isDelimited: true,
    });
    expect(monitor.violations).toHaveLength(1);
  });

  it("detects two owners of one position", () => {
    const monitor = new InvariantMonitor();
    const holder = (name: string) => ({ name, holds: () => true });
    monitor.watch(holder("first"));
    monitor.checkOwner("r1", { target: "first", position: 7 });
    expect(monitor.violations).toEqual([]);
    monitor.watch(holder("second"));
    monitor.checkOwner("r1", { target: "first", position: 7 });
    expect(monitor.violations).toHaveLength(1);
  });

  it("detects the execution of a request that no caller sent", () => {
    const monitor = new InvariantMonitor();
    monitor.recordExecution("r9", "first");
    expect(monitor.violations).toHaveLength(1);
  });
});

import { setTimeout as pause } from "node:timers/promises";
import { createMetrics } from "@kingcupglade/telemetry";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { ProcessorWatch } from "./processor_watch.ts";

const clock = { now: () => performance.now() };

/** Keeps the event loop busy for some time. */
function block(milliseconds: number): void {
  const until = performance.now() + milliseconds;
  while (performance.now() < until);
}

describe("ProcessorWatch", () => {
  let lines: { readonly event: string; readonly [field: string]: unknown }[];
  let watch: ProcessorWatch;

  beforeEach(() => {
    lines = [];
    const info = (event: string, fields: Readonly<Record<string, unknown>>) =>
      void lines.push({ event, ...fields });
    watch = new ProcessorWatch({
      maximumWaitMilliseconds: 100,
      clock,
      logger: { debug() {}, info, warn() {}, error() {} } as never,
      metrics: createMetrics(),
    });
  });

  afterEach(() => watch.close());

  // Guards against a measure that takes an idle process for a busy one.
  it("admits requests while the process is idle", async () => {
    await pause(500);
    expect(watch.admits(1)).toBe(true);
    expect(lines).toEqual([]);
  });

  // Guards against requests that wait behind a queue that grows.
  it("refuses requests while the event loop is late, and says so", async () => {
    let refused = 0;
    for (let round = 0; round < 8; round += 1) {
      block(250);
      if (!watch.admits(1)) refused += 1;
      await pause(1);
    }
    expect(refused).toBeGreaterThanOrEqual(4);
    expect(lines).toHaveLength(1);
    expect(lines[0]).toMatchObject({
      event: "processor-short",
      maximumWaitMilliseconds: 100,
    });
    expect(lines[0]!["use"]).toBeGreaterThanOrEqual(0.9);
  });

  // Guards against a VM that goes on to refuse once it has room.
  it("admits requests again, and counts those that it refused", async () => {
    for (let round = 0; round < 8; round += 1) {
      block(250);
      watch.admits(1);
      await pause(1);
    }
    await pause(600);
    expect(watch.admits(1)).toBe(true);
    await pause(2200);
    expect(lines.at(-1)).toMatchObject({ event: "processor-free" });
    expect(lines.at(-1)!["refused"]).toBeGreaterThanOrEqual(4);
  });
});

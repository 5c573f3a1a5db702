import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { ProcessLife } from "./process_life.ts";
import type { ProcessExit } from "./process_life.ts";

/** Processor time after which every process handles its signals. */
const started = Infinity;

describe("ProcessLife", () => {
  let folder: string;
  let life: ProcessLife;

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), "process-life-"));
    const logFile = join(folder, "gateway-0.log");
    await writeFile(logFile, "first\nsecond\nthird\nfourth\n");
    life = new ProcessLife({
      name: "gateway-0",
      pid: 71,
      startedAt: 1000,
      graceMilliseconds: 3000,
      logFile,
      startupMilliseconds: () => 200,
    });
  });

  afterEach(() => rm(folder, { recursive: true }));

  function send(
    signal: NodeJS.Signals,
    at: number,
    processorMilliseconds = started,
  ): void {
    life.recordSignal({ signal, at, processorMilliseconds });
  }

  function exit(at: number, end: Partial<ProcessExit>): readonly string[] {
    life.recordExit({ at, code: null, signal: null, ...end });
    return life.violations;
  }

  it("detects a process that ends by itself, with its last log lines", () => {
    const [violation] = exit(2500, { code: 1 });
    expect(violation).toContain("gateway-0 (process 71, started at 1.000 s");
    expect(violation).toContain("ended by itself");
    expect(violation).toContain("second | third | fourth");
  });

  it("detects a process that SIGHUP ends", () => {
    send("SIGHUP", 1200);
    expect(exit(1201, { signal: "SIGHUP" })).toHaveLength(1);
  });

  it("allows a signal to end a process before the program runs", () => {
    send("SIGHUP", 1001, 0);
    expect(exit(1002, { signal: "SIGHUP" })).toEqual([]);
  });

  it("detects a stop that a second signal ends", () => {
    send("SIGTERM", 2000);
    send("SIGTERM", 2300);
    expect(exit(2310, { code: 1 })).toHaveLength(1);
  });

  it("detects a stop that outlasts its grace period", () => {
    send("SIGTERM", 2000);
    expect(exit(5300, { code: 0 })).toHaveLength(1);
  });

  it("allows a stop in time, and a kill", () => {
    send("SIGTERM", 2000);
    expect(exit(4900, { code: 0 })).toEqual([]);
    send("SIGKILL", 4900);
    expect(exit(4901, { signal: "SIGKILL" })).toEqual([]);
  });
});

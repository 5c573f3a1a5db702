import { setTimeout as pause } from "node:timers/promises";
import type { LogFields } from "@kingcupglade/telemetry";
import { describe, expect, it } from "vitest";
import { ExitCode } from "./commands/command.ts";
import type { ProcessSignal, ReceivedSignal } from "./process_signals.ts";
import { VmProcess } from "./vm_process.ts";
import type { ServedVm, VmLaunch } from "./vm_process.ts";

const never = new Promise<never>(() => {});

class FakeSignals {
  readonly #counts = new Map<ProcessSignal, number>();
  #listener: (received: ReceivedSignal) => void = () => {};

  listen(listener: (received: ReceivedSignal) => void): void {
    this.#listener = listener;
  }

  send(...signals: readonly ProcessSignal[]): void {
    for (const signal of signals) {
      const count = (this.#counts.get(signal) ?? 0) + 1;
      this.#counts.set(signal, count);
      this.#listener({ signal, count, firstAt: performance.now() });
    }
  }
}

/** Runs a VM whose parts are replaced by a test. */
function runProcess(
  parts: Partial<VmLaunch> & { readonly vm?: Partial<ServedVm> } = {},
) {
  const signals = new FakeSignals();
  const lines: (LogFields & { readonly event: string })[] = [];
  const log = (event: string, fields: LogFields = {}) =>
    void lines.push({ ...fields, event });
  const running = new VmProcess({
    logger: { debug: log, info: log, warn: log, error: log },
    maximumStopMilliseconds: 100,
    prepare: () => Promise.resolve(),
    start: () =>
      Promise.resolve({
        readSettings: () => Promise.resolve(() => {}),
        stop: () => Promise.resolve(),
        ...parts.vm,
      }),
    closeLog: () => Promise.resolve(),
    ...parts,
  }, signals).run();
  const find = (event: string) => lines.find((line) => line.event === event);
  return { signals, running, lines, find };
}

describe("VmProcess", () => {
  describe("that stops", () => {
    it("is not cut off by a further SIGTERM", async () => {
      const { signals, running, find } = runProcess({
        maximumStopMilliseconds: 10_000,
        vm: { stop: () => pause(50) },
      });
      await pause(5);
      signals.send("SIGTERM", "SIGTERM");
      await pause(5);
      signals.send("SIGTERM");
      expect(await running).toBe(ExitCode.done);
      expect(find("stop-cut-off")).toBeUndefined();
    });

    it("ends in time although the stop hangs", async () => {
      const { signals, running, find } = runProcess({
        vm: { stop: () => never },
        closeLog: () => never,
      });
      await pause(5);
      signals.send("SIGTERM");
      expect(await running).toBe(ExitCode.failed);
      expect(find("stop-cut-off")).toMatchObject({ reason: "the time is up" });
    });

    // Guards against a stop that outlasts the grace period, or ends with 1
    // although all requests were answered, as the log's reader is late.
    it("ends in time with 0 although its log is not read", async () => {
      const { signals, running, find } = runProcess({
        maximumStopMilliseconds: 100,
        closeLog: () => never,
      });
      await pause(5);
      const startedAt = performance.now();
      signals.send("SIGTERM");
      expect(await running).toBe(ExitCode.done);
      expect(performance.now() - startedAt).toBeLessThan(700);
      expect(find("stop-cut-off")).toBeUndefined();
    });

    it("ends at once at a second SIGINT", async () => {
      const { signals, running, find } = runProcess({
        maximumStopMilliseconds: 100_000,
        vm: { stop: () => never },
      });
      await pause(5);
      signals.send("SIGINT", "SIGINT");
      expect(await running).toBe(ExitCode.failed);
      expect(find("stop-cut-off")).toMatchObject({
        reason: "interrupted again",
      });
    });
  });

  describe("that starts", () => {
    it("does not start the VM after a stop signal", async () => {
      const { signals, running, find } = runProcess({
        prepare: () => pause(10),
        start: () => Promise.reject(new Error("started")),
      });
      signals.send("SIGTERM");
      expect(await running).toBe(ExitCode.done);
      expect(find("signal-received")).toMatchObject({ phase: "starting" });
      expect(find("start-abandoned")).toBeDefined();
    });

    it("ends in time although the start hangs", async () => {
      const { signals, running, find } = runProcess({ start: () => never });
      await pause(5);
      signals.send("SIGTERM");
      expect(await running).toBe(ExitCode.failed);
      expect(find("stop-cut-off")).toBeDefined();
    });

    it("reports a start that fails after SIGHUP", async () => {
      const { signals, running } = runProcess({
        start: async () => {
          await pause(10);
          throw new Error("no such folder");
        },
      });
      signals.send("SIGHUP");
      await expect(running).rejects.toThrow("no such folder");
    });

    it("reports a failure of the VM before its start has ended", async () => {
      const { running } = runProcess({
        start: (onFailure) => {
          onFailure(new Error("the disk failed"));
          return never;
        },
      });
      await expect(running).rejects.toThrow("the disk failed");
    });
  });

  describe("that receives SIGHUP", () => {
    /** Reads versions 1, 2, 3 … of the settings; the first read is slow. */
    const createReader = (applied: number[]) => {
      let reads = 0;
      return async () => {
        const version = reads += 1;
        await pause(version === 1 ? 40 : 1);
        return () => void applied.push(version);
      };
    };

    it("applies the settings of the last of overlapping reloads last", async () => {
      const applied: number[] = [];
      const { signals, running } = runProcess({
        vm: { readSettings: createReader(applied) },
      });
      await pause(5);
      signals.send("SIGHUP");
      await pause(5);
      signals.send("SIGHUP", "SIGHUP");
      await pause(100);
      signals.send("SIGTERM");
      expect(await running).toBe(ExitCode.done);
      expect(applied).toEqual([1, 2]);
    });

    it("reloads once after the start", async () => {
      const applied: number[] = [];
      const { signals, running } = runProcess({
        prepare: () => pause(10),
        vm: { readSettings: createReader(applied) },
      });
      signals.send("SIGHUP", "SIGHUP");
      await pause(100);
      expect(applied).toEqual([1]);
      signals.send("SIGTERM");
      await running;
    });

    it("does not apply settings while it stops", async () => {
      const applied: number[] = [];
      const { signals, running } = runProcess({
        maximumStopMilliseconds: 10_000,
        vm: { readSettings: createReader(applied), stop: () => pause(60) },
      });
      await pause(5);
      signals.send("SIGHUP", "SIGTERM", "SIGHUP");
      expect(await running).toBe(ExitCode.done);
      expect(applied).toEqual([]);
    });

    it("keeps running if the settings cannot be read", async () => {
      const { signals, running, find } = runProcess({
        vm: { readSettings: () => Promise.reject(new Error("line 3")) },
      });
      await pause(5);
      signals.send("SIGHUP");
      await pause(5);
      expect(find("settings-not-reloaded")).toEqual({
        event: "settings-not-reloaded",
        reason: "line 3",
      });
      signals.send("SIGTERM");
      expect(await running).toBe(ExitCode.done);
    });
  });
});

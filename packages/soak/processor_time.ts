import { spawnSync } from "node:child_process";
import { readFileSync } from "node:fs";

const nanosecondsPerMillisecond = 1e6;
const samples = 3;
/** Startup of the program's own code, relative to that of the runtime. */
const startupRatio = 2;

/**
 * Returns the processor time that the main thread of a process has used, which
 * unlike its age does not depend on how busy the machine is. Infinity where the
 * system does not tell it.
 */
export function readProcessorMilliseconds(pid: number | "self"): number {
  try {
    return parseSchedulerStatistics(
      readFileSync(`/proc/${pid}/schedstat`, "utf8"),
    );
  } catch {
    // The process has ended, or the system has no such file.
    return Infinity;
  }
}

function parseSchedulerStatistics(text: string): number {
  return Number(text.split(" ")[0]) / nanosecondsPerMillisecond;
}

let startupMilliseconds: number | undefined;

/**
 * Returns the processor time after which a process of the program has to handle
 * signals: a multiple of what the runtime uses before the first statement of
 * any program. Before that, a signal has its default action.
 */
export function measureStartupMilliseconds(): number {
  startupMilliseconds ??= startupRatio * Math.max(
    ...Array.from({ length: samples }, measureRuntimeMilliseconds),
  );
  return startupMilliseconds;
}

function measureRuntimeMilliseconds(): number {
  const script =
    "process.stdout.write(fs.readFileSync('/proc/self/schedstat', 'utf8'))";
  const { stdout } = spawnSync(process.execPath, ["-e", script], {
    encoding: "utf8",
  });
  const milliseconds = parseSchedulerStatistics(stdout);
  return Number.isFinite(milliseconds) ? milliseconds : 0;
}

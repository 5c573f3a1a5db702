import { spawnSync } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

const nanosecondsPerMillisecond = 1e6;
const samples = 3;
const startupMargin = 1.25;
const firstStatement =
  `process.stdout.write(require("fs").readFileSync("/proc/self/schedstat"));
process.exit();
`;

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

const startupMilliseconds = new Map<string, number>();

/**
 * Returns the processor time after which a process of the bundled program has to
 * handle signals: a little more than the runtime uses until the first statement
 * of the bundle. Before that, a signal has its default action.
 */
export function measureStartupMilliseconds(bundle: string): number {
  const known = startupMilliseconds.get(bundle);
  if (known !== undefined) return known;
  const folder = mkdtempSync(join(tmpdir(), "startup-"));
  const program = join(folder, "program.cjs");
  writeFileSync(program, firstStatement + readFileSync(bundle, "utf8"));
  const milliseconds = startupMargin * Math.max(
    ...Array.from({ length: samples }, () => measureOnce(program)),
  );
  rmSync(folder, { recursive: true });
  startupMilliseconds.set(bundle, milliseconds);
  return milliseconds;
}

function measureOnce(program: string): number {
  const { stdout } = spawnSync(process.execPath, [program], {
    encoding: "utf8",
  });
  const milliseconds = parseSchedulerStatistics(stdout);
  return Number.isFinite(milliseconds) ? milliseconds : 0;
}

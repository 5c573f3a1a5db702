import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import {
  closeSync,
  openSync,
  readFileSync,
  renameSync,
  writeFileSync,
} from "node:fs";
import { once } from "node:events";
import { ProcessLife } from "./process_life.ts";
import {
  measureStartupMilliseconds,
  readProcessorMilliseconds,
} from "./processor_time.ts";

/** Options of a {@link ServerProcess}. */
export interface ServerProcessOptions {
  readonly name: string;
  /** Path of the bundled program. */
  readonly bundle: string;
  readonly settingsFile: string;
  readonly logFile: string;
  /** Time from a stop signal until the process has to have exited. */
  readonly graceMilliseconds: number;
}

const runningProcesses = new Set<ChildProcess>();

/**
 * Kills all server processes when this process exits, except when SIGKILL ends
 * it.
 */
export function killProcessesOnExit(): void {
  for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"] as const) {
    process.once(signal, () => process.exit(1));
  }
  process.once("exit", () => {
    for (const child of runningProcesses) child.kill("SIGKILL");
  });
}

/** A process of the bundled program, signalled only through its own handle. */
export class ServerProcess {
  readonly name: string;
  /** All processes that ran under this name, the current one last. */
  readonly lives: ProcessLife[] = [];
  readonly #options: ServerProcessOptions;
  #child: ChildProcess | undefined;

  constructor(options: ServerProcessOptions) {
    this.name = options.name;
    this.#options = options;
  }

  /** Starts the process unless it is running. */
  start(): void {
    if (this.#child) return;
    const { bundle, settingsFile, logFile, graceMilliseconds } = this.#options;
    const log = openSync(logFile, "a");
    const child = spawn(
      process.execPath,
      [bundle, "serve", "--settings", settingsFile],
      { stdio: ["ignore", log, log] },
    );
    closeSync(log);
    this.#child = child;
    runningProcesses.add(child);
    const life = new ProcessLife({
      name: this.name,
      pid: child.pid ?? 0,
      startedAt: performance.now(),
      graceMilliseconds,
      logFile,
      startupMilliseconds: () => measureStartupMilliseconds(bundle),
    });
    this.lives.push(life);
    child.once("exit", (code, signal) => {
      runningProcesses.delete(child);
      if (this.#child === child) this.#child = undefined;
      life.recordExit({ at: performance.now(), code, signal });
    });
  }

  /** Path of the log of all processes that ran under this name. */
  get logFile(): string {
    return this.#options.logFile;
  }

  get isPaused(): boolean {
    return this.#child !== undefined && this.lives.at(-1)!.isPaused;
  }

  /** Whether a process runs that has been told to stop or was killed. */
  get isStopping(): boolean {
    return this.#child !== undefined && this.lives.at(-1)!.isStopping;
  }

  /** Sends a signal if the process is running. */
  signal(signal: NodeJS.Signals): void {
    if (!this.#child) return;
    this.lives.at(-1)!.recordSignal({
      signal,
      at: performance.now(),
      processorMilliseconds: readProcessorMilliseconds(this.#child.pid!),
    });
    this.#child.kill(signal);
  }

  /** Sends a signal that ends the process and waits until it has exited. */
  async end(signal: NodeJS.Signals): Promise<void> {
    const child = this.#child;
    if (!child) return;
    const exit = once(child, "exit");
    this.signal(signal);
    // A paused process handles no signal but SIGKILL until SIGCONT resumes it.
    if (this.isPaused) this.signal("SIGCONT");
    await exit;
  }

  /** Waits until the process, if there is one, has exited. */
  async waitUntilExited(): Promise<void> {
    if (this.#child) await once(this.#child, "exit");
  }

  /** Replaces the settings file as a whole with the seeds in another order. */
  rotateSeeds(): void {
    const { settingsFile } = this.#options;
    const text = readFileSync(settingsFile, "utf8");
    const rotated = text.replace(/^seeds = (.*)$/m, (_, list: string) => {
      const [first, ...others] = list.split(",");
      return `seeds = ${[...others, first].join(",")}`;
    });
    writeFileSync(`${settingsFile}.new`, rotated);
    renameSync(`${settingsFile}.new`, settingsFile);
  }
}

import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { closeSync, openSync } from "node:fs";
import { once } from "node:events";

/** Options of a {@link Program}. */
export interface ProgramOptions {
  readonly name: string;
  /** The bundled command line. */
  readonly bundle: string;
  readonly settingsFile: string;
  readonly logFile: string;
}

const running = new Set<ChildProcess>();

/** Ends what runs when this process ends, whatever ends it but a kill. */
export function endProgramsOnExit(): void {
  for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"] as const) {
    process.once(signal, () => process.exit(1));
  }
  process.once("exit", () => {
    for (const child of running) child.kill("SIGKILL");
  });
}

/** One process of the product, which is only ever signalled by its own handle. */
export class Program {
  readonly name: string;
  readonly #options: ProgramOptions;
  #child: ChildProcess | undefined;

  constructor(options: ProgramOptions) {
    this.name = options.name;
    this.#options = options;
  }

  /** Starts it; one that runs goes on. */
  start(): void {
    if (this.#child) return;
    const { bundle, settingsFile, logFile } = this.#options;
    const log = openSync(logFile, "a");
    const child = spawn(
      process.execPath,
      [bundle, "serve", "--settings", settingsFile],
      { stdio: ["ignore", log, log] },
    );
    closeSync(log);
    this.#child = child;
    running.add(child);
    child.once("exit", () => {
      running.delete(child);
      if (this.#child === child) this.#child = undefined;
    });
  }

  /** Sends a signal, if it runs. */
  signal(signal: NodeJS.Signals): void {
    this.#child?.kill(signal);
  }

  /** Ends it and waits until it is gone. */
  async end(signal: NodeJS.Signals): Promise<void> {
    const child = this.#child;
    if (!child) return;
    const exit = once(child, "exit");
    child.kill(signal);
    // One that is paused takes no other signal than this before it goes on.
    child.kill("SIGCONT");
    await exit;
  }
}

import { readFileSync } from "node:fs";

/** A process that was disturbed is excused for this long. */
const excuseMilliseconds = 3000;
/** Time from the exit of a process until this one learns of it. */
const exitNoticeMilliseconds = 250;
const loggedLineCount = 3;
const disturbingSignals: ReadonlySet<NodeJS.Signals> = new Set([
  "SIGKILL",
  "SIGSTOP",
  "SIGCONT",
]);

/** A signal that was sent to a process. */
export interface SentSignal {
  readonly signal: NodeJS.Signals;
  readonly at: number;
  /** Processor time that the main thread had used by then. */
  readonly processorMilliseconds: number;
}

/** How a process ended. */
export interface ProcessExit {
  readonly at: number;
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** Options of a {@link ProcessLife}. */
export interface ProcessLifeOptions {
  readonly name: string;
  readonly pid: number;
  readonly startedAt: number;
  readonly graceMilliseconds: number;
  readonly logFile: string;
  /** Returns the processor time after which it has to handle signals. */
  readonly startupMilliseconds: () => number;
}

/** One process from its start to its exit, and the signals it was sent. */
export class ProcessLife {
  readonly name: string;
  readonly pid: number;
  readonly startedAt: number;
  readonly #options: ProcessLifeOptions;
  readonly #signals: SentSignal[] = [];
  #exit: ProcessExit | undefined;
  #violations: readonly string[] = [];

  constructor(options: ProcessLifeOptions) {
    this.name = options.name;
    this.pid = options.pid;
    this.startedAt = options.startedAt;
    this.#options = options;
  }

  /** When the process was first told to stop. */
  get stopSignalAt(): number | undefined {
    return this.#signals.find(({ signal }) => signal === "SIGTERM")?.at;
  }

  /** Whether the process was told to stop, or killed. */
  get isStopping(): boolean {
    return this.#has("SIGTERM") || this.#has("SIGKILL");
  }

  get isPaused(): boolean {
    const last = this.#signals.findLast(({ signal }) =>
      signal === "SIGSTOP" || signal === "SIGCONT"
    );
    return last?.signal === "SIGSTOP";
  }

  get signals(): readonly SentSignal[] {
    return this.#signals;
  }

  get exit(): ProcessExit | undefined {
    return this.#exit;
  }

  /** What the exit of the process violated. */
  get violations(): readonly string[] {
    return this.#violations;
  }

  recordSignal(sent: SentSignal): void {
    this.#signals.push(sent);
  }

  recordExit(exit: ProcessExit): void {
    this.#exit = exit;
    const fault = this.#findExitFault(exit);
    if (fault === undefined) return;
    this.#violations = [`${this.describe()} ${fault}; ${this.#lastLogLines()}`];
  }

  /** Whether nothing but a stop or a reload disturbed it in a time. */
  isUndisturbed(from: number, to: number): boolean {
    return !this.#signals.some(({ signal, at }) =>
      disturbingSignals.has(signal) && at <= to &&
      at > from - excuseMilliseconds
    );
  }

  /** Name, process id, signals and exit, with times since the start. */
  describe(): string {
    const since = (at: number) => `${Math.round(at - this.startedAt)} ms`;
    const signals = this.#signals.map(({ signal, at, ...sent }) =>
      `${signal} at ${since(at)} (${
        Math.round(sent.processorMilliseconds)
      } ms of processor time)`
    );
    const { at, code, signal } = this.#exit ?? {};
    const exit = at === undefined
      ? "running"
      : `exit with ${signal ?? code} at ${since(at)}`;
    const started = (this.startedAt / 1000).toFixed(3);
    return `${this.name} (process ${this.pid}, started at ${started} s, ${
      [...signals, exit].join(", ")
    })`;
  }

  #findExitFault(exit: ProcessExit): string | undefined {
    if (exit.signal === "SIGKILL" && this.#has("SIGKILL")) return undefined;
    if (this.#isEndedInStartup(exit)) return undefined;
    const stoppedAt = this.stopSignalAt;
    if (stoppedAt === undefined) return "ended by itself";
    if (exit.signal !== null) return `ended by ${exit.signal}`;
    if (exit.code !== 0) return "ended a stop with a failure";
    const duration = exit.at - stoppedAt;
    const { graceMilliseconds } = this.#options;
    return duration > graceMilliseconds + exitNoticeMilliseconds &&
        this.isUndisturbed(stoppedAt, exit.at)
      ? `took ${Math.round(duration)} ms to stop`
      : undefined;
  }

  // The runtime had not yet run the first statement of the program.
  #isEndedInStartup({ signal }: ProcessExit): boolean {
    const last = this.#signals.findLast((each) => each.signal === signal);
    return last !== undefined &&
      last.processorMilliseconds < this.#options.startupMilliseconds();
  }

  #has(signal: NodeJS.Signals): boolean {
    return this.#signals.some((sent) => sent.signal === signal);
  }

  #lastLogLines(): string {
    const lines = readFileSync(this.#options.logFile, "utf8").trimEnd().split(
      "\n",
    );
    return `last log lines: ${lines.slice(-loggedLineCount).join(" | ")}`;
  }
}

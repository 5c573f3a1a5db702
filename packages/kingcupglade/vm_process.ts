import { setTimeout as pause } from "node:timers/promises";
import { describeFailure } from "@kingcupglade/telemetry";
import type { Logger } from "@kingcupglade/telemetry";
import { ExitCode } from "./commands/command.ts";
import { ProcessSignal } from "./process_signals.ts";
import type { ProcessSignals, ReceivedSignal } from "./process_signals.ts";

/** Maximum time in which the last log lines are written before the exit. */
const logCloseMilliseconds = 1000;
/** The same at the end of the time to stop. */
const lateLogCloseMilliseconds = 50;

/** Phases of a process that runs a VM. */
export const ProcessPhase = {
  starting: "starting",
  serving: "serving",
  stopping: "stopping",
} as const;
export type ProcessPhase = typeof ProcessPhase[keyof typeof ProcessPhase];

/** A running VM, as seen by its process. */
export interface ServedVm {
  /**
   * Reads the settings again; the returned function applies them.
   *
   * @throws {Error} when they cannot be applied.
   */
  readSettings(): Promise<() => void>;
  /** Finishes all requests in progress and stops. */
  stop(): Promise<void>;
}

/** How a process starts a VM. */
export interface VmLaunch {
  readonly logger: Logger;
  /** Time from a stop signal to the exit, whatever is in progress. */
  readonly maximumStopMilliseconds: number;
  /** Resolves when the VM may start, or soon after `stopping` is aborted. */
  prepare(stopping: AbortSignal): Promise<void>;
  /** Starts the VM; `onFailure` is called when it cannot continue. */
  start(onFailure: (failure: unknown) => void): Promise<ServedVm>;
  /** Writes all log lines; nothing is logged afterwards. */
  closeLog(): Promise<void>;
}

/** Runs a VM in this process and carries out the signals of the process. */
export class VmProcess {
  readonly #launch: VmLaunch;
  readonly #signals: Pick<ProcessSignals, "listen">;
  readonly #stopping = new AbortController();
  readonly #stopRequested: Promise<void>;
  readonly #stopCutOff: Promise<ExitCode>;
  #resolveCutOff!: (code: ExitCode) => void;
  #stopRequestedAt = 0;
  #cutOffTimer: NodeJS.Timeout | undefined;
  #vm: ServedVm | undefined;
  #isReloadRequested = false;
  #isReloading = false;

  constructor(launch: VmLaunch, signals: Pick<ProcessSignals, "listen">) {
    this.#launch = launch;
    this.#signals = signals;
    this.#stopRequested = new Promise((resolve) =>
      this.#stopping.signal.addEventListener("abort", () => resolve())
    );
    this.#stopCutOff = new Promise((resolve) => this.#resolveCutOff = resolve);
  }

  /**
   * Runs the VM until a stop signal and returns the exit code of the process.
   *
   * @throws {Error} when the VM cannot start or continue.
   */
  async run(): Promise<ExitCode> {
    this.#signals.listen((received) => this.#handle(received));
    try {
      return await Promise.race([this.#runVm(), this.#stopCutOff]);
    } finally {
      clearTimeout(this.#cutOffTimer);
      await Promise.race([
        this.#launch.closeLog(),
        pause(this.#logCloseMilliseconds),
      ]);
    }
  }

  async #runVm(): Promise<ExitCode> {
    const { stopping } = ProcessPhase;
    await this.#launch.prepare(this.#stopping.signal);
    if (this.#phase === stopping) {
      this.#launch.logger.info("start-abandoned");
      return ExitCode.done;
    }
    let fail: (failure: unknown) => void = () => {};
    const failure = new Promise<never>((_, reject) => fail = reject);
    this.#vm = await Promise.race([failure, this.#launch.start(fail)]);
    void this.#reloadWhileRequested();
    await Promise.race([failure, this.#stopRequested]);
    await this.#vm.stop();
    return ExitCode.done;
  }

  get #phase(): ProcessPhase {
    if (this.#stopping.signal.aborted) return ProcessPhase.stopping;
    return this.#vm ? ProcessPhase.serving : ProcessPhase.starting;
  }

  #handle({ signal, count, firstAt }: ReceivedSignal): void {
    const { logger } = this.#launch;
    logger.info("signal-received", { signal, count, phase: this.#phase });
    switch (signal) {
      case ProcessSignal.reload:
        this.#isReloadRequested = true;
        return void this.#reloadWhileRequested();
      case ProcessSignal.stop:
        return this.#requestStop(firstAt);
      case ProcessSignal.interrupt:
        this.#requestStop(firstAt);
        if (count > 1) this.#cutStopOff("interrupted again");
    }
  }

  #requestStop(requestedAt: number): void {
    if (this.#stopping.signal.aborted) return;
    this.#stopRequestedAt = requestedAt;
    this.#stopping.abort();
    this.#cutOffTimer = setTimeout(
      () => this.#cutStopOff("the time is up"),
      Math.max(
        0,
        this.#launch.maximumStopMilliseconds - this.#millisecondsOfStop,
      ),
    );
  }

  #cutStopOff(reason: string): void {
    this.#launch.logger.error("stop-cut-off", {
      reason,
      milliseconds: Math.round(this.#millisecondsOfStop),
    });
    this.#resolveCutOff(ExitCode.failed);
  }

  get #logCloseMilliseconds(): number {
    if (!this.#stopping.signal.aborted) return logCloseMilliseconds;
    const left = this.#launch.maximumStopMilliseconds -
      this.#millisecondsOfStop;
    return Math.min(logCloseMilliseconds, Math.max(left, 0)) +
      lateLogCloseMilliseconds;
  }

  get #millisecondsOfStop(): number {
    return performance.now() - this.#stopRequestedAt;
  }

  // One reload at a time: the last one reads the newest settings.
  async #reloadWhileRequested(): Promise<void> {
    if (this.#isReloading) return;
    this.#isReloading = true;
    while (this.#isReloadRequested && this.#phase === ProcessPhase.serving) {
      this.#isReloadRequested = false;
      await this.#reload(this.#vm!);
    }
    this.#isReloading = false;
  }

  async #reload(vm: ServedVm): Promise<void> {
    try {
      const apply = await vm.readSettings();
      if (this.#phase === ProcessPhase.serving) apply();
    } catch (failure) {
      this.#launch.logger.error("settings-not-reloaded", {
        reason: describeFailure(failure),
      });
    }
  }
}

import { performance } from "node:perf_hooks";
import type { EventLoopUtilization } from "node:perf_hooks";
import { LoadShedder } from "@kingcupglade/dispatch";
import type { Clock } from "@kingcupglade/tasks";
import type { Logger, Metrics } from "@kingcupglade/telemetry";

/** Interval of the ticks, which have to be more frequent than the bound. */
const tickMilliseconds = 50;
/** The shortage is over once no request was refused for this long. */
const quietMilliseconds = 2000;

/** Options of a {@link ProcessorWatch}. */
export interface ProcessorWatchOptions {
  /** Wait for the processor from which requests are refused. */
  readonly maximumWaitMilliseconds: number;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Pick<Metrics, "processorUse" | "processorWait">;
}

/**
 * Watches how busy and how late the event loop is, and decides which requests of
 * callers it can take.
 */
export class ProcessorWatch {
  readonly #options: ProcessorWatchOptions;
  readonly #shedder: LoadShedder;
  readonly #timer: NodeJS.Timeout;
  #utilization: EventLoopUtilization = performance.eventLoopUtilization();
  #tickedAt: number;
  #refusedAt = -Infinity;
  #refusedCount = 0;

  constructor(options: ProcessorWatchOptions) {
    this.#options = options;
    this.#shedder = new LoadShedder(options);
    this.#tickedAt = options.clock.now();
    this.#timer = setInterval(() => this.#tick(), tickMilliseconds);
  }

  /** Creates a watch, or none without a bound. */
  static ofBound(
    { maximumWaitMilliseconds, ...options }:
      & Omit<ProcessorWatchOptions, "maximumWaitMilliseconds">
      & { readonly maximumWaitMilliseconds?: number | undefined },
  ): ProcessorWatch | undefined {
    return maximumWaitMilliseconds === undefined
      ? undefined
      : new ProcessorWatch({ ...options, maximumWaitMilliseconds });
  }

  /** Whether a request of a route with this priority is taken. */
  admits(priority: number): boolean {
    const { clock } = this.#options;
    const now = clock.now();
    const overdueMilliseconds = now - this.#tickedAt - tickMilliseconds;
    const isAdmitted = this.#shedder.admits({ priority, overdueMilliseconds });
    if (!isAdmitted) this.#recordRefusal(now);
    return isAdmitted;
  }

  close(): void {
    clearInterval(this.#timer);
  }

  #tick(): void {
    const { clock, metrics } = this.#options;
    const now = clock.now();
    const { active, idle } = this.#utilization;
    this.#utilization = performance.eventLoopUtilization();
    const lateMilliseconds = Math.max(
      0,
      now - this.#tickedAt - tickMilliseconds,
    );
    this.#shedder.record({
      busyMilliseconds: this.#utilization.active - active,
      idleMilliseconds: this.#utilization.idle - idle,
      lateMilliseconds,
    });
    this.#tickedAt = now;
    metrics.processorUse.set(this.#shedder.use);
    metrics.processorWait.set(lateMilliseconds / 1000);
    const isOver = this.#refusedCount > 0 &&
      now - this.#refusedAt >= quietMilliseconds;
    if (isOver) this.#recordEnd();
  }

  #recordRefusal(now: number): void {
    if (this.#refusedCount === 0) this.#log("processor-short");
    this.#refusedAt = now;
    this.#refusedCount += 1;
  }

  #recordEnd(): void {
    this.#log("processor-free", { refused: this.#refusedCount });
    this.#refusedCount = 0;
  }

  #log(event: string, fields: Readonly<Record<string, number>> = {}): void {
    const { use, lateMilliseconds } = this.#shedder;
    this.#options.logger.info(event, {
      use: Math.round(use * 100) / 100,
      lateMilliseconds: Math.round(lateMilliseconds),
      maximumWaitMilliseconds: this.#options.maximumWaitMilliseconds,
      ...fields,
    });
  }
}

import type { LogEvent, LogFields, Logger } from "./logger.ts";

/** Default maximum number of lines of one event per second. */
const defaultMaximumLines = 25;
const windowMilliseconds = 1000;

/** Options of a {@link RateLimitedLogger}. */
export interface RateLimitedLoggerOptions {
  /**
   * Maximum numbers of lines per second of events that need another one.
   * @default 25 for each event
   */
  readonly maximumLines?: ReadonlyMap<LogEvent, number>;
}

interface EventWindow {
  startedAt: number;
  /** Number of lines, including the omitted ones. */
  lines: number;
  omitted: number;
}

/**
 * Limits the rate of log lines per event. Errors are not limited. If lines of an
 * event were omitted within a second, a later line reports how many.
 */
export class RateLimitedLogger implements Logger {
  readonly #logger: Logger;
  readonly #now: () => number;
  readonly #maximumLines: ReadonlyMap<LogEvent, number>;
  readonly #windows = new Map<LogEvent, EventWindow>();

  /** `now` returns the milliseconds of a monotonic clock. */
  constructor(
    logger: Logger,
    now: () => number,
    { maximumLines = new Map() }: RateLimitedLoggerOptions = {},
  ) {
    this.#logger = logger;
    this.#now = now;
    this.#maximumLines = maximumLines;
  }

  debug(event: LogEvent, fields?: LogFields): void {
    if (this.#shouldLog(event)) this.#logger.debug(event, fields);
  }

  info(event: LogEvent, fields?: LogFields): void {
    if (this.#shouldLog(event)) this.#logger.info(event, fields);
  }

  warn(event: LogEvent, fields?: LogFields): void {
    if (this.#shouldLog(event)) this.#logger.warn(event, fields);
  }

  error(event: LogEvent, fields?: LogFields): void {
    this.#logger.error(event, fields);
  }

  /** Reports the omitted lines of windows that have ended; call it once a second. */
  flush(): void {
    for (const [event, window] of this.#windows) {
      if (this.#now() - window.startedAt < windowMilliseconds) continue;
      this.#reportOmitted(event, window);
      this.#windows.delete(event);
    }
  }

  #shouldLog(event: LogEvent): boolean {
    const now = this.#now();
    let window = this.#windows.get(event);
    if (!window || now - window.startedAt >= windowMilliseconds) {
      if (window) this.#reportOmitted(event, window);
      window = { startedAt: now, lines: 0, omitted: 0 };
      this.#windows.set(event, window);
    }
    window.lines += 1;
    const maximum = this.#maximumLines.get(event) ?? defaultMaximumLines;
    if (window.lines <= maximum) return true;
    window.omitted += 1;
    return false;
  }

  #reportOmitted(event: LogEvent, { omitted }: EventWindow): void {
    if (omitted === 0) return;
    const logger = this.#logger;
    logger.warn("log-lines-omitted", { of: event, omitted });
  }
}

import type { LogEvent, LogFields, Logger } from "./logger.ts";

/** Lines of one event in a second. */
const linesPerSecond = 25;
const secondMilliseconds = 1000;

interface EventCount {
  since: number;
  lines: number;
  omitted: number;
}

/**
 * Bounds the lines of each event. Errors always pass; what was left out is
 * told by a line of its own, once the second has passed.
 */
export class BoundedLogger implements Logger {
  readonly #logger: Logger;
  readonly #now: () => number;
  readonly #counts = new Map<LogEvent, EventCount>();

  constructor(logger: Logger, now: () => number) {
    this.#logger = logger;
    this.#now = now;
  }

  debug(event: LogEvent, fields?: LogFields): void {
    if (this.#passes(event)) this.#logger.debug(event, fields);
  }

  info(event: LogEvent, fields?: LogFields): void {
    if (this.#passes(event)) this.#logger.info(event, fields);
  }

  warn(event: LogEvent, fields?: LogFields): void {
    if (this.#passes(event)) this.#logger.warn(event, fields);
  }

  error(event: LogEvent, fields?: LogFields): void {
    this.#logger.error(event, fields);
  }

  /** Tells what was left out in seconds that have passed; called once a second. */
  flush(): void {
    for (const [event, count] of this.#counts) {
      if (this.#now() - count.since < secondMilliseconds) continue;
      this.#tell(event, count);
      this.#counts.delete(event);
    }
  }

  #passes(event: LogEvent): boolean {
    const now = this.#now();
    let count = this.#counts.get(event);
    if (!count || now - count.since >= secondMilliseconds) {
      if (count) this.#tell(event, count);
      count = { since: now, lines: 0, omitted: 0 };
      this.#counts.set(event, count);
    }
    count.lines += 1;
    if (count.lines <= linesPerSecond) return true;
    count.omitted += 1;
    return false;
  }

  #tell(event: LogEvent, { omitted }: EventCount): void {
    if (omitted === 0) return;
    const logger = this.#logger;
    logger.warn("log-lines-omitted", { of: event, omitted });
  }
}

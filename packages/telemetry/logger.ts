import winston from "winston";
import type { LineWriter } from "./line_writer.ts";

/** Name of a log event; each event is logged as one line. */
export type LogEvent = string;

/** Fields of a log line in addition to its event, time and level. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | null>
>;

/** Writes one JSON line per event. */
export interface Logger {
  debug(event: LogEvent, fields?: LogFields): void;
  info(event: LogEvent, fields?: LogFields): void;
  warn(event: LogEvent, fields?: LogFields): void;
  error(event: LogEvent, fields?: LogFields): void;
}

/** Options of {@link createLogger}. */
export interface LoggerOptions {
  /** Fields added to every line, such as the VM and its data centre. */
  readonly fields: LogFields;
  /** @default "info" */
  readonly level?: "debug" | "info" | "warn" | "error" | "silent";
  /** @default standard error */
  readonly writer?: LineWriter;
}

/** Creates a logger that writes JSON lines. */
export function createLogger(options: LoggerOptions): Logger {
  const level = options.level ?? "info";
  const logger = winston.createLogger({
    level: level === "silent" ? "error" : level,
    silent: level === "silent",
    format: lineFormat(),
    transports: [createTransport(options.writer)],
  });
  const createLogMethod =
    (levelName: string) => (event: LogEvent, fields: LogFields = {}) => {
      logger.log({
        level: levelName,
        message: event,
        event,
        ...options.fields,
        ...fields,
      });
    };
  return {
    debug: createLogMethod("debug"),
    info: createLogMethod("info"),
    warn: createLogMethod("warn"),
    error: createLogMethod("error"),
  };
}

/** Property of a record from which a transport takes the line. */
const lineProperty = Symbol.for("message");

// Fields are flat, so that a sorted list of their names gives a stable order; the
// general format of the library also looks for cycles and nested values.
const lineFormat = winston.format((record) => {
  record.timestamp = new Date().toISOString();
  record[lineProperty] = JSON.stringify(record, Object.keys(record).sort());
  return record;
});

function createTransport(writer: LineWriter | undefined) {
  return writer
    ? new winston.transports.Stream({ stream: writer })
    : new winston.transports.Console({
      stderrLevels: ["error", "warn", "info", "debug"],
    });
}

/** Describes a failure of any type in a short text for the field `reason`. */
export function describeFailure(failure: unknown): string {
  return failure instanceof Error ? failure.message : String(failure);
}

/** Exit codes of the command line. */
export const ExitCode = {
  done: 0,
  /** The operation was refused or failed. */
  failed: 1,
  /** The command line was invalid. */
  usage: 2,
  /** A fault of the program ended the process; the last log line tells it. */
  fault: 3,
} as const;
export type ExitCode = typeof ExitCode[keyof typeof ExitCode];

/** An invalid command line. */
export class UsageError extends Error {
  override readonly name = "UsageError";
}

/** A command of the command line. */
export interface Command {
  /** Text of `--help`, with examples. */
  readonly help: string;
  /** Runs the command and returns its exit code. */
  run(commandArguments: readonly string[]): Promise<ExitCode>;
}

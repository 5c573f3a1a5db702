/** Exit codes of the command line. */
export const ExitCode = {
  done: 0,
  /** Refused by the system, or failed. */
  failed: 1,
  /** The command line was wrong. */
  usage: 2,
} as const;
export type ExitCode = typeof ExitCode[keyof typeof ExitCode];

/** A command line that cannot be carried out. */
export class UsageError extends Error {
  override readonly name = "UsageError";
}

/** One command of the command line. */
export interface Command {
  /** Text of `--help`, with examples. */
  readonly help: string;
  /** Carries the command out and returns its exit code. */
  run(commandArguments: readonly string[]): Promise<ExitCode>;
}

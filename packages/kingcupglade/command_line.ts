import { nearestName } from "@kingcupglade/bundle";
import { ExitCode, UsageError } from "./commands/command.ts";
import type { Command } from "./commands/command.ts";

/** All commands, each imported on first use. */
const commands: ReadonlyMap<string, () => Promise<Command>> = new Map(
  Object.entries({
    "serve": async () => (await import("./commands/serve.ts")).serveCommand,
    "settings check": async () =>
      (await import("./commands/settings_check.ts")).settingsCheckCommand,
    "key create": async () =>
      (await import("./commands/key_create.ts")).keyCreateCommand,
    "bundle check": async () =>
      (await import("./commands/bundle_check.ts")).bundleCheckCommand,
    "bundle diff": async () =>
      (await import("./commands/bundle_diff.ts")).bundleDiffCommand,
    "bundle sign": async () =>
      (await import("./commands/bundle_sign.ts")).bundleSignCommand,
    "bundle roll": async () =>
      (await import("./commands/bundle_roll.ts")).bundleRollCommand,
    "bundle show": async () =>
      (await import("./commands/bundle_show.ts")).bundleShowCommand,
    "bundle status": async () =>
      (await import("./commands/bundle_status.ts")).bundleStatusCommand,
    "status": async () => (await import("./commands/status.ts")).statusCommand,
    "experiment": async () =>
      (await import("./commands/experiment.ts")).experimentCommand,
    "demo": async () => (await import("./commands/demo.ts")).demoCommand,
  }),
);

/** Names of all commands, as entered on the command line. */
export const commandNames: readonly string[] = [...commands.keys()];

const usage = `Usage: kingcupglade COMMAND [OPTIONS]

Commands:
${commandNames.map((name) => `  ${name}`).join("\n")}

kingcupglade COMMAND --help explains a command.
Exit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 fault of the program.
`;

/** Runs a command line and returns the exit code. */
export async function runCommandLine(
  commandArguments: readonly string[],
): Promise<ExitCode> {
  try {
    return await dispatch(commandArguments);
  } catch (failure) {
    process.stderr.write(`kingcupglade: ${(failure as Error).message}\n`);
    return isUsageError(failure) ? ExitCode.usage : ExitCode.failed;
  }
}

async function dispatch(
  commandArguments: readonly string[],
): Promise<ExitCode> {
  const found = findCommand(commandArguments);
  if (!found) {
    if (!requestsHelp(commandArguments)) {
      throw new UsageError(describeUnknownCommand(commandArguments));
    }
    process.stdout.write(usage);
    return ExitCode.done;
  }
  const command = await found.load();
  if (requestsHelp(found.rest)) {
    process.stdout.write(command.help);
    return ExitCode.done;
  }
  return await command.run(found.rest);
}

/**
 * Finds the command that a command line starts with, and the arguments after
 * it. Returns undefined if there is none.
 */
export function findCommand(commandArguments: readonly string[]) {
  for (const wordCount of [2, 1]) {
    const load = commands.get(commandArguments.slice(0, wordCount).join(" "));
    if (load) return { load, rest: commandArguments.slice(wordCount) };
  }
  return undefined;
}

function requestsHelp(words: readonly string[]): boolean {
  return words.includes("--help") || words.includes("-h");
}

function describeUnknownCommand(commandArguments: readonly string[]): string {
  const nearest = [2, 1].map((words) =>
    nearestName(commandArguments.slice(0, words).join(" "), commandNames)
  ).find((name) => name !== undefined);
  return `${
    commandArguments.length === 0
      ? "no command given"
      : `"${commandArguments.slice(0, 2).join(" ")}" is not a command`
  }; ${
    nearest === undefined
      ? `the commands are ${commandNames.join(", ")}`
      : `did you mean "${nearest}"?`
  } See kingcupglade --help`;
}

// Errors of util.parseArgs have codes of this form.
function isUsageError(failure: unknown): boolean {
  if (failure instanceof UsageError) return true;
  const code = failure instanceof Error && "code" in failure
    ? String(failure.code)
    : "";
  return code.startsWith("ERR_PARSE_ARGS");
}

import { parseArgs } from "node:util";
import { ExitCode } from "./command.ts";
import type { Command } from "./command.ts";

/** `demo`: runs a whole deployment on loopback. */
export const demoCommand: Command = {
  help: `Usage: kingcupglade demo

Starts nine VMs and fake targets on loopback in this process, rolls a bundle,
serves requests, loses an owner, and prints what happened.

Example:
  kingcupglade demo
`,
  async run(commandArguments) {
    parseArgs({ args: [...commandArguments], options: {} });
    const { runDemo } = await import("@kingcupglade/experiments");
    return (await runDemo((line) => process.stdout.write(`${line}\n`)))
      ? ExitCode.done
      : ExitCode.failed;
  },
};

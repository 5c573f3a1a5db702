import { parseArgs } from "node:util";
import { readSettings } from "../settings/read.ts";
import { Vm } from "../vm.ts";
import { ExitCode, UsageError } from "./command.ts";
import type { Command } from "./command.ts";

/** `serve`: runs a VM until it is told to stop. */
export const serveCommand: Command = {
  help: `Usage: kingcupglade serve --settings FILE

Runs one VM until SIGTERM or SIGINT. The first signal lets every request end
and hands over what this VM leads; a second one exits at once.

Example:
  kingcupglade serve --settings vm-1.ini
`,
  async run(commandArguments) {
    const { values } = parseArgs({
      args: [...commandArguments],
      options: { settings: { type: "string" } },
    });
    if (values.settings === undefined) {
      throw new UsageError("serve needs --settings FILE");
    }
    const settings = await readSettings(values.settings);
    let fail: (failure: unknown) => void = () => {};
    const failure = new Promise<never>((_, reject) => (fail = reject));
    const vm = await Vm.start({ settings, onFailure: (cause) => fail(cause) });
    await Promise.race([failure, stopSignal()]);
    process.once("SIGTERM", exitAtOnce);
    process.once("SIGINT", exitAtOnce);
    await vm.stop();
    return ExitCode.done;
  },
};

function stopSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.once("SIGTERM", () => resolve());
    process.once("SIGINT", () => resolve());
  });
}

function exitAtOnce(): void {
  process.exit(ExitCode.failed);
}

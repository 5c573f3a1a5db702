import { parseArgs } from "node:util";
import { startFleetVm } from "../fleet_vm.ts";
import { readFleetSettings, readSettings } from "../settings/read.ts";
import { Vm } from "../vm.ts";
import { ExitCode, UsageError } from "./command.ts";
import type { Command } from "./command.ts";

/** `serve`: runs a VM until it is told to stop. */
export const serveCommand: Command = {
  help: `Usage: kingcupglade serve --settings FILE

Runs one VM until SIGTERM or SIGINT. The first signal lets every request end
and hands over what this VM leads; a second one exits at once, with 1.

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
    const fleetSettings = await readFleetSettings(values.settings);
    const stopped = stopSignal();
    let fail: (failure: unknown) => void = () => {};
    const failure = new Promise<never>((_, reject) => (fail = reject));
    const vm = fleetSettings
      ? await startFleetVm(fleetSettings, (cause) => fail(cause))
      : await Vm.start({
        settings: await readSettings(values.settings),
        onFailure: (cause) => fail(cause),
      });
    await Promise.race([failure, stopped]);
    await vm.stop();
    return ExitCode.done;
  },
};

/** Resolves at the first signal; the second one ends the process. */
function stopSignal(): Promise<void> {
  return new Promise((resolve) => {
    let signals = 0;
    const receive = () => {
      signals += 1;
      if (signals > 1) process.exit(ExitCode.failed);
      resolve();
    };
    process.on("SIGTERM", receive);
    process.on("SIGINT", receive);
  });
}

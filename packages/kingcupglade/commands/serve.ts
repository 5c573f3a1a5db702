import { parseArgs } from "node:util";
import { startFleetVm } from "../fleet_vm.ts";
import type { FleetVm } from "../fleet_vm.ts";
import { endOnProcessFailure } from "../process_failures.ts";
import { readFleetSettings, readSettings } from "../settings/read.ts";
import { Vm } from "../vm.ts";
import type { ResolvedFleetSettings } from "../settings/fleet_schema.ts";
import { ExitCode, UsageError } from "./command.ts";
import type { Command } from "./command.ts";

/** `serve`: runs a VM until it receives a stop signal. */
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
    const path = values.settings;
    const fleetSettings = await readFleetSettings(path);
    const stopped = waitForStopSignal();
    let fail: (failure: unknown) => void = () => {};
    const failure = new Promise<never>((_, reject) => (fail = reject));
    const vm = fleetSettings
      ? await startFleet(fleetSettings, {
        path,
        onFailure: (cause) => fail(cause),
      })
      : await Vm.start({
        settings: await readSettings(path),
        onFailure: (cause) => fail(cause),
      });
    await Promise.race([failure, stopped]);
    await vm.stop();
    return ExitCode.done;
  },
};

/** Starts a VM of a fleet that reloads its settings on SIGHUP. */
async function startFleet(
  settings: ResolvedFleetSettings,
  options: {
    readonly path: string;
    readonly onFailure: (failure: unknown) => void;
  },
): Promise<FleetVm> {
  const { name: vm, dataCentre } = settings.vm;
  endOnProcessFailure({ vm, dataCentre });
  const starting = startFleetVm(settings, options.onFailure);
  // Registered before the VM has started, as SIGHUP without a listener would
  // terminate the process.
  process.on("SIGHUP", () => void reload(starting, options.path));
  return await starting;
}

async function reload(starting: Promise<FleetVm>, path: string): Promise<void> {
  const vm = await starting;
  try {
    const settings = await readFleetSettings(path);
    if (settings) vm.reload(settings);
  } catch (failure) {
    vm.logReloadFailure(failure);
  }
}

/** Resolves on the first stop signal; the second one ends the process. */
function waitForStopSignal(): Promise<void> {
  return new Promise((resolve) => {
    let signals = 0;
    const onSignal = () => {
      signals += 1;
      if (signals > 1) process.exit(ExitCode.failed);
      resolve();
    };
    process.on("SIGTERM", onSignal);
    process.on("SIGINT", onSignal);
  });
}

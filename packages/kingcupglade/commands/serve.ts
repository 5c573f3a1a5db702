import { parseArgs } from "node:util";
import { createLogger } from "@kingcupglade/telemetry";
import { waitForAddresses } from "../address_wait.ts";
import { FleetLog } from "../fleet_log.ts";
import { startFleetVm } from "../fleet_vm.ts";
import { endOnProcessFailure } from "../process_failures.ts";
import { processSignals } from "../process_signals.ts";
import type { ResolvedFleetSettings } from "../settings/fleet_schema.ts";
import {
  readFleetSettings,
  readSettings,
  SettingsError,
} from "../settings/read.ts";
import type { ResolvedSettings } from "../settings/schema.ts";
import { VmProcess } from "../vm_process.ts";
import type { VmLaunch } from "../vm_process.ts";
import { Vm } from "../vm.ts";
import { UsageError } from "./command.ts";
import type { Command } from "./command.ts";

const millisecondsPerSecond = 1000;
/** A process exits this long before the end of its grace period. */
const exitMarginMilliseconds = 100;
/** Longer than all that a VM without a role waits for when it stops. */
const maximumVmStopMilliseconds = 30_000;

/** `serve`: runs a VM until it receives a stop signal. */
export const serveCommand: Command = {
  help: `Usage: kingcupglade serve --settings FILE

Runs one VM until SIGTERM or SIGINT. Lets every request end, hands over what this
VM leads and exits with 0. A further SIGTERM changes nothing; a second SIGINT
exits at once, with 1.

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
    if (fleetSettings) {
      const { name: vm, dataCentre } = fleetSettings.vm;
      endOnProcessFailure({ vm, dataCentre });
    }
    const launch = fleetSettings
      ? createFleetLaunch(fleetSettings, path)
      : createVmLaunch(await readSettings(path));
    return await new VmProcess(launch, processSignals).run();
  },
};

function createFleetLaunch(
  settings: ResolvedFleetSettings,
  path: string,
): VmLaunch {
  const log = new FleetLog(settings);
  const { logger } = log;
  const graceMilliseconds = settings.stop.graceSeconds * millisecondsPerSecond;
  return {
    logger,
    maximumStopMilliseconds: Math.max(
      graceMilliseconds - exitMarginMilliseconds,
      graceMilliseconds / 2,
    ),
    prepare: (stopping) =>
      waitForAddresses({
        addresses: Object.values(settings.listen),
        maximumMilliseconds: graceMilliseconds,
        stopping,
        logger,
      }),
    async start(onFailure) {
      const vm = await startFleetVm(settings, onFailure, { log });
      return {
        async readSettings() {
          const changed = await readFleetSettings(path);
          if (!changed) {
            throw new SettingsError(`${path}: vm.role is missing; restore it`);
          }
          return () => vm.reload(changed);
        },
        stop: () => vm.stop(),
      };
    },
    closeLog: () => log.close(),
  };
}

function createVmLaunch(settings: ResolvedSettings): VmLaunch {
  // When the reader of the log has closed, nobody is left to report it to.
  process.stderr.on("error", () => {});
  const { vm, log } = settings;
  return {
    logger: createLogger({
      fields: { vm: vm.name, dataCentre: vm.dataCentre },
      level: log.level,
    }),
    maximumStopMilliseconds: maximumVmStopMilliseconds,
    prepare: () => Promise.resolve(),
    async start(onFailure) {
      const running = await Vm.start({ settings, onFailure });
      return {
        readSettings: () =>
          Promise.reject(
            new SettingsError(
              "a VM without a role changes no settings while it runs; restart it",
            ),
          ),
        stop: () => running.stop(),
      };
    },
    closeLog: () => Promise.resolve(),
  };
}

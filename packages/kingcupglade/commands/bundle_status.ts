import type { ControlStatus } from "../control/status.ts";
import { ExitCode } from "./command.ts";
import type { Command } from "./command.ts";
import { parseVmArguments } from "./arguments.ts";
import { fetchStatus } from "./operator_client.ts";

/** `bundle status`: prints which VMs route by the bundle in force. */
export const bundleStatusCommand: Command = {
  help: `Usage: kingcupglade bundle status --vm IP:PORT [--json]

Prints the version accepted last, and for each VM whether it routes by it,
has not confirmed it yet, or has lost its lease. Exits with 1 while a VM with a
lease has not confirmed.

Example:
  kingcupglade bundle status --vm 127.0.0.1:8401
`,
  async run(commandArguments) {
    const { vm, json } = parseVmArguments(commandArguments, "bundle status");
    const { bundle, vms } = await fetchStatus(vm);
    const states = vms.map((each) => ({
      vm: each.name,
      state: describeState(each, bundle),
    }));
    process.stdout.write(
      json
        ? `${JSON.stringify({ bundle, vms: states })}\n`
        : formatStates(bundle, states),
    );
    return bundle?.inForceEverywhere ? ExitCode.done : ExitCode.failed;
  },
};

function describeState(
  vm: ControlStatus["vms"][number],
  bundle: ControlStatus["bundle"],
): string {
  if (vm.lapsed) return "no lease";
  return bundle && vm.appliedVersion >= bundle.tableVersion
    ? "in force"
    : "not confirmed";
}

function formatStates(
  bundle: ControlStatus["bundle"],
  states: readonly { readonly vm: string; readonly state: string }[],
): string {
  const summary = bundle
    ? `version ${bundle.version}, digest ${bundle.digest}`
    : "no bundle was rolled yet";
  return `${
    [summary, ...states.map(({ vm, state }) => `${vm}  ${state}`)].join("\n")
  }\n`;
}

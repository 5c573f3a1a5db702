import { ExitCode } from "./command.ts";
import type { Command } from "./command.ts";
import { parseVmCommand } from "./arguments.ts";
import { askVm, OperatorClientError } from "./operator_client.ts";

/** `bundle show`: prints the bundle in force at a VM. */
export const bundleShowCommand: Command = {
  help: `Usage: kingcupglade bundle show --vm IP:PORT

Prints the bundle that the VM routes by, with its signatures, as JSON.

Example:
  kingcupglade bundle show --vm 127.0.0.1:8401
`,
  async run(commandArguments) {
    const { vm } = parseVmCommand(commandArguments, "bundle show");
    const { status, document } = await askVm(vm, "/bundle");
    if (status !== 200) {
      throw new OperatorClientError(
        `${vm} routes by no bundle; roll one with kingcupglade bundle roll`,
      );
    }
    process.stdout.write(`${JSON.stringify(document, null, 2)}\n`);
    return ExitCode.done;
  },
};

import { ExitCode } from "./command.ts";
import type { Command } from "./command.ts";
import { parseVmArguments } from "./arguments.ts";
import { OperatorClientError, requestVm } from "./operator_client.ts";

/** `bundle show`: prints the bundle in force at a VM. */
export const bundleShowCommand: Command = {
  help: `Usage: kingcupglade bundle show --vm IP:PORT

Prints the bundle that the VM routes by, with its signatures, as JSON.

Example:
  kingcupglade bundle show --vm 127.0.0.1:8401
`,
  async run(commandArguments) {
    const { vm } = parseVmArguments(commandArguments, "bundle show");
    const { status, document } = await requestVm(vm, "/bundle");
    if (status !== 200) {
      throw new OperatorClientError(
        `${vm} routes by no bundle; roll one with kingcupglade bundle roll`,
      );
    }
    process.stdout.write(`${JSON.stringify(document, null, 2)}\n`);
    return ExitCode.done;
  },
};

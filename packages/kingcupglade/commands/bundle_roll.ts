import { parseArgs } from "node:util";
import type { RollOutcome } from "@kingcupglade/ownership";
import { ExitCode, UsageError } from "./command.ts";
import type { Command } from "./command.ts";
import { readBundleFile } from "./files.ts";
import { askVm, fetchStatus } from "./operator_client.ts";

const waitMilliseconds = 10_000;
const pollMilliseconds = 100;

/** `bundle roll`: puts a signed bundle into force. */
export const bundleRollCommand: Command = {
  help: `Usage: kingcupglade bundle roll SIGNED --vm IP:PORT [--wait]

Sends a signed bundle to the operators' listener of any VM. With --wait,
returns when every VM routes by it.

Example:
  kingcupglade bundle roll signed.json --vm 127.0.0.1:8401 --wait
`,
  async run(commandArguments) {
    const { values, positionals } = parseArgs({
      args: [...commandArguments],
      allowPositionals: true,
      options: { vm: { type: "string" }, wait: { type: "boolean" } },
    });
    const [path] = positionals;
    if (!path || !values.vm) {
      throw new UsageError("bundle roll needs SIGNED and --vm IP:PORT");
    }
    const document = await readBundleFile(path);
    const answer = await askVm(values.vm, "/bundle", { document });
    process.stdout.write(`${JSON.stringify(answer.document)}\n`);
    const outcome = answer.document as RollOutcome;
    if (answer.status !== 200 || outcome.kind !== "accepted") {
      return ExitCode.failed;
    }
    return values.wait
      ? await waitUntilInForce(values.vm, outcome.version)
      : ExitCode.done;
  },
};

async function waitUntilInForce(
  vm: string,
  version: number,
): Promise<ExitCode> {
  const until = performance.now() + waitMilliseconds;
  while (performance.now() < until) {
    const { bundle } = await fetchStatus(vm);
    if (bundle?.inForceEverywhere && bundle.version >= version) {
      return ExitCode.done;
    }
    await new Promise((resolve) => setTimeout(resolve, pollMilliseconds));
  }
  process.stderr.write(
    `the bundle is accepted, but not every VM confirmed it within ${waitMilliseconds} ms; see kingcupglade status\n`,
  );
  return ExitCode.failed;
}

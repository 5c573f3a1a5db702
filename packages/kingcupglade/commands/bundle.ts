import { parseArgs } from "node:util";
import { bundleDigest, parseBundle, signBundle } from "@kingcupglade/bundle";
import type { RollOutcome } from "@kingcupglade/ownership";
import type { ControlStatus } from "../control/status.ts";
import { ExitCode, UsageError } from "./command.ts";
import type { Command } from "./command.ts";
import { readBundleFile, readTextFile, writeJsonFile } from "./files.ts";
import { askVm } from "./operator_client.ts";

const waitMilliseconds = 10_000;
const pollMilliseconds = 100;

/** `bundle check`: explains every fault of a bundle document. */
export const bundleCheckCommand: Command = {
  help: `Usage: kingcupglade bundle check FILE

Checks a bundle document and prints its version and digest.

Example:
  kingcupglade bundle check bundle.json
`,
  async run(commandArguments) {
    const path = onlyFile(commandArguments, "bundle check");
    const { document } = await readBundleFile(path);
    const { version } = parseBundle(document);
    process.stdout.write(
      `version ${version}, digest ${bundleDigest(document)}\n`,
    );
    return ExitCode.done;
  },
};

/** `bundle sign`: adds an operator's signature to a bundle. */
export const bundleSignCommand: Command = {
  help:
    `Usage: kingcupglade bundle sign FILE --key KEY --operator NAME --out SIGNED

Adds a signature. FILE is a bundle document or one that others have signed.

Example:
  kingcupglade bundle sign bundle.json --key mei.pem --operator mei --out signed.json
`,
  async run(commandArguments) {
    const { values, positionals } = parseArgs({
      args: [...commandArguments],
      allowPositionals: true,
      options: {
        key: { type: "string" },
        operator: { type: "string" },
        out: { type: "string" },
      },
    });
    const [path] = positionals;
    const { key, operator, out } = values;
    if (!path || !key || !operator || !out) {
      throw new UsageError(
        "bundle sign needs FILE, --key KEY, --operator NAME and --out SIGNED",
      );
    }
    const bundle = await readBundleFile(path);
    parseBundle(bundle.document);
    const privateKey = await readTextFile(key);
    await writeJsonFile(out, signBundle(bundle, { operator, privateKey }));
    return ExitCode.done;
  },
};

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

/** `bundle show`: prints the bundle in force at a VM. */
export const bundleShowCommand: Command = {
  help: `Usage: kingcupglade bundle show --vm IP:PORT

Prints the bundle that the VM routes by, with its signatures.

Example:
  kingcupglade bundle show --vm 127.0.0.1:8401
`,
  async run(commandArguments) {
    return await printAnswer(commandArguments, "/bundle");
  },
};

/** `status`: prints the deployment as the leader sees it. */
export const statusCommand: Command = {
  help: `Usage: kingcupglade status --vm IP:PORT

Prints VMs, leader, versions in force, targets and ranges as JSON.

Example:
  kingcupglade status --vm 127.0.0.1:8401
`,
  async run(commandArguments) {
    return await printAnswer(commandArguments, "/status");
  },
};

function onlyFile(
  commandArguments: readonly string[],
  command: string,
): string {
  const { positionals } = parseArgs({
    args: [...commandArguments],
    allowPositionals: true,
    options: {},
  });
  const [path] = positionals;
  if (path === undefined || positionals.length > 1) {
    throw new UsageError(`${command} needs one FILE`);
  }
  return path;
}

async function printAnswer(
  commandArguments: readonly string[],
  path: string,
): Promise<ExitCode> {
  const { values } = parseArgs({
    args: [...commandArguments],
    options: { vm: { type: "string" } },
  });
  if (!values.vm) throw new UsageError("give --vm IP:PORT");
  const { status, document } = await askVm(values.vm, path);
  process.stdout.write(`${JSON.stringify(document, null, 2)}\n`);
  return status === 200 ? ExitCode.done : ExitCode.failed;
}

async function waitUntilInForce(
  vm: string,
  version: number,
): Promise<ExitCode> {
  const until = performance.now() + waitMilliseconds;
  while (performance.now() < until) {
    const { status, document } = await askVm(vm, "/status");
    const { bundle } = document as ControlStatus;
    if (status === 200 && bundle?.inForceEverywhere) {
      if (bundle.version >= version) return ExitCode.done;
    }
    await new Promise((resolve) => setTimeout(resolve, pollMilliseconds));
  }
  process.stderr.write(
    `the bundle is accepted, but not every VM confirmed it within ${waitMilliseconds} ms; see kingcupglade status\n`,
  );
  return ExitCode.failed;
}

import { setTimeout as pause } from "node:timers/promises";
import { parseArgs } from "node:util";
import type { SignedBundle } from "@kingcupglade/bundle";
import type { RollOutcome } from "@kingcupglade/ownership";
import { ExitCode, UsageError } from "./command.ts";
import type { Command } from "./command.ts";
import { readBundleFile } from "./files.ts";
import { fetchStatus, requestVm } from "./operator_client.ts";
import type { OperatorResponse } from "./operator_client.ts";

/** HTTP status of a VM that found no control leader. */
const serviceUnavailable = 503;
/** Time within which VMs that were just started elect a leader. */
const leaderTimeoutMilliseconds = 20_000;
const inForceTimeoutMilliseconds = 10_000;
const pollIntervalMilliseconds = 100;

/** A roll failed: the bundle is not in force. */
export class RollError extends Error {
  override readonly name = "RollError";
}

interface ListenerError {
  readonly error: string;
}

/** `bundle roll`: puts a signed bundle into force. */
export const bundleRollCommand: Command = {
  help: `Usage: kingcupglade bundle roll SIGNED --vm IP:PORT [--wait]

Sends a signed bundle to the operators' listener of any VM and prints the answer
as JSON. With --wait, sends it again until a leader answers, and returns when
every VM routes by it. Exits with 1 when the bundle is refused or in conflict,
or is not in force everywhere in time.

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
    const response = values.wait
      ? await rollUntilAnswered(values.vm, document)
      : await requestVm(values.vm, "/bundle", { document });
    process.stdout.write(`${JSON.stringify(response.document)}\n`);
    const outcome = response.document as RollOutcome | ListenerError;
    if ("error" in outcome || outcome.kind !== "accepted") {
      throw new RollError(describeRefusal(outcome));
    }
    return values.wait
      ? await waitUntilInForce(values.vm, outcome.version)
      : ExitCode.done;
  },
};

/** Retries the roll until a leader responds; sending a bundle is idempotent. */
async function rollUntilAnswered(
  vm: string,
  document: SignedBundle,
): Promise<OperatorResponse> {
  const deadline = performance.now() + leaderTimeoutMilliseconds;
  const sendRoll = () => requestVm(vm, "/bundle", { document });
  while (performance.now() < deadline) {
    const response = await sendRoll().catch(() => null);
    if (response && response.status !== serviceUnavailable) return response;
    await pause(pollIntervalMilliseconds);
  }
  return await sendRoll();
}

function describeRefusal(
  outcome: Exclude<RollOutcome, { readonly kind: "accepted" }> | ListenerError,
): string {
  if ("error" in outcome) {
    return `the VM could not roll the bundle: ${outcome.error}; the same file can be sent again`;
  }
  return outcome.kind === "refused"
    ? `the bundle is refused: ${outcome.reason}`
    : `the bundle is in conflict: version ${outcome.version} with digest ${outcome.digest} is in force; see bundle diff, and sign a higher version`;
}

async function waitUntilInForce(
  vm: string,
  version: number,
): Promise<ExitCode> {
  const deadline = performance.now() + inForceTimeoutMilliseconds;
  while (performance.now() < deadline) {
    const { bundle } = await fetchStatus(vm);
    if (bundle?.inForceEverywhere && bundle.version >= version) {
      return ExitCode.done;
    }
    await pause(pollIntervalMilliseconds);
  }
  process.stderr.write(
    `the bundle is accepted, but not every VM confirmed it within ${inForceTimeoutMilliseconds} ms; see kingcupglade status\n`,
  );
  return ExitCode.failed;
}

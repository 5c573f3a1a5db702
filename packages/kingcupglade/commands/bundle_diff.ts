import { parseArgs } from "node:util";
import { diffBundles, parseBundle } from "@kingcupglade/bundle";
import type { BundleDifference, NameChanges } from "@kingcupglade/bundle";
import type { ControlStatus } from "../control/status.ts";
import { ExitCode, UsageError } from "./command.ts";
import type { Command } from "./command.ts";
import { readBundleFile } from "./files.ts";
import { askVm, fetchStatus, OperatorClientError } from "./operator_client.ts";

/** `bundle diff`: tells what a roll would change. */
export const bundleDiffCommand: Command = {
  help: `Usage: kingcupglade bundle diff FILE --vm IP:PORT [--json]

Compares a bundle with the one in force: services, tenants, routes, home
regions, data centres, and how many ranges would change their owner.

Example:
  kingcupglade bundle diff bundle.json --vm 127.0.0.1:8401
`,
  async run(commandArguments) {
    const { values, positionals } = parseArgs({
      args: [...commandArguments],
      allowPositionals: true,
      options: {
        vm: { type: "string" },
        json: { type: "boolean", default: false },
      },
    });
    const [path] = positionals;
    if (!path || !values.vm) {
      throw new UsageError("bundle diff needs FILE and --vm IP:PORT");
    }
    const after = parseBundle((await readBundleFile(path)).document);
    const answer = await askVm(values.vm, "/bundle");
    if (answer.status !== 200) {
      throw new OperatorClientError(
        "no bundle is in force yet, so there is nothing to compare with",
      );
    }
    const { signed } = answer.document as { signed: { document: unknown } };
    const difference = diffBundles(parseBundle(signed.document), after);
    const rangesToMove = countRangesToMove(
      difference,
      await fetchStatus(values.vm),
    );
    process.stdout.write(
      values.json
        ? `${JSON.stringify({ ...difference, rangesToMove })}\n`
        : formatDifference(difference, rangesToMove),
    );
    return ExitCode.done;
  },
};

/** Ranges whose owner stands in a data centre or service that goes. */
export function countRangesToMove(
  difference: BundleDifference,
  status: ControlStatus,
): number {
  const dataCentres = new Set([
    ...difference.takenOut,
    ...difference.dataCentres.removed,
  ]);
  const services = new Set(difference.services.removed);
  return status.targets
    .filter((each) =>
      dataCentres.has(each.dataCentre) || services.has(each.service)
    )
    .reduce((sum, each) => sum + each.ranges, 0);
}

function formatDifference(
  difference: BundleDifference,
  rangesToMove: number,
): string {
  const lines = [
    `version ${difference.fromVersion} -> ${difference.toVersion}`,
    ...formatNames("operator", difference.operators),
    ...formatNames("service", difference.services),
    ...formatNames("tenant", difference.tenants),
    ...formatNames("route", difference.routes),
    ...formatNames("data centre", difference.dataCentres),
    ...difference.takenOut.map((name) => `data centre ${name} taken out`),
    ...difference.broughtBack.map((name) => `data centre ${name} brought back`),
    ...difference.homes.map((home) =>
      `home of ${home.service} for ${home.tenant}: ${
        home.before.join(", ")
      } -> ${home.after.join(", ")}`
    ),
    `${rangesToMove} ranges change their owner`,
  ];
  return `${lines.join("\n")}\n`;
}

function formatNames(kind: string, changes: NameChanges): readonly string[] {
  return [
    ...changes.added.map((name) => `${kind} ${name} added`),
    ...changes.removed.map((name) => `${kind} ${name} removed`),
    ...changes.changed.map((name) => `${kind} ${name} changed`),
  ];
}

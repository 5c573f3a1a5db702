import { parseArgs } from "node:util";
import {
  diffBundles,
  emptyBundle,
  homeRegions,
  parseBundle,
  ServiceKind,
} from "@kingcupglade/bundle";
import type {
  Bundle,
  BundleDifference,
  NameChanges,
} from "@kingcupglade/bundle";
import { groupId } from "@kingcupglade/ownership";
import type { ControlStatus } from "../control/status.ts";
import { ExitCode, UsageError } from "./command.ts";
import type { Command } from "./command.ts";
import { readBundleFile } from "./files.ts";
import { fetchStatus, requestVm } from "./operator_client.ts";

/** Number of ranges by placement group. */
export type GroupRanges = Readonly<Record<string, number>>;

/** Changes of ranges and placement groups that a roll would cause. */
export interface RangeChanges {
  /** Ranges whose owner's data centre or service is removed or taken out. */
  readonly rangesToMove: number;
  /** Placement groups that no tenant needs after the roll. */
  readonly groupsRemoved: GroupRanges;
  /** Placement groups that the roll creates. */
  readonly groupsAdded: GroupRanges;
}

/** `bundle diff`: prints the changes that a roll would make. */
export const bundleDiffCommand: Command = {
  help: `Usage: kingcupglade bundle diff FILE --vm IP:PORT [--json]

Compares a bundle with the one in force: services, tenants, routes, home
regions, data centres, and how many ranges would change their owner. Before the
first roll, everything is named as added.

Examples:
  kingcupglade bundle diff bundle.json --vm 127.0.0.1:8401
  kingcupglade bundle diff signed.json --vm 127.0.0.1:8401 --json
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
    if (!path || positionals.length > 1 || !values.vm) {
      throw new UsageError("bundle diff needs FILE and --vm IP:PORT");
    }
    const after = parseBundle((await readBundleFile(path)).document);
    const status = await fetchStatus(values.vm);
    const difference = diffBundles(await fetchBundle(values.vm), after);
    const ranges = {
      rangesToMove: countRangesToMove(difference, status),
      ...compareGroups(after, status),
    };
    process.stdout.write(
      values.json
        ? `${JSON.stringify({ ...difference, ...ranges })}\n`
        : formatDifference(difference, ranges),
    );
    return ExitCode.done;
  },
};

async function fetchBundle(vm: string): Promise<Bundle> {
  const { status, document } = await requestVm(vm, "/bundle");
  if (status !== 200) return emptyBundle;
  const { signed } = document as { signed: { document: unknown } };
  return parseBundle(signed.document);
}

/** Returns the placement groups that a bundle removes and creates. */
export function compareGroups(
  after: Bundle,
  status: ControlStatus,
): Omit<RangeChanges, "rangesToMove"> {
  const needed = listNeededGroups(after);
  const present = new Map(status.groups.map((each) => [each.id, each.ranges]));
  return {
    groupsRemoved: Object.fromEntries(
      [...present].filter(([id]) => !needed.has(id)),
    ),
    groupsAdded: Object.fromEntries(
      [...needed].filter(([id]) => !present.has(id)),
    ),
  };
}

function listNeededGroups(bundle: Bundle): ReadonlyMap<string, number> {
  const keyed = bundle.services.filter((each) =>
    each.kind === ServiceKind.keyed
  );
  return new Map(
    keyed.flatMap(({ name, initialRanges }) =>
      bundle.tenants.map((tenant): [string, number] => {
        const subject = { service: name, tenant: tenant.name };
        return [groupId(name, homeRegions(bundle, subject)), initialRanges];
      })
    ),
  );
}

function countRangesToMove(
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
  ranges: RangeChanges,
): string {
  const lines = [
    `version ${difference.fromVersion} -> ${difference.toVersion}`,
    ...formatNames("operator", difference.operators),
    ...formatSignatures(difference.requiredSignatures),
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
    ...formatGroups("removed", ranges.groupsRemoved),
    ...formatGroups("added", ranges.groupsAdded),
    `${ranges.rangesToMove} ranges to move from data centres or services that are removed or taken out`,
  ];
  return `${lines.join("\n")}\n`;
}

function formatSignatures(
  { before, after }: BundleDifference["requiredSignatures"],
): readonly string[] {
  return before === after
    ? []
    : [`signatures of the next bundle: ${before} -> ${after}`];
}

function formatGroups(
  change: string,
  groups: GroupRanges,
): readonly string[] {
  return Object.entries(groups).map(([id, ranges]) =>
    `placement group ${id} ${change}, with ${ranges} ranges`
  );
}

function formatNames(kind: string, changes: NameChanges): readonly string[] {
  return [
    ...changes.added.map((name) => `${kind} ${name} added`),
    ...changes.removed.map((name) => `${kind} ${name} removed`),
    ...changes.changed.map((name) => `${kind} ${name} changed`),
  ];
}

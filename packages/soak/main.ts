import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { parseArgs } from "node:util";
import { loopbackPrefix } from "@kingcupglade/fakes";
import { killProcessesOnExit } from "./server_process.ts";
import { LinkScenario } from "./link_faults.ts";
import { runLinkSoak } from "./link_soak.ts";
import type { LinkSoakResult } from "./link_soak.ts";
import { runSoak } from "./soak_run.ts";

const { values } = parseArgs({
  options: {
    seed: { type: "string", default: "1" },
    seeds: { type: "string", default: "1" },
    seconds: { type: "string", default: "20" },
    /** Fails the links between VMs in place of processes. */
    links: { type: "boolean", default: false },
    /** The only fault of links; all by default. */
    scenario: { type: "string" },
    /** Number of routes that are changed in turn while links fail. */
    routes: { type: "string", default: "40" },
    bundle: { type: "string", default: "dist/kingcupglade.cjs" },
  },
});

/** Gateways that were later than this are printed, whether excused or not. */
const late = 2000;

const scenarios = values.scenario === undefined ? undefined : Object.values(
  LinkScenario,
).filter((each) => each === values.scenario);

/** Prints how late each gateway was, and replaces the list by the latest. */
function summarize({ lateHandlings, lateRuns, ...result }: LinkSoakResult) {
  const handlings = findLatest(lateHandlings);
  const runs = findLatest(lateRuns);
  if (Math.max(...Object.values(handlings), ...Object.values(runs)) > late) {
    console.log("latest handling of an older version, in ms:", handlings);
    console.log("latest run at a leaving target, in ms:", runs);
  }
  return {
    ...result,
    latestHandling: Math.max(0, ...Object.values(handlings)),
    latestRun: Math.max(0, ...Object.values(runs)),
  };
}

function findLatest(
  all: readonly { readonly gateway: string; readonly milliseconds: number }[],
): Readonly<Record<string, number>> {
  const latest: Record<string, number> = {};
  for (const { gateway, milliseconds } of all) {
    latest[gateway] = Math.max(latest[gateway] ?? 0, milliseconds);
  }
  return latest;
}

/** Runs the seeds one after another; returns how many had violations. */
async function runSeeds(): Promise<number> {
  const first = Number(values.seed);
  let failures = 0;
  for (let seed = first; seed < first + Number(values.seeds); seed += 1) {
    const folder = await mkdtemp(join(tmpdir(), `soak-${seed}-`));
    const options = {
      seed,
      milliseconds: Number(values.seconds) * 1000,
      bundle: values.bundle,
      folder,
      prefix: loopbackPrefix(),
    };
    const result = values.links
      ? summarize(
        await runLinkSoak({
          ...options,
          scenarios,
          routeCount: Number(values.routes),
        }),
      )
      : await runSoak(options);
    const { faults, violations, ...counts } = result;
    console.log(
      JSON.stringify({ ...counts, faults: faults.length, violations }),
    );
    if (violations.length === 0) {
      await rm(folder, { recursive: true });
      continue;
    }
    failures += 1;
    console.log(
      `settings, data and logs of seed ${seed} are kept in ${folder}`,
    );
    console.log(faults.join("\n"));
  }
  return failures;
}

killProcessesOnExit();
runSeeds().then((failures) => {
  process.exitCode = failures === 0 ? 0 : 1;
});

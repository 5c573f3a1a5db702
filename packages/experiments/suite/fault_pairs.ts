import { formatViolations, selectFirstViolations } from "@kingcupglade/checker";
import type { Experiment } from "../experiment.ts";
import { faultLanes } from "../disturbances.ts";
import { historyFigures } from "../history_figures.ts";
import { runHistory } from "../history_run.ts";
import type { HistoryRun } from "../history_run.ts";

const secondsPerPair = 5;
const repairMilliseconds = 1000;

type Fault = keyof typeof faultLanes;
type Pair = readonly [Fault, Fault];

/** Runs a deployment under each single fault and each pair of faults. */
export const faultPairsExperiment: Experiment = {
  summary: "violations of each invariant under each pair of faults",
  async run({ seed, progress }) {
    const runs: HistoryRun[] = [];
    for (const [index, [left, right]] of allFaultPairs().entries()) {
      const run = await runHistory({
        seed: seed + index,
        seconds: secondsPerPair,
        lanes: { [left]: faultLanes[left], [right]: faultLanes[right] },
        control: { repairMilliseconds },
      });
      runs.push(run);
      progress(formatRun(run, { seed: seed + index, pair: [left, right] }));
      if (run.violations.length === 0) continue;
      progress(formatViolations(selectFirstViolations(run.violations)));
    }
    return { figures: historyFigures(runs) };
  },
};

function allFaultPairs(): readonly Pair[] {
  const faults = Object.keys(faultLanes) as Fault[];
  return faults.flatMap((left, index) =>
    faults.slice(index).map((right): Pair => [left, right])
  );
}

function formatRun(
  run: HistoryRun,
  { seed, pair }: { readonly seed: number; readonly pair: Pair },
): string {
  const [left, right] = pair;
  const disturbanceCounts = [...run.disturbances].map(([name, count]) =>
    `${count} ${name}`
  );
  const answered = run.outcomes.get("answered") ?? 0;
  return [
    `seed ${seed}: ${left === right ? `${left} alone` : `${left}, ${right}`}`,
    disturbanceCounts.join(", "),
    `${run.events.length} events, ${answered} answered`,
    `${run.violations.length} violations`,
    run.hasRecovered ? "served in the end" : "not served in the end",
  ].join("; ");
}

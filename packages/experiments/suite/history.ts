import { formatViolations, selectFirstViolations } from "@kingcupglade/checker";
import type { Experiment, Figure } from "../experiment.ts";
import { historyFigures } from "../history_figures.ts";
import { runHistory } from "../history_run.ts";
import type { HistoryRun } from "../history_run.ts";

const schedules = 4;
const secondsPerSchedule = 25;

/** Runs a deployment under seeded faults and checks every invariant. */
export const historyExperiment: Experiment = {
  summary: "violations of each invariant in runs under seeded faults",
  async run({ seed, progress }) {
    const runs: HistoryRun[] = [];
    for (let index = 0; index < schedules; index += 1) {
      const run = await runHistory({
        seed: seed + index,
        seconds: secondsPerSchedule,
      });
      runs.push(run);
      progress(
        `seed ${
          seed + index
        }: ${run.events.length} events, ${run.violations.length} violations`,
      );
      if (run.violations.length === 0) continue;
      progress(formatViolations(selectFirstViolations(run.violations)));
    }
    return { figures: [...historyFigures(runs), ...countFigures(runs)] };
  },
};

function countFigures(runs: readonly HistoryRun[]): readonly Figure[] {
  return [
    ...sumCounts(runs.map((run) => run.outcomes), "requests told "),
    ...sumCounts(runs.map((run) => run.disturbances), ""),
  ];
}

function sumCounts(
  counts: readonly ReadonlyMap<string, number>[],
  prefix: string,
): readonly Figure[] {
  const names = [...new Set(counts.flatMap((each) => [...each.keys()]))].sort();
  return names.map((name) => ({
    name: `${prefix}${name}`,
    value: counts.reduce((sum, each) => sum + (each.get(name) ?? 0), 0),
    unit: "times",
  }));
}

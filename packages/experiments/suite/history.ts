import {
  firstViolations,
  formatViolations,
  PromiseName,
} from "@kingcupglade/checker";
import type { Experiment, Figure } from "../experiment.ts";
import { runHistory } from "../history_run.ts";
import type { HistoryRun } from "../history_run.ts";

const schedules = 4;
const secondsPerSchedule = 25;

/** Runs the daemon under seeded faults and checks every promise. */
export const historyExperiment: Experiment = {
  summary: "violations of each promise in runs under seeded faults",
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
      progress(formatViolations(firstViolations(run.violations)));
    }
    return { figures: [...violationFigures(runs), ...coverageFigures(runs)] };
  },
};

function violationFigures(runs: readonly HistoryRun[]): readonly Figure[] {
  const violations = runs.flatMap((run) => run.violations);
  return Object.values(PromiseName).map((promise) => ({
    name: promise,
    value: violations.filter((each) => each.promise === promise).length,
    unit: "violations",
    target: { atMost: 0 },
  }));
}

function coverageFigures(runs: readonly HistoryRun[]): readonly Figure[] {
  return [
    {
      name: "runs that served every range in the end",
      value: runs.filter((run) => run.recovered).length,
      unit: "runs",
      target: { atLeast: runs.length },
    },
    {
      name: "events checked",
      value: runs.reduce((sum, run) => sum + run.events.length, 0),
      unit: "events",
    },
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

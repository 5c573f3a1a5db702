import { InvariantName } from "@kingcupglade/checker";
import type { Figure } from "./experiment.ts";
import type { HistoryRun } from "./history_run.ts";

/** Returns the violations of each invariant, and how much the runs covered. */
export function historyFigures(
  runs: readonly HistoryRun[],
): readonly Figure[] {
  const violations = runs.flatMap((run) => run.violations);
  return [
    ...Object.values(InvariantName).map((invariant): Figure => ({
      name: invariant,
      value: violations.filter((each) => each.invariant === invariant).length,
      unit: "violations",
      target: { atMost: 0 },
    })),
    {
      name: "runs that served every range in the end",
      value: runs.filter((run) => run.hasRecovered).length,
      unit: "runs",
      target: { atLeast: runs.length },
    },
    {
      name: "events checked",
      value: runs.reduce((sum, run) => sum + run.events.length, 0),
      unit: "events",
    },
  ];
}

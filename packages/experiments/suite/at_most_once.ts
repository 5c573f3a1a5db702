import { runAtMostOnce } from "../at_most_once_run.ts";
import type { AtMostOnceResult } from "../at_most_once_run.ts";
import type { Experiment, Figure } from "../experiment.ts";

const requests = 10_000;

/** Compares retried reservations under faults with and without the ledger. */
export const atMostOnceExperiment: Experiment = {
  summary: "reservations run twice or lost while VMs and targets fail",
  async run({ seed, progress }) {
    const run = await runAtMostOnce({ seed, requests, withLedger: true });
    progress(`with the ledger: ${JSON.stringify(run)}`);
    const baseline = await runAtMostOnce({ seed, requests, withLedger: false });
    progress(`without the ledger: ${JSON.stringify(baseline)}`);
    return { figures: createFigures(run, baseline) };
  },
};

function createFigures(
  run: AtMostOnceResult,
  baseline: AtMostOnceResult,
): readonly Figure[] {
  const zeroFigure = (
    name: string,
    count: (result: AtMostOnceResult) => number,
  ): Figure => ({
    name,
    value: count(run),
    baseline: count(baseline),
    unit: "requests",
    target: { atMost: 0 },
  });
  const unknownPercentage = (result: AtMostOnceResult) =>
    100 * result.unknown / result.requests;
  return [
    zeroFigure("run twice", (result) => result.runTwice),
    zeroFigure("acknowledged and lost", (result) => result.lost),
    zeroFigure("false not-run", (result) => result.falseNotRun),
    {
      name: "unknown in the end",
      value: unknownPercentage(run),
      baseline: unknownPercentage(baseline),
      unit: "%",
    },
    {
      name: "sendings",
      value: run.sendings,
      baseline: baseline.sendings,
      unit: "requests",
    },
    {
      name: "disturbances",
      value: run.disturbances,
      baseline: baseline.disturbances,
      unit: "",
    },
  ];
}

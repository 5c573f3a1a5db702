import type { Experiment } from "./experiment.ts";

/** Every experiment, imported when it is run. */
export const experiments: ReadonlyMap<string, () => Promise<Experiment>> =
  new Map(Object.entries({
    "throughput": async () =>
      (await import("./suite/throughput.ts")).throughputExperiment,
    "slow-targets": async () =>
      (await import("./suite/slow_targets.ts")).slowTargetsExperiment,
    "planner": async () =>
      (await import("./suite/planner.ts")).plannerExperiment,
    "at-most-once": async () =>
      (await import("./suite/at_most_once.ts")).atMostOnceExperiment,
    "history": async () =>
      (await import("./suite/history.ts")).historyExperiment,
    "ledger-cost": async () =>
      (await import("./suite/ledger_cost.ts")).ledgerCostExperiment,
    "lost-owner": async () =>
      (await import("./suite/lost_owner.ts")).lostOwnerExperiment,
  }));

import type { Experiment } from "./experiment.ts";

/** Every experiment, imported when it is run. */
export const experiments: ReadonlyMap<string, () => Promise<Experiment>> =
  new Map(Object.entries({
    "planner": async () =>
      (await import("./suite/planner.ts")).plannerExperiment,
    "at-most-once": async () =>
      (await import("./suite/at_most_once.ts")).atMostOnceExperiment,
    "history": async () =>
      (await import("./suite/history.ts")).historyExperiment,
    "ledger-cost": async () =>
      (await import("./suite/ledger_cost.ts")).ledgerCostExperiment,
    "lost-ledger": async () =>
      (await import("./suite/lost_ledger.ts")).lostLedgerExperiment,
    "lost-owner": async () =>
      (await import("./suite/lost_owner.ts")).lostOwnerExperiment,
  }));

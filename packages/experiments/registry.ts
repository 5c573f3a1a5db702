import type { Experiment } from "./experiment.ts";

/** Every experiment, imported when it is run. */
export const experiments: ReadonlyMap<string, () => Promise<Experiment>> =
  new Map(Object.entries({
    "planner": async () =>
      (await import("./suite/planner.ts")).plannerExperiment,
    "history": async () =>
      (await import("./suite/history.ts")).historyExperiment,
    "lost-owner": async () =>
      (await import("./suite/lost_owner.ts")).lostOwnerExperiment,
  }));

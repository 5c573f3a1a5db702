import type { Experiment } from "./experiment.ts";

/** Every experiment, imported when it is run. */
export const experiments: ReadonlyMap<string, () => Promise<Experiment>> =
  new Map(Object.entries({
    "planner": async () =>
      (await import("./suite/planner.ts")).plannerExperiment,
    "lost-owner": async () =>
      (await import("./suite/lost_owner.ts")).lostOwnerExperiment,
  }));

import type { Experiment } from "./experiment.ts";

/** All experiments by name, each imported only when it is run. */
export const experiments: ReadonlyMap<string, () => Promise<Experiment>> =
  new Map(Object.entries({
    "commit": async () => (await import("./suite/commit.ts")).commitExperiment,
    "guarded-changes": async () =>
      (await import("./suite/guarded_changes.ts")).guardedChangesExperiment,
    "control-loss": async () =>
      (await import("./suite/control_loss.ts")).controlLossExperiment,
    "log-slopes": async () =>
      (await import("./suite/log_slopes.ts")).logSlopesExperiment,
    "recovery": async () =>
      (await import("./suite/recovery.ts")).recoveryExperiment,
    "throughput": async () =>
      (await import("./suite/throughput.ts")).throughputExperiment,
    "steady-load": async () =>
      (await import("./suite/steady_load.ts")).steadyLoadExperiment,
    "gateway-memory": async () =>
      (await import("./suite/gateway_memory.ts")).gatewayMemoryExperiment,
    "credits": async () =>
      (await import("./suite/credits.ts")).creditsExperiment,
    "data-centre": async () =>
      (await import("./suite/data_centre.ts")).dataCentreExperiment,
    "slow-targets": async () =>
      (await import("./suite/slow_targets.ts")).slowTargetsExperiment,
    "planner": async () =>
      (await import("./suite/planner.ts")).plannerExperiment,
    "at-most-once": async () =>
      (await import("./suite/at_most_once.ts")).atMostOnceExperiment,
    "history": async () =>
      (await import("./suite/history.ts")).historyExperiment,
    "fault-pairs": async () =>
      (await import("./suite/fault_pairs.ts")).faultPairsExperiment,
    "rolls": async () => (await import("./suite/rolls.ts")).rollsExperiment,
    "control-cost": async () =>
      (await import("./suite/control_cost.ts")).controlCostExperiment,
    "table-size": async () =>
      (await import("./suite/table_size.ts")).tableSizeExperiment,
    "ledger-cost": async () =>
      (await import("./suite/ledger_cost.ts")).ledgerCostExperiment,
    "lost-ledger": async () =>
      (await import("./suite/lost_ledger.ts")).lostLedgerExperiment,
    "peer-calls": async () =>
      (await import("./suite/peer_calls.ts")).peerCallsExperiment,
    "lost-owner": async () =>
      (await import("./suite/lost_owner.ts")).lostOwnerExperiment,
    "whole-answers": async () =>
      (await import("./suite/whole_answers.ts")).wholeAnswersExperiment,
  }));

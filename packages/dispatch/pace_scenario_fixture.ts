import type { PolicyFactory } from "./pace_policies_fixture.ts";

/** Kinds of new targets. */
export const NewTarget = {
  healthy: "healthy",
  /** Work takes four times as long in the first seconds. */
  slow: "slow",
  /** Crashes above a rate in the first seconds. */
  fragile: "fragile",
} as const;
export type NewTarget = typeof NewTarget[keyof typeof NewTarget];

/** A run of the simulation. */
export interface PaceScenario {
  readonly policy: PolicyFactory;
  readonly kind: NewTarget;
  readonly slots: number;
  readonly choosers: number;
  /** Requests relative to what all targets can do, the new one included. */
  readonly load: number;
  /** Relative number of requests of the first chooser. @default 1 */
  readonly firstChooserWeight?: number;
  readonly seed: number;
}

/** Result of a run, for the new target. */
export interface PaceResult {
  /** Requests that it rejected. */
  readonly rejected: number;
  /** Mean of those that the other targets rejected in the same time. */
  readonly othersRejected: number;
  readonly crashes: number;
  /** Requests that were lost in crashes. */
  readonly broken: number;
  readonly probes: number;
  /** Requests that it completed. */
  readonly completed: number;
  /**
   * Slots in use, relative to the mean of the other targets, in the first 2 s.
   */
  readonly earlyShare: number;
  /** The same after that. */
  readonly settledShare: number;
  /** Requests at all targets that were not served in time. */
  readonly unserved: number;
  readonly received: number;
}

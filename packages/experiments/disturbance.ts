import type { BundleRoller } from "./bundle_roller.ts";
import type { Deployment } from "./deployment.ts";
import type { DataCentreDescription } from "./deployment_options.ts";
import type { RandomSource } from "./random_source.ts";

/** Context of a {@link Disturbance}. */
export interface DisturbanceContext {
  readonly deployment: Deployment;
  readonly roller: BundleRoller;
  readonly dataCentres: readonly DataCentreDescription[];
  /** Random source of one lane; lanes do not share it. */
  readonly random: RandomSource;
  /** Targets that the disturbances of the lane may affect. */
  readonly targets: readonly string[];
  /** VMs that callers should currently not use. */
  readonly unready: Set<string>;
}

/**
 * A fault or operation that is injected into a deployment and then reverted.
 */
export abstract class Disturbance {
  /** Name in reports. */
  abstract readonly name: string;
  /** Longest pause until the next disturbance of its lane, in milliseconds. */
  readonly maximumIntervalMilliseconds: number = 600;
  /** Injects the disturbance, waits, and reverts it. */
  abstract run(context: DisturbanceContext): Promise<void>;
}

import type { VmOptions } from "kingcupglade";

/** A data centre of a deployment. */
export interface DataCentreDescription {
  readonly name: string;
  readonly region: string;
}

/** Options of {@link Deployment.start}. */
export interface DeploymentOptions {
  readonly dataCentres: readonly DataCentreDescription[];
  /** Data centre of each VM, by VM name. */
  readonly vms: Readonly<Record<string, string>>;
  /** VMs that form the first replica set. */
  readonly voters: readonly string[];
  /** VMs with a data folder. @default the voters */
  readonly vmsWithDisk?: readonly string[];
  /** Content of the bundle without version, operators and data centres. */
  readonly content: Readonly<Record<string, unknown>>;
  /** Additional settings of the control section. */
  readonly control?: Readonly<Record<string, number>>;
  /** @default "silent" */
  readonly logLevel?: string;
  /**
   * Whether links between processes can be cut and VMs paused. @default false
   */
  readonly withLinks?: boolean;
  /** Overrides of the policy of a VM, for measurements. */
  readonly policy?: (vm: string) => VmOptions["policy"];
}

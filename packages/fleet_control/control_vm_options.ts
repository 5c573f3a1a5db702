import type { QuotaSettings } from "@kingcupglade/quotas";
import type { Clock } from "@kingcupglade/tasks";
import type { Logger } from "@kingcupglade/telemetry";
import type { ControlWire } from "./control_wire.ts";

/** Options of {@link ControlVm}. */
export interface ControlVmOptions {
  readonly name: string;
  readonly dataCentre: string;
  readonly region: string;
  readonly folder: string;
  /** Address at which targets and operators reach this VM, as IP:PORT. */
  readonly controlAddress: string;
  /** Address at which the other VMs reach this VM, as IP:PORT. */
  readonly peerAddress: string;
  /** Address to listen on for targets and operators. @default `controlAddress` */
  readonly controlListenAddress?: string | undefined;
  /** Address to listen on for the other VMs. @default `peerAddress` */
  readonly peerListenAddress?: string | undefined;
  /**
   * IP that connections to other VMs are bound to. @default chosen by the system
   */
  readonly localAddress?: string | undefined;
  /** Control addresses used to discover the other control VMs. */
  readonly seeds: readonly string[];
  /** Whether the whole fleet starts for the first time. */
  readonly mayFound: boolean;
  /** Number of data folders that may be lost at the same time. */
  readonly toleratedLosses: number;
  readonly heartbeatMilliseconds: number;
  /** Region of each data centre. */
  readonly regions: Readonly<Record<string, string>>;
  readonly secret: string;
  /**
   * Time after the acknowledgement of a revocation from which no request with
   * the key reaches a target. @default no bound
   */
  readonly revokeMilliseconds?: number;
  /** How closely limits are kept. @default `defaultQuotaSettings` */
  readonly quotas?: QuotaSettings;
  readonly wire: ControlWire;
  readonly clock: Clock;
  readonly logger: Logger;
  /**
   * Called after a failure that a restart of the replica does not cure. A data
   * folder that fails is none: the VM goes on without a replica meanwhile.
   */
  readonly onFailure: (failure: unknown) => void;
}

import type {
  FleetCommand,
  FleetOutcome,
  FleetState,
  VmEndpoint,
} from "@kingcupglade/fleet";
import type { QuotaSettings } from "@kingcupglade/quotas";
import type { Replica } from "@kingcupglade/replica";
import type { Clock } from "@kingcupglade/tasks";
import type { Logger } from "@kingcupglade/telemetry";
import type { ElapsedClock } from "@kingcupglade/workspaces";
import type { WatchOwnPart } from "./watch.ts";

/** Replica of the fleet's state. */
export type FleetReplica = Replica<FleetState, FleetCommand, FleetOutcome>;

/** Options of a {@link LeaderSession}. */
export interface LeaderSessionOptions {
  readonly replica: FleetReplica;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly heartbeatMilliseconds: number;
  /** Address at which targets reach this VM, as IP:PORT. */
  readonly controlAddress: string;
  /** Region of this VM. */
  readonly region: string;
  readonly regionOf: (dataCentre: string) => string;
  /** Peer addresses of the control VMs in contact. */
  readonly controlAddresses: () => readonly string[];
  /** Followers that may take heartbeats, with their control addresses. */
  readonly listeners: () => readonly VmEndpoint[];
  /**
   * Time after the acknowledgement of a revocation from which no request with
   * the key reaches a target. @default no bound
   */
  readonly revokeMilliseconds?: number;
  /** How closely limits are kept. @default `defaultQuotaSettings` */
  readonly quotas?: QuotaSettings;
  /** Counts `clock` and suspensions. @default one of its own */
  readonly elapsedClock?: ElapsedClock;
}

/** Response to a watch request. */
export interface WatchResponseParts {
  /** An encoded {@link WatchAnswer}, which gateways at one position share. */
  readonly answer: Uint8Array<ArrayBuffer>;
  readonly own: WatchOwnPart;
}

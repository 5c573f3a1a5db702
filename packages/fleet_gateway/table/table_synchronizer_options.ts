import type {
  CrashSuspect,
  PositionDemand,
  TargetDuration,
  TargetIncarnation,
  TargetLimitReport,
} from "@kingcupglade/fleet";
import type {
  PeerClients,
  Watch,
  WatchOwnPart,
} from "@kingcupglade/fleet_control";
import type { Clock } from "@kingcupglade/tasks";
import type { Logger, Metrics } from "@kingcupglade/telemetry";

/** Options of a {@link TableSynchronizer}. */
export interface TableSynchronizerOptions {
  readonly gateway: Pick<
    Watch,
    "gateway" | "dataCentre" | "region" | "address"
  >;
  /** Returns whether this gateway reaches no target. */
  readonly isCutOff: () => boolean;
  /** Returns and resets the counts of keyed requests since the last call. */
  readonly takeDemand: () => readonly PositionDemand[];
  /** Returns the durations that have not been reported to the leader. */
  readonly takeDurations: (isNewLeader: boolean) => readonly TargetDuration[];
  /** Returns the limits of targets not reported to the leader; all for a new one. */
  readonly takeLimits: (isNewLeader: boolean) => readonly TargetLimitReport[];
  /** Returns targets that said they leave, not reported; all for a new leader. */
  readonly takeLeaving: (isNewLeader: boolean) => readonly TargetIncarnation[];
  /** Returns the suspects known to this gateway. */
  readonly suspects: () => readonly CrashSuspect[];
  /** Called with all suspects that a leader of the term knows. */
  readonly onSuspects: (
    suspects: readonly CrashSuspect[],
    term: number,
  ) => void;
  /** Peer addresses of control VMs that are queried for the leader first. */
  readonly seeds: readonly string[];
  readonly clients: PeerClients;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Pick<Metrics, "tableMismatches">;
  /** Returns a number between 0 and 1. */
  readonly random: () => number;
  /** Called after each table update. */
  readonly onChange: () => void;
  /** Returns the reports on limits that all gateways share. @default none */
  readonly takeQuotas?: (isNewLeader: boolean) => readonly unknown[];
  /**
   * Clock for {@link ReceivedOwnPart.sentAt}, which also advances while the VM
   * is suspended. @default clock
   */
  readonly elapsedClock?: Clock;
  /**
   * Called with the part of each update for this gateway alone, after the table
   * has been updated and before `onChange`. @default ignored
   */
  readonly onOwnPart?: (received: ReceivedOwnPart) => void;
}

/** Part of an update for this gateway alone. */
export interface ReceivedOwnPart {
  readonly part: WatchOwnPart;
  /** When the watch request was sent, on the elapsed clock. */
  readonly sentAt: number;
  /** Whether the table agrees with the leader's digest of all items. */
  readonly isTableCurrent: boolean;
}

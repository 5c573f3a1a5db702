import type { StoredItem } from "@kingcupglade/items";
import type { CrashSuspect } from "./crash_suspects.ts";
import type { VmEndpoint } from "./pools.ts";

/** Target as published to gateways. */
export interface TargetView {
  readonly name: string;
  /** Start of its incarnation in Unix milliseconds; 0 if not reported. */
  readonly bornAt: number;
  readonly service: string;
  /** IP:PORT. */
  readonly address: string;
  readonly dataCentre: string;
  readonly slots: number;
  readonly isLeaving: boolean;
  readonly isCold: boolean;
  /** Names of the gateways that may send it requests while it is cold. */
  readonly coldGateways: readonly string[];
  /**
   * Requests per second that it accepts from all gateways together; null if it
   * names no limit.
   */
  readonly maximumPerSecond: number | null;
  /**
   * Names of the gateways that share this limit; empty if the target has a
   * manager, or until the leader has chosen them.
   */
  readonly limitGateways: readonly string[];
}

/** Limit that a target named, or ended, in a response to a gateway. */
export interface TargetLimitReport {
  readonly target: string;
  /** Requests per second from all gateways together; null for no limit. */
  readonly perSecond: number | null;
}

/** Range as published to gateways. */
export interface RangeView {
  readonly service: string;
  readonly from: number;
  readonly to: number;
  /** Name of the owner; empty if there is none. */
  readonly owner: string;
  readonly fence: number;
  /** Whether gateways delay requests for the range. */
  readonly isMoving: boolean;
}

/** Version of the table that a gateway has. */
export interface ViewPosition {
  /** Index of the last log entry included. */
  readonly index: number;
  /** Term of the leader that sent the targets; 0 for none. */
  readonly term: number;
  /** Revision of that leader's targets and ranges, counted within its term. */
  readonly revision: number;
  /**
   * Whether every live target had had time to send the leader a heartbeat when
   * it sent this version.
   */
  readonly isComplete: boolean;
}

/** Update for a gateway: the changes since its {@link ViewPosition}. */
export interface ViewDelta {
  readonly position: ViewPosition;
  readonly items: readonly StoredItem[];
  /**
   * Digest of all items of the leader, with which the table has to agree after
   * the update; null if the leader sends none.
   */
  readonly itemsDigest: number | null;
  /**
   * Digest of the contents of all items and of all targets that the leader lists,
   * with which the table has to agree after the update; null if the leader sends
   * none, or does not know all targets yet.
   */
  readonly tableDigest: number | null;
  /** All data centres that are out of service. */
  readonly dataCentresOut: readonly string[];
  /** Names of targets that announced their departure. */
  readonly departed: readonly string[];
  readonly targets: readonly TargetView[];
  /** Whether `targets` lists all targets. */
  readonly areTargetsComplete: boolean;
  readonly removedTargets: readonly string[];
  readonly ranges: readonly RangeView[];
  /**
   * Number of gateways in contact with the leader; 0 until it has led for long
   * enough to know.
   */
  readonly gateways: number;
  /**
   * All requests whose runs may have ended targets; null if unchanged.
   */
  readonly suspects: readonly CrashSuspect[] | null;
  /** Gateways that allocate the slots of targets; null if unchanged. */
  readonly managers: readonly VmEndpoint[] | null;
  /**
   * Gateways that may take requests of one that reaches no target, with their
   * peer addresses; null if unchanged.
   */
  readonly relays: readonly VmEndpoint[] | null;
  /** Peer addresses of the control VMs; null if unchanged. */
  readonly control: readonly string[] | null;
}

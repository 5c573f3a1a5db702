import type {
  CrashSuspect,
  PositionDemand,
  TargetDuration,
  TargetIncarnation,
  TargetLimitReport,
  ViewDelta,
  ViewPosition,
} from "@kingcupglade/fleet";

/** Watch request of a gateway, which is answered when there is an update. */
export interface Watch {
  /** Name of the gateway's VM. */
  readonly gateway: string;
  readonly dataCentre: string;
  readonly region: string;
  /** Peer address of the gateway's VM. */
  readonly address: string;
  /** Whether the VM is about to stop. */
  readonly isLeaving: boolean;
  /** Whether the VM reaches no target. */
  readonly isCutOff: boolean;
  readonly position: ViewPosition;
  /** Whether the request only searches for the leader. */
  readonly isSearch: boolean;
  /** Keyed requests since the previous watch request. */
  readonly demand: readonly PositionDemand[];
  readonly durations: readonly TargetDuration[];
  /** Limits of targets that changed since the previous watch request. */
  readonly limits: readonly TargetLimitReport[];
  /** Targets that said in a response that they leave. */
  readonly leaving: readonly TargetIncarnation[];
  /** Requests whose runs may end targets, for a new leader. */
  readonly suspects: readonly CrashSuspect[];
  /** Values of {@link Feature}; empty in requests of releases without them. */
  readonly features: readonly string[];
  /**
   * Reports on limits that all gateways share, encoded by `quotas`; empty in
   * requests of releases without them.
   */
  readonly quotas: readonly unknown[];
}

/**
 * Part of the response to a watch request for one gateway alone. A leader of an
 * earlier release sends none, which is read as an empty part.
 */
export interface WatchOwnPart {
  /**
   * How long before it received the watch request the leader was confirmed by a
   * quorum, in milliseconds; at least 0, and absent if it was never confirmed.
   */
  readonly confirmedAgeMilliseconds?: number;
  /** Loans of limits that all gateways share, encoded by `quotas`. */
  readonly quotas?: unknown;
}

/** Response to a watch request. */
export type WatchAnswer =
  | { readonly kind: "news"; readonly delta: ViewDelta }
  /**
   * This VM is the leader. Sent in response to a search, without waiting for an
   * update.
   */
  | { readonly kind: "leads" }
  /** Another VM is the leader; its peer address, or null if unknown. */
  | { readonly kind: "elsewhere"; readonly leader: string | null };

import type { GatewayKeys, KeyLease } from "@kingcupglade/workspaces";

/** The first of the two leads until the second is elected, and may not know. */
export const leaders = [0, 1] as const;
export const gateways = [0, 1] as const;

export type LeaderId = typeof leaders[number];
export type GatewayId = typeof gateways[number];

/** An injected fault that the exploration must detect. */
export type KeyLeaseMutation =
  /** The lease is counted from the response of the leader. */
  | "countsFromResponse"
  /** A gateway sends what another one relays to it without a check. */
  | "sendsRelayedUnchecked"
  /** The lease is measured by a clock that stops during a suspension. */
  | "ignoresSuspension"
  /** A leader reports no age of its confirmation. */
  | "reportsNoAge"
  /** A change is acknowledged without a wait for gateways. */
  | "acknowledgesAtOnce";

export interface ModelLeader {
  readonly index: number;
  readonly confirmedAt: number;
  readonly known: readonly GatewayKeys[];
}

export interface ModelGateway {
  /** Log entry of its table; null after a restart. */
  readonly index: number | null;
  readonly lease: KeyLease;
  /** Time for which it was suspended. */
  readonly suspended: number;
  readonly hasRestarted: boolean;
}

export type ModelMessage =
  | {
    readonly kind: "watch" | "held";
    readonly gateway: GatewayId;
    readonly leader: LeaderId;
    readonly sentAt: number;
    readonly receivedAt: number;
    readonly index: number;
  }
  | {
    readonly kind: "response";
    readonly gateway: GatewayId;
    readonly sentAt: number;
    readonly age: number | undefined;
    readonly index: number;
  }
  | { readonly kind: "relayed"; readonly gateway: GatewayId };

/** State of two leaders, two gateways and the messages between them. */
export interface KeyLeaseState {
  readonly now: number;
  /** The leader that a quorum follows. */
  readonly elected: LeaderId;
  readonly leaders: readonly ModelLeader[];
  readonly gateways: readonly ModelGateway[];
  readonly messages: readonly ModelMessage[];
  readonly committedAt: number | null;
  readonly committedBy: LeaderId;
  /**
   * Gateways in contact when the change was acknowledged, which all confirmed it;
   * null before.
   */
  readonly confirmedBy: readonly string[] | null;
  readonly remaining: { readonly watches: number; readonly relays: number };
  readonly violation: string | null;
}

export type KeyLeaseAction =
  | { readonly kind: "step" | "elect" | "commit" | "acknowledge" | "confirm" }
  | {
    readonly kind: "suspend" | "restart" | "relay";
    readonly gateway: GatewayId;
  }
  | {
    readonly kind: "watch";
    readonly gateway: GatewayId;
    readonly leader: LeaderId;
  }
  /** Messages are delivered in any order, or never. */
  | { readonly kind: "deliver"; readonly message: number };

/** Limits of one path. */
export interface KeyLeaseBounds {
  readonly gateways: 1 | 2;
  /** Time advances in steps of this length. */
  readonly stepMilliseconds: number;
  readonly lastTime: number;
  readonly watches: number;
  readonly relays: number;
  readonly mayRestart: boolean;
  readonly maySuspend: boolean;
}

import type {
  ControlState,
  Grant,
  RoutingTable,
} from "@kingcupglade/ownership";
import type { RangeRequest } from "../gateway/requests_in_progress.ts";

/** Lease of routing tables and grants. */
export const leaseMilliseconds = 1500;
/**
 * Steps of the virtual clock. After two long steps a lease has lapsed for its
 * holder and its issuer. After a long and a short step it has lapsed only for
 * the holder, because the issuer allows for clock drift.
 */
export const tickMilliseconds: readonly number[] = [800, 708];

/** Actions of two VMs, two targets and the leader. */
export type RangeAction =
  | { readonly kind: "tick"; readonly milliseconds: number }
  /** The leader receives an announcement; its reply is then in flight. */
  | { readonly kind: "announce"; readonly target: string }
  | { readonly kind: "receiveReply"; readonly target: string }
  /** A target sends its departure notice. */
  | { readonly kind: "leave"; readonly target: string }
  | { readonly kind: "coordinate" }
  | { readonly kind: "deliverPush"; readonly sequence: number }
  | { readonly kind: "receivePushResponse"; readonly sequence: number }
  /** The push times out at the leader; it may still be delivered. */
  | { readonly kind: "timeOutPush"; readonly sequence: number }
  | { readonly kind: "renewLease"; readonly vm: string }
  | { readonly kind: "sendRequest"; readonly vm: string }
  | { readonly kind: "deliverRequest"; readonly request: number }
  /** The request times out at the VM; it may still be delivered. */
  | { readonly kind: "abandonRequest"; readonly request: number };

/** An event that the leader's trackers process at a time of the leader. */
export type LeaderEvent =
  & { readonly at: number }
  & (
    | {
      readonly kind: "renewTarget";
      readonly target: string;
      readonly actsOn: TargetState["actsOn"];
    }
    | { readonly kind: "forgetTarget"; readonly target: string }
    | {
      readonly kind: "beginPush";
      readonly target: string;
      readonly version: number;
      readonly sequence: number;
      readonly grants: readonly Grant[];
    }
    | {
      readonly kind: "endPush";
      readonly target: string;
      readonly version: number;
      readonly sequence: number;
      readonly grants: readonly Grant[];
      readonly confirmed: boolean;
    }
    | {
      readonly kind: "renewVm";
      readonly vm: string;
      readonly appliedVersion: number;
      readonly quiescentVersion: number;
    }
    | { readonly kind: "removeVm"; readonly vm: string }
  );

/** A push of grants in flight or, once it has been delivered, its response. */
export interface PushInFlight {
  readonly target: string;
  readonly version: number;
  readonly sequence: number;
  readonly grants: readonly Grant[];
  /** Whether the target has received the push; the response is in flight. */
  readonly isDelivered: boolean;
  /** Whether the push has timed out at the leader. */
  readonly hasTimedOut: boolean;
  /** Whether the target refused the push as outdated. */
  readonly isRefused: boolean;
}

/** A request in flight to a target. */
export interface RequestInFlight {
  readonly id: number;
  readonly vm: string;
  readonly target: string;
  readonly epoch: number;
  /** Whether the VM still waits for the response. */
  readonly isAwaited: boolean;
  /**
   * Whether the target may refuse the request, because it did not own the range
   * when the request was sent or because a lease has lapsed since.
   */
  readonly mayBeRefused: boolean;
}

/** A VM's routing table, lease and requests in progress. */
export interface VmState {
  readonly table: RoutingTable;
  readonly leaseUntil: number;
  readonly inProgress: readonly (RangeRequest & { readonly request: number })[];
}

/** A target's lease and grants according to its own clock. */
export interface TargetState {
  readonly leaseUntil: number;
  readonly grants: readonly Grant[];
  /** Pushes that precede this one are refused as outdated. */
  readonly latestPush: { readonly version: number; readonly sequence: number };
  /** The push that the target acts on; zeros if its lease has lapsed since. */
  readonly actsOn: { readonly version: number; readonly sequence: number };
  /** The reply in flight to the target's announcement, or null. */
  readonly reply: {
    /** Time at which the announcement was sent. */
    readonly sentAt: number;
    /** The first push that belongs to the lease that the reply grants. */
    readonly grantsFrom: {
      readonly version: number;
      readonly sequence: number;
    };
  } | null;
}

/** State of the modelled system. */
export interface RangeModelState {
  readonly now: number;
  readonly control: ControlState;
  readonly leaderEvents: readonly LeaderEvent[];
  readonly vms: ReadonlyMap<string, VmState>;
  readonly targets: ReadonlyMap<string, TargetState>;
  readonly pushes: readonly PushInFlight[];
  readonly requests: readonly RequestInFlight[];
  /** Sequence number of the latest push. */
  readonly sequence: number;
  /** Highest epoch under which a request has taken effect. */
  readonly highestEffectEpoch: number;
  /** Number of actions of each kind that the path may still contain. */
  readonly remaining: {
    readonly ticks: number;
    readonly announcements: number;
    readonly leaves: number;
    readonly renewals: number;
    readonly requests: number;
    readonly timeouts: number;
  };
  /** Description of the violation that an action has caused, or null. */
  readonly violation: string | null;
}

/** State in which an exploration starts. */
export type RangeStart =
  /** Target a serves the range, and both VMs route to it. */
  | "serving"
  /** The range is granted to target a, which has not received the grant. */
  | "granted";

/** An injected fault that the exploration must detect. */
export type RangeMutation =
  /** The leader assumes that a target has no grants until it confirms some. */
  | "assumesNoGrants"
  /** The leader does not wait for the VMs' requests in progress. */
  | "ignoresRequestsInProgress"
  /** Targets execute requests under any epoch. */
  | "ignoresFence"
  /** Targets apply pushes in any order. */
  | "ignoresPushOrder";

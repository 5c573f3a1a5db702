import type {
  LedgerBatch,
  LedgerUpdate,
  ShardRole,
} from "@kingcupglade/ledger";
import { roleId, RoleKind } from "@kingcupglade/ownership";
import type { ControlState } from "@kingcupglade/ownership";

/** VMs of the region. */
export const vmNames = ["vm-1", "vm-2", "vm-3"] as const;
/** Claim id of the modelled request. */
export const claimId = "claim";
/** Digest of the request's content. */
export const contentDigest = "content";
/** Constant time of the model, in milliseconds. */
export const now = 0;
/** Time for which the shard retains the outcome of a claim. */
export const retentionMilliseconds = 1000;
/** The explored shard. */
export const shardId = roleId({
  kind: RoleKind.ledger,
  region: "hsinchu",
  shard: 0,
});

/**
 * Actions on the copies of one shard and on one request. Batches and requests
 * are given by their index in {@link LedgerModelState}.
 */
export type LedgerAction =
  /** A VM applies the current assignment. */
  | { readonly kind: "applyAssignment"; readonly vm: string }
  /** A VM receives the request, or receives it again, and claims it. */
  | { readonly kind: "claim"; readonly vm: string }
  | { readonly kind: "deliverBatch"; readonly batch: number }
  | { readonly kind: "receiveResponse"; readonly batch: number }
  /** The target executes the request. */
  | { readonly kind: "executeRequest"; readonly request: number }
  | { readonly kind: "crash"; readonly vm: string }
  /** Control removes a VM whose lease has lapsed and reassigns its roles. */
  | { readonly kind: "remove"; readonly vm: string }
  /** A VM registers after its removal or a crash. */
  | { readonly kind: "register"; readonly vm: string };

/** An injected fault that the exploration must detect. */
export type LedgerMutation =
  /** The holder sends the request before the standby has the claim. */
  | "sendsBeforeReplication"
  /** A shard that has lost both copies accepts claims immediately. */
  | "ignoresLoss";

/** An event that a copy of the shard has processed. */
export type ShardEvent =
  | { readonly kind: "assign"; readonly role: ShardRole }
  | { readonly kind: "claim" }
  | { readonly kind: "settle" }
  | { readonly kind: "receive"; readonly batch: LedgerBatch };

/** An update that the standby has not acknowledged. */
export interface PendingUpdate {
  readonly update: LedgerUpdate;
  readonly purpose: "copy" | "claim" | "outcome";
}

/** Replication state of the holder in one epoch. */
export interface Replicator {
  readonly epoch: number;
  readonly standby: string | null;
  readonly sequence: number;
  readonly isSynchronised: boolean;
  readonly pendingUpdates: readonly PendingUpdate[];
}

/** State of a VM and its copy of the shard. */
export interface LedgerVmState {
  readonly incarnation: number;
  readonly isRunning: boolean;
  readonly events: readonly ShardEvent[];
  readonly replicator: Replicator | null;
}

/** A batch in flight or, once it has been delivered, its response. */
export interface BatchInFlight {
  readonly from: string;
  readonly incarnation: number;
  readonly to: string;
  readonly batch: LedgerBatch;
  readonly purpose: PendingUpdate["purpose"];
  readonly answer: "none" | "accepted" | "refused";
}

/** State of three VMs, their copies of a shard and one claimed request. */
export interface LedgerModelState {
  readonly control: ControlState;
  readonly vms: ReadonlyMap<string, LedgerVmState>;
  readonly batches: readonly BatchInFlight[];
  readonly requests: readonly {
    readonly vm: string;
    readonly incarnation: number;
  }[];
  /** Number of times that the target has executed the request. */
  readonly executions: number;
  /** Number of actions of each kind that the path may still contain. */
  readonly remaining: {
    readonly sends: number;
    readonly crashes: number;
    readonly removals: number;
    readonly resends: number;
  };
}

import type { Announcement, AnnouncementResponse } from "@kingcupglade/fleet";
import type { ItemChange, StoredItem } from "@kingcupglade/items";

/** External request as received. */
export interface ExternalRequest {
  readonly method: string;
  readonly path: string;
  readonly body: Uint8Array;
}

/**
 * A workspace as an operator submits it, with its keys. It is kept in memory
 * only: what is stored, logged or sent to other VMs has digests in their place.
 */
export interface SubmittedWorkspace {
  readonly version: number;
  readonly name: string;
  readonly keys: readonly string[];
  /** Priority that replaces the route's; null to keep the route's. */
  readonly priority: number | null;
  /** Requests per second over all gateways; 0 for no limit. */
  readonly ratePerSecond: number;
  readonly burst: number;
  /** Regions that may serve the workspace; empty for all. */
  readonly homeRegions: readonly string[];
  /** The item as the operator wrote it, with its keys. */
  readonly source: string;
}

/** Names of fields as operators write them, for texts of faults. */
export interface WorkspaceFieldNames {
  readonly keys: string;
  readonly homeRegions: string;
}

/** Decoded external call. */
export type ExternalCall =
  | { readonly kind: "announce"; readonly announcement: Announcement }
  | {
    readonly kind: "leave";
    readonly target: string;
    /**
     * Start of the incarnation in Unix milliseconds; null if the call does not
     * state it.
     */
    readonly bornAt: number | null;
  }
  | {
    readonly kind: "changeItems";
    /** The change without the workspaces that it submits. */
    readonly change: ItemChange;
    /** @default none */
    readonly workspaces?: readonly SubmittedWorkspace[];
  }
  | { readonly kind: "readItems" }
  | {
    readonly kind: "evacuate";
    readonly dataCentre: string;
    readonly isOut: boolean;
  }
  /** A malformed call, which changes nothing. */
  | { readonly kind: "unreadable"; readonly faults: readonly string[] }
  | { readonly kind: "unknown" };

/** Result of an external call. */
export type ExternalResult =
  | { readonly kind: "acknowledged" }
  | { readonly kind: "announced"; readonly answer: AnnouncementResponse }
  | {
    readonly kind: "items";
    /** Sources of workspaces are as the operator wrote them. */
    readonly items: readonly StoredItem[];
    /** Whether a workspace exists or has existed. @default false */
    readonly hasHadWorkspaces?: boolean;
  }
  | { readonly kind: "refused"; readonly faults: readonly string[] }
  | { readonly kind: "unavailable"; readonly reason: string }
  | { readonly kind: "unknown" };

/** Encoded response to an external call. */
export interface ExternalResponse {
  readonly status: number;
  readonly body: string;
}

/** Codec for the protocol between the control VMs and targets or operators. */
export abstract class ControlWire {
  abstract readonly workspaceFields: WorkspaceFieldNames;
  abstract decode(request: ExternalRequest): ExternalCall;
  abstract encode(result: ExternalResult): ExternalResponse;
}

import type { ItemChange, StoredItems } from "@kingcupglade/items";
import type { BorrowerChange, Borrowers } from "@kingcupglade/quotas";

/** Last position of a keyed service; the first is 0. */
export const lastPosition = 65_535;

/** One incarnation of a target, identified by its name and start time. */
export interface TargetIncarnation {
  readonly target: string;
  /** Start of the process in Unix milliseconds; 0 if not reported. */
  readonly bornAt: number;
}

/** Range of positions of a keyed service that has one owner. */
export interface KeyRange {
  readonly from: number;
  /** Inclusive. */
  readonly to: number;
  /** Null until the range is granted for the first time. */
  readonly owner: TargetIncarnation | null;
  /**
   * Index of the log entry that granted the range; increases with each change
   * of owner.
   */
  readonly fence: number;
  /** State handed over by the previous owner; empty if it was lost. */
  readonly handover: string;
}

/** The ranges of a keyed service, in order and without gaps. */
export type KeyRanges = readonly KeyRange[];

/** Kinds of departure that a target can announce. */
export const DepartureKind = {
  draining: "draining",
  gone: "gone",
} as const;
export type DepartureKind = typeof DepartureKind[keyof typeof DepartureKind];

/** Announced departure of a target. */
export interface Departure {
  readonly kind: DepartureKind;
  /**
   * Start of the incarnation, or the latest start that the departure applies to
   * if none was reported.
   */
  readonly bornAt: number;
  /** Index of the log entry that recorded the departure. */
  readonly changedAt: number;
}

/** Evacuation state of a data centre, as set by operators. */
export interface Evacuation {
  readonly isOut: boolean;
  /** Index of the log entry that set the state. */
  readonly changedAt: number;
}

/** State replicated by the control VMs. */
export interface FleetState {
  readonly items: StoredItems;
  readonly evacuations: ReadonlyMap<string, Evacuation>;
  /** Ranges by service. */
  readonly ranges: ReadonlyMap<string, KeyRanges>;
  /** Departures by target name. */
  readonly departures: ReadonlyMap<string, Departure>;
  /** Gateways that may hold allowances of workspaces. */
  readonly borrowers: Borrowers;
}

/** Grant of a range to a new owner. */
export interface RangeGrant {
  readonly from: number;
  /** Fence that the range must still have for the grant to apply. */
  readonly expectedFence: number;
  readonly owner: TargetIncarnation;
  readonly handover: string;
}

/** Command that changes the {@link FleetState}. */
export type FleetCommand =
  | { readonly kind: "changeItems"; readonly change: ItemChange }
  | {
    readonly kind: "evacuate";
    readonly dataCentre: string;
    readonly isOut: boolean;
  }
  | {
    readonly kind: "depart";
    readonly target: string;
    readonly bornAt: number;
    readonly departure: DepartureKind;
  }
  | {
    readonly kind: "createRanges";
    readonly service: string;
    /** Number of ranges, of equal width. */
    readonly ranges: number;
  }
  | {
    readonly kind: "grantRanges";
    readonly service: string;
    readonly grants: readonly RangeGrant[];
  }
  | {
    readonly kind: "splitRanges";
    readonly service: string;
    /** Start positions of the new ranges. */
    readonly cuts: readonly number[];
  }
  /** Proposed only while there are workspaces, see docs/design/releases.md. */
  | { readonly kind: "changeBorrowers" } & BorrowerChange;

/** Outcome of a command, as returned to its proposer. */
export type FleetOutcome =
  | { readonly kind: "applied" }
  | { readonly kind: "refused"; readonly faults: readonly string[] };

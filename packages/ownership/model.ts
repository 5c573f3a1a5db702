import type { Bundle, DocumentPatch, SignedBundle } from "@kingcupglade/bundle";
import type { Announcement, TargetCondition } from "@kingcupglade/membership";

/** Phase of a range's ownership. */
export const RangePhase = {
  /** The owner serves requests. */
  serving: "serving",
  /**
   * New requests wait while the owner completes its open ones and is released.
   */
  stopping: "stopping",
  /** The range has no owner. */
  vacant: "vacant",
} as const;
export type RangePhase = typeof RangePhase[keyof typeof RangePhase];

/** A contiguous part of the hash space with at most one owner. */
export interface RangeRecord {
  /** First position, inclusive. */
  readonly start: number;
  /** End position, exclusive. */
  readonly end: number;
  /** Name of the owning target, or null while the range is vacant. */
  readonly owner: string | null;
  /** Incarnation of the owner that the range was granted to. */
  readonly ownerBoot: string | null;
  /**
   * Fencing epoch: the table version of the latest grant of the range or, after
   * merges, of any of its parts; 0 before the first grant.
   */
  readonly epoch: number;
  readonly phase: RangePhase;
  /** Table version of the last change. */
  readonly changedAt: number;
}

/**
 * Ranges of a keyed service for the tenants that share a set of home regions.
 */
export interface PlacementGroup {
  readonly id: string;
  readonly service: string;
  readonly homeRegions: readonly string[];
  /** Sorted by position; covers the hash space without gaps. */
  readonly ranges: readonly RangeRecord[];
  readonly changedAt: number;
}

/** A target registered with the control plane. */
export interface TargetRecord
  extends Omit<Announcement, "condition" | "load" | "actsOn"> {
  readonly region: string;
  readonly condition: TargetCondition;
  readonly changedAt: number;
}

/** A VM registered with the control plane. */
export interface VmRecord {
  readonly name: string;
  readonly boot: string;
  readonly dataCentre: string;
  readonly region: string;
  /** IP address and port of the listener for other VMs. */
  readonly peerAddress: string;
  /** IP address and port of the listener for callers. */
  readonly callersAddress: string;
  /**
   * Identity of the replica in its data folder, or null when it has none.
   */
  readonly replica: string | null;
  readonly leaving: boolean;
  readonly changedAt: number;
}

/** Roles that the control plane assigns to VMs. */
export const RoleKind = {
  /** Keeps the at-most-once ledger of a shard. */
  ledger: "ledger",
  /** Grants credits for the targets of a region. */
  credit: "credit",
} as const;
export type RoleKind = typeof RoleKind[keyof typeof RoleKind];

/** A role held by one VM, with a standby VM in the same region. */
export interface RoleAssignment {
  readonly kind: RoleKind;
  readonly region: string;
  readonly shard: number;
  /** Fencing epoch: the table version of the assignment. */
  readonly epoch: number;
  /** Epoch of the first assignment of the role. */
  readonly foundedAt: number;
  readonly holder: string | null;
  /**
   * Incarnation of the holder; a later incarnation has lost the role's data.
   */
  readonly holderBoot: string | null;
  /**
   * Epoch since which the holder has been holder or standby without
   * interruption.
   */
  readonly holderSince: number;
  readonly standby: string | null;
  readonly standbyBoot: string | null;
  /** Epoch since which the standby has been in place without interruption. */
  readonly standbySince: number;
  readonly changedAt: number;
}

/**
 * A patch recorded by a roll; applies to the document of the previous bundle.
 */
export interface BundleStep {
  /** Digest of the document that the patch applies to. */
  readonly from: string;
  /** Table version at which that document took effect. */
  readonly fromAt: number;
  /** Table version of the roll. */
  readonly at: number;
  readonly patch: DocumentPatch;
}

/** The bundle in force. */
export interface BundleRecord {
  readonly version: number;
  readonly digest: string;
  readonly signed: SignedBundle;
  readonly bundle: Bundle;
  readonly changedAt: number;
  /**
   * Patches of the latest rolls, oldest first; each applies to the result of
   * the previous one.
   */
  readonly steps?: readonly BundleStep[];
}

/** A record that was removed from the table, kept for deltas. */
export interface Removal {
  readonly kind: "target" | "vm" | "group";
  readonly id: string;
  readonly at: number;
}

/** Tenants whose keys move from one placement group to another. */
export interface Rehoming {
  readonly service: string;
  /** Names of the tenants; null means all tenants. */
  readonly tenants: readonly string[] | null;
  /** Table version of the roll that moved them. */
  readonly at: number;
}

/**
 * The replicated state of the control plane: everything that must survive
 * failures.
 */
export interface ControlState {
  /** Log index of the last applied command. */
  readonly version: number;
  readonly bundle: BundleRecord | null;
  readonly vms: ReadonlyMap<string, VmRecord>;
  readonly targets: ReadonlyMap<string, TargetRecord>;
  readonly groups: ReadonlyMap<string, PlacementGroup>;
  readonly roles: ReadonlyMap<string, RoleAssignment>;
  /**
   * Unfinished moves; requests of these tenants wait until no VM routes them to
   * the previous group.
   */
  readonly rehomings: readonly Rehoming[];
  /** The latest removals, oldest first. */
  readonly removals: readonly Removal[];
  /** Oldest version from which a delta can start. */
  readonly deltaFloor: number;
}

/** The state before the first command. */
export const emptyControlState: ControlState = {
  version: 0,
  bundle: null,
  vms: new Map(),
  targets: new Map(),
  groups: new Map(),
  roles: new Map(),
  rehomings: [],
  removals: [],
  deltaFloor: 0,
};

/**
 * Returns the ID of the placement group of a service and a set of home regions.
 */
export function groupId(
  service: string,
  homeRegions: readonly string[],
): string {
  return `${service}@${homeRegions.join("+")}`;
}

/** Returns the ID of a role. */
export function roleId(
  role: Pick<RoleAssignment, "kind" | "region" | "shard">,
): string {
  return `${role.kind}/${role.region}/${role.shard}`;
}

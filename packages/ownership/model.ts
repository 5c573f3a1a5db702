import type { Bundle, DocumentPatch, SignedBundle } from "@kingcupglade/bundle";
import type { Announcement, TargetCondition } from "@kingcupglade/membership";

/** Where a range stands between two owners. */
export const RangePhase = {
  /** Requests go to the owner. */
  serving: "serving",
  /** Requests wait; the owner finishes and is released. */
  stopping: "stopping",
  /** Nobody owns it. */
  vacant: "vacant",
} as const;
export type RangePhase = typeof RangePhase[keyof typeof RangePhase];

/** A part of the hash space with one owner. */
export interface RangeRecord {
  /** First position. */
  readonly start: number;
  /** Position after the last. */
  readonly end: number;
  /** The target that owns the range, or null. */
  readonly owner: string | null;
  /** Incarnation of the owner that the range was granted to. */
  readonly ownerBoot: string | null;
  /** Fence: the table version at which the range was granted. */
  readonly epoch: number;
  readonly phase: RangePhase;
  /** Table version of the last change. */
  readonly changedAt: number;
}

/** The ranges of a keyed service for the tenants of one set of home regions. */
export interface PlacementGroup {
  readonly id: string;
  readonly service: string;
  readonly homeRegions: readonly string[];
  /** Covers the hash space in order, without gaps. */
  readonly ranges: readonly RangeRecord[];
  readonly changedAt: number;
}

/** A target known to control. */
export interface TargetRecord
  extends Omit<Announcement, "condition" | "load" | "actsOn"> {
  readonly region: string;
  readonly condition: TargetCondition;
  readonly changedAt: number;
}

/** A VM known to control. */
export interface VmRecord {
  readonly name: string;
  readonly boot: string;
  readonly dataCentre: string;
  readonly region: string;
  /** IP and port at which other VMs reach it. */
  readonly peerAddress: string;
  /** IP and port at which callers reach it. */
  readonly callersAddress: string;
  /** Replica of its data folder, or null when it has none. */
  readonly replica: string | null;
  readonly leaving: boolean;
  readonly changedAt: number;
}

/** Duties that control gives to VMs. */
export const RoleKind = {
  /** Keeps the at-most-once ledger of a shard. */
  ledger: "ledger",
  /** Hands out the credits of a region's targets. */
  credit: "credit",
} as const;
export type RoleKind = typeof RoleKind[keyof typeof RoleKind];

/** A duty held by one VM and backed by another of the same region. */
export interface RoleAssignment {
  readonly kind: RoleKind;
  readonly region: string;
  readonly shard: number;
  /** Fence: the table version at which it was assigned. */
  readonly epoch: number;
  /** Epoch of the first assignment of the duty. */
  readonly foundedAt: number;
  readonly holder: string | null;
  /** Incarnation of the holder; another one has lost what it kept. */
  readonly holderBoot: string | null;
  /** Epoch since which the holder has held or stood by without a break. */
  readonly holderSince: number;
  readonly standby: string | null;
  readonly standbyBoot: string | null;
  /** Epoch since which the standby has stood by without a break. */
  readonly standbySince: number;
  readonly changedAt: number;
}

/** What a roll changed in the document of the bundle before. */
export interface BundleStep {
  /** Digest of the document that the patch applies to. */
  readonly from: string;
  /** Table version at which that document came into force. */
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
  /** The latest rolls, oldest first; each patch applies after the one before. */
  readonly steps?: readonly BundleStep[];
}

/** A thing that left the table. */
export interface Removal {
  readonly kind: "target" | "vm" | "group";
  readonly id: string;
  readonly at: number;
}

/** Tenants whose keys move from one placement group to another. */
export interface Rehoming {
  readonly service: string;
  /** All of them when null. */
  readonly tenants: readonly string[] | null;
  /** Table version of the roll that moved them. */
  readonly at: number;
}

/** The replicated state: everything that must survive. */
export interface ControlState {
  /** Log index of the last command applied. */
  readonly version: number;
  readonly bundle: BundleRecord | null;
  readonly vms: ReadonlyMap<string, VmRecord>;
  readonly targets: ReadonlyMap<string, TargetRecord>;
  readonly groups: ReadonlyMap<string, PlacementGroup>;
  readonly roles: ReadonlyMap<string, RoleAssignment>;
  /** Their requests wait until no VM routes them to the group before. */
  readonly rehomings: readonly Rehoming[];
  /** The latest removals, oldest first. */
  readonly removals: readonly Removal[];
  /** Deltas can start at this version or later. */
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

/** Names the placement group of a service and a set of home regions. */
export function groupId(
  service: string,
  homeRegions: readonly string[],
): string {
  return `${service}@${homeRegions.join("+")}`;
}

/** Names a duty. */
export function roleId(
  role: Pick<RoleAssignment, "kind" | "region" | "shard">,
): string {
  return `${role.kind}/${role.region}/${role.shard}`;
}

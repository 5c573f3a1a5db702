import type { SignedBundle } from "@kingcupglade/bundle";
import type { TargetCondition } from "@kingcupglade/membership";
import type { TargetRecord, VmRecord } from "./model.ts";
import type { PlannedRole } from "./role_planner.ts";

/** Names a range in the state that the sender saw. */
interface RangeReference {
  readonly group: string;
  readonly start: number;
  /** The change is dropped when the range has another epoch by now. */
  readonly epoch: number;
}

/** One guarded change of a range. */
export type RangeChange =
  /** A serving range takes no new requests. */
  | (RangeReference & { readonly kind: "stop" })
  /** A stopping range has no owner any more. */
  | (RangeReference & { readonly kind: "vacate" })
  /** A stopping or vacant range gets an owner and a new epoch. */
  | (RangeReference & {
    readonly kind: "grant";
    readonly owner: string;
    readonly ownerBoot: string;
  })
  /** A range is cut at a position. */
  | (RangeReference & { readonly kind: "split"; readonly at: number })
  /** A range is joined with the next one of the same owner and phase. */
  | (RangeReference & { readonly kind: "merge" });

/** A change of the replicated state. */
export type ControlCommand =
  | { readonly kind: "rollBundle"; readonly signed: SignedBundle }
  | { readonly kind: "putVm"; readonly vm: Omit<VmRecord, "changedAt"> }
  | { readonly kind: "removeVm"; readonly name: string; readonly boot: string }
  | {
    readonly kind: "putTarget";
    readonly target: Omit<TargetRecord, "changedAt">;
  }
  | {
    readonly kind: "setTargetCondition";
    readonly target: string;
    readonly boot: string;
    readonly condition: TargetCondition;
  }
  | {
    readonly kind: "removeTarget";
    readonly target: string;
    readonly boot: string;
  }
  | {
    readonly kind: "changeRanges";
    readonly changes: readonly RangeChange[];
  }
  /** Tenants that a roll up to this version moved are served again. */
  | { readonly kind: "endRehoming"; readonly until: number }
  | {
    readonly kind: "assignRoles";
    readonly roles: readonly PlannedRole[];
  };

/** What came of a roll. */
export type RollOutcome =
  | {
    readonly kind: "accepted";
    readonly version: number;
    readonly digest: string;
    /** Table version from which the bundle is in force. */
    readonly tableVersion: number;
  }
  | {
    readonly kind: "conflict";
    /** What is in force instead. */
    readonly version: number;
    readonly digest: string;
  }
  | { readonly kind: "refused"; readonly reason: string };

/** What came of a command. */
export type CommandOutcome =
  | { readonly kind: "applied" }
  | { readonly kind: "dropped"; readonly reason: string }
  | { readonly kind: "rolled"; readonly roll: RollOutcome };

import type { SignedBundle } from "@kingcupglade/bundle";
import type { TargetCondition } from "@kingcupglade/membership";
import type { TargetRecord, VmRecord } from "./model.ts";
import type { PlannedRole } from "./role_planner.ts";

/** Identifies a range in the state that the sender saw. */
interface RangeReference {
  readonly group: string;
  readonly start: number;
  /** The change is dropped when the range's current epoch differs. */
  readonly epoch: number;
}

/** A conditional change of a range. */
export type RangeChange =
  /** Stops new requests to a serving range. */
  | (RangeReference & { readonly kind: "stop" })
  /** Removes the owner of a stopping range. */
  | (RangeReference & { readonly kind: "vacate" })
  /** Grants a stopping or vacant range to an owner under a new epoch. */
  | (RangeReference & {
    readonly kind: "grant";
    readonly owner: string;
    readonly ownerBoot: string;
  })
  /** Splits a range at a position. */
  | (RangeReference & { readonly kind: "split"; readonly at: number })
  /** Merges a range with the next one of the same owner and phase. */
  | (RangeReference & { readonly kind: "merge" });

/** A command that changes the replicated state. */
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
  /** Resumes serving the tenants moved by rolls up to table version `until`. */
  | { readonly kind: "endRehoming"; readonly until: number }
  | {
    readonly kind: "assignRoles";
    readonly roles: readonly PlannedRole[];
  };

/** Outcome of a roll. */
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
    /** Version of the bundle in force. */
    readonly version: number;
    readonly digest: string;
  }
  | { readonly kind: "refused"; readonly reason: string };

/** Outcome of a command. */
export type CommandOutcome =
  | { readonly kind: "applied" }
  | { readonly kind: "dropped"; readonly reason: string }
  | { readonly kind: "rolled"; readonly roll: RollOutcome };

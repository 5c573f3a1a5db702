import type { FleetOutcome } from "@kingcupglade/fleet";
import {
  applyChange,
  describeChange,
  findNeverKnownServices,
  ItemKind,
} from "@kingcupglade/items";
import type { ItemChange } from "@kingcupglade/items";
import type { Clock } from "@kingcupglade/tasks";
import type { Logger } from "@kingcupglade/telemetry";
import { revokedDigests, SealError } from "@kingcupglade/workspaces";
import type {
  ControlWire,
  ExternalCall,
  ExternalResult,
  SubmittedWorkspace,
} from "./control_wire.ts";
import { Feature } from "./feature.ts";
import { hasEnoughVoters } from "./has_enough_voters.ts";
import { hasWorkspaces } from "./items_memo.ts";
import type { FleetReplica, LeaderSession } from "./leader_session.ts";
import { findUnknownRegions } from "./workspace_seals.ts";
import type { WorkspaceSeals } from "./workspace_seals.ts";

/** Time to confirm leadership before the items are read. */
const confirmMilliseconds = 450;

/** Options of {@link ItemCalls}. */
export interface ItemCallsOptions {
  readonly wire: Pick<ControlWire, "workspaceFields">;
  /** Number of data folders that may be lost at the same time. */
  readonly toleratedLosses: number;
  readonly seals: WorkspaceSeals;
  /** Region of each data centre. */
  readonly regions: Readonly<Record<string, string>>;
  /** Returns the names of VMs in contact that lack a feature. */
  readonly vmsWithout: (feature: Feature) => readonly string[];
  readonly clock: Clock;
  readonly logger: Logger;
}

/** What carries out a call at the leader. */
export interface ItemCallLeader {
  readonly replica: FleetReplica;
  readonly session: LeaderSession;
}

/** Carries out calls of operators that read or change items, at the leader. */
export class ItemCalls {
  readonly #options: ItemCallsOptions;

  constructor(options: ItemCallsOptions) {
    this.#options = options;
  }

  /** Returns the result of a change. */
  async change(
    call: Extract<ExternalCall, { readonly kind: "changeItems" }>,
    leader: ItemCallLeader,
  ): Promise<ExternalResult> {
    const { replica, session } = leader;
    const { workspaces = [] } = call;
    const { seals } = this.#options;
    if (!this.mayAcknowledge(replica)) return insufficientReplicas;
    const faults = [
      ...findNeverKnownServices(replica.state.items, call.change),
      ...this.#findUnknownRegions(workspaces, replica),
    ];
    if (faults.length > 0) {
      return this.complete({ kind: "refused", faults }, session);
    }
    const change = seals.addWorkspaces(call.change, workspaces);
    if (workspaces.length > 0) {
      const trial = this.#tryChange(change, replica);
      if (trial.kind === "refused") return this.complete(trial, session);
    }
    const rejection = this.#rejectForEarlierReleases(change);
    if (rejection) return rejection;
    const before = replica.state.items;
    const outcome = await replica.propose({ kind: "changeItems", change });
    const { appliedIndex } = replica;
    this.#options.logger.info("items-changed", {
      items: change.items.length,
      removals: change.removals.length,
      names: describeChange(change, replica.state.items),
      outcome: outcome.kind,
      index: appliedIndex,
    });
    const result = this.complete(outcome, session);
    const revoked = revokedDigests(
      before.values(),
      replica.state.items.values(),
    );
    // Until gateways have the first workspace, they need no keys, and pass on the
    // credentials of callers.
    const areKeysNew = !hasWorkspaces(before) &&
      hasWorkspaces(replica.state.items);
    if (revoked.length > 0 || areKeysNew) {
      await session.waitForRevocation(appliedIndex, { keys: revoked.length });
    }
    return result;
  }

  /** Returns the items in force, as operators wrote them. */
  async read({ replica }: ItemCallLeader): Promise<ExternalResult> {
    if (!await replica.confirmLeadership(confirmMilliseconds)) {
      return { kind: "unavailable", reason: "the quorum does not answer" };
    }
    const items = [...replica.state.items.values()];
    try {
      return {
        kind: "items",
        items: this.#options.seals.open(
          items.filter(({ content }) => content !== null),
        ),
        hasHadWorkspaces: items.some(({ kind }) => kind === ItemKind.workspace),
      };
    } catch (failure) {
      if (!(failure instanceof SealError)) throw failure;
      this.#options.seals.checkSources(replica.state.items);
      return {
        kind: "unavailable",
        reason: "the keys of workspaces cannot be read with this secret",
      };
    }
  }

  /** Tells gateways of a change, and returns its result. */
  complete(outcome: FleetOutcome, session: LeaderSession): ExternalResult {
    session.notifyChange();
    if (outcome.kind === "applied") return { kind: "acknowledged" };
    this.#options.logger.warn("change-refused", {
      faults: outcome.faults.join("; "),
    });
    return outcome;
  }

  /** Whether enough replicas would keep a change. */
  mayAcknowledge({ consensus }: FleetReplica): boolean {
    const { clock, toleratedLosses } = this.#options;
    return hasEnoughVoters(consensus, { toleratedLosses, now: clock.now() });
  }

  #findUnknownRegions(
    workspaces: readonly SubmittedWorkspace[],
    { state }: FleetReplica,
  ): readonly string[] {
    const { regions, wire } = this.#options;
    return findUnknownRegions(workspaces, {
      stored: state.items,
      regions: new Set(Object.values(regions)),
      fields: wire.workspaceFields,
    });
  }

  // Applying the change finds the same faults, without the names of fields that
  // operators write.
  #tryChange(change: ItemChange, { state, appliedIndex }: FleetReplica) {
    const { keys } = this.#options.wire.workspaceFields;
    return applyChange(state.items, change, appliedIndex + 1, keys);
  }

  // A voter of an earlier release rejects the change that others apply, and a
  // gateway of one serves without keys.
  #rejectForEarlierReleases(change: ItemChange): ExternalResult | undefined {
    const hasWorkspaces =
      change.items.some(({ content }) => content.kind === ItemKind.workspace) ||
      change.removals.some(({ kind }) => kind === ItemKind.workspace);
    if (!hasWorkspaces) return undefined;
    const vms = this.#options.vmsWithout(Feature.workspaces);
    if (vms.length === 0) return undefined;
    this.#options.logger.warn("workspaces-not-supported", {
      vms: vms.join(","),
    });
    return {
      kind: "unavailable",
      reason: `workspaces are not supported by the releases of ${
        vms.join(", ")
      }`,
    };
  }
}

/** Result of a change that too few replicas would keep. */
export const insufficientReplicas: ExternalResult = {
  kind: "unavailable",
  reason: "not enough replicas are there yet to keep a change",
};

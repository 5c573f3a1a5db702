import { LedgerShard } from "@kingcupglade/ledger";
import type { ClaimRecord } from "@kingcupglade/ledger";
import { applyCommand, planRoles, roleId } from "@kingcupglade/ownership";
import type { ControlCommand, ControlState } from "@kingcupglade/ownership";
import {
  claimId,
  contentDigest,
  now,
  retentionMilliseconds,
  shardId,
} from "./ledger_state.ts";
import type {
  BatchInFlight,
  LedgerModelState,
  LedgerVmState,
  PendingUpdate,
  Replicator,
  ShardEvent,
} from "./ledger_state.ts";
import { putVmCommand } from "./range_transitions.ts";

/** Creates the state of a newly started VM. */
export function createVm(incarnation: number): LedgerVmState {
  return { incarnation, isRunning: true, events: [], replicator: null };
}

/** Rebuilds a VM's copy of the shard by replaying its events. */
export function shardOf(vm: LedgerVmState): LedgerShard {
  const shard = new LedgerShard({ retentionMilliseconds });
  for (const event of vm.events) replay(shard, event);
  return shard;
}

function replay(shard: LedgerShard, event: ShardEvent): void {
  switch (event.kind) {
    case "assign":
      return shard.assign(event.role, now);
    case "claim":
      shard.claim(claimId, contentDigest, now);
      return;
    case "settle":
      shard.settle(claimId, doneRecord, now);
      return;
    case "receive":
      shard.receive(event.batch, now);
  }
}

const doneRecord: Exclude<ClaimRecord, { readonly state: "open" }> = {
  state: "done",
  content: contentDigest,
  answer: null,
};

/** Returns whether a VM accepts requests that need a claim. */
export function canClaim(vm: LedgerVmState): boolean {
  return vm.replicator?.isSynchronised === true;
}

/** Applies a command to the control state at the next version. */
export function commit(
  control: ControlState,
  command: ControlCommand,
): ControlState {
  return applyCommand(control, command, control.version + 1).state;
}

/** Applies the shard assignment that the role planner returns. */
export function assignRoles(control: ControlState): ControlState {
  const roles = planRoles(control).filter((role) => roleId(role) === shardId);
  return roles.length > 0
    ? commit(control, { kind: "assignRoles", roles })
    : control;
}

/** Lets a VM apply the current assignment. */
export function applyAssignment(
  state: LedgerModelState,
  name: string,
): LedgerModelState {
  const vm = state.vms.get(name)!;
  const role = state.control.roles.get(shardId)!;
  const boot = bootOf(name, vm.incarnation);
  const isHolder = role.holder === name && role.holderBoot === boot;
  const isStandby = role.standby === name && role.standbyBoot === boot;
  const assigned: LedgerVmState = {
    ...vm,
    events: [...vm.events, {
      kind: "assign",
      role: {
        part: isHolder ? "holder" : isStandby ? "standby" : "none",
        epoch: role.epoch,
        since: isHolder ? role.holderSince : role.standbySince,
        foundedAt: role.foundedAt,
      },
    }],
    replicator: null,
  };
  if (!isHolder) return withVm(state, name, assigned);
  const copy = shardOf(assigned).snapshot(now).map((update): PendingUpdate => ({
    update,
    purpose: "copy",
  }));
  // The model has one claim, so a copy has one update at most. An empty copy also
  // takes a batch, which completes the standby; its update has no effect.
  const replicator: Replicator = {
    epoch: role.epoch,
    standby: role.standby,
    sequence: 0,
    isSynchronised: role.standby === null,
    pendingUpdates: role.standby === null ? [] : [
      copy[0] ??
        { update: { kind: "remove", claim: "" }, purpose: "copy" },
    ],
  };
  return sendNextBatch(withVm(state, name, { ...assigned, replicator }), name);
}

/** Queues an update for a holder's standby. */
export function enqueueUpdate(
  state: LedgerModelState,
  name: string,
  pendingUpdate: PendingUpdate,
): LedgerModelState {
  const vm = state.vms.get(name)!;
  const replicator = vm.replicator!;
  if (replicator.standby === null) return state;
  const wasIdle = replicator.pendingUpdates.length === 0;
  const next = withVm(state, name, {
    ...vm,
    replicator: {
      ...replicator,
      pendingUpdates: [...replicator.pendingUpdates, pendingUpdate],
    },
  });
  return wasIdle ? sendNextBatch(next, name) : next;
}

/**
 * Sends the first pending update of a holder. The model needs only batches of
 * one update, because a batch of several is applied completely or not at all.
 */
export function sendNextBatch(
  state: LedgerModelState,
  name: string,
): LedgerModelState {
  const vm = state.vms.get(name)!;
  const first = vm.replicator?.pendingUpdates[0];
  if (!vm.replicator || !first) return state;
  const { epoch, sequence, standby } = vm.replicator;
  const sent: BatchInFlight = {
    from: name,
    incarnation: vm.incarnation,
    to: standby!,
    batch: {
      epoch,
      sequence,
      first: sequence === 0,
      last: sequence === 0,
      blockedMilliseconds: shardOf(vm).blockedMilliseconds(now),
      updates: [first.update],
    },
    purpose: first.purpose,
    answer: "none",
  };
  return { ...state, batches: [...state.batches, sent] };
}

/** Delivers a batch to the standby, whose response is then in flight. */
export function deliverBatch(
  state: LedgerModelState,
  index: number,
): LedgerModelState {
  const sent = state.batches[index]!;
  const vm = state.vms.get(sent.to)!;
  if (!vm.isRunning) return withResponse(state, index, "refused");
  const decision = shardOf(vm).receive(sent.batch, now);
  const received = withVm(state, sent.to, {
    ...vm,
    events: [...vm.events, { kind: "receive", batch: sent.batch }],
    replicator: decision.kind === "accepted" ? null : vm.replicator,
  });
  return withResponse(
    received,
    index,
    decision.kind === "accepted" ? "accepted" : "refused",
  );
}

function withResponse(
  state: LedgerModelState,
  index: number,
  response: BatchInFlight["answer"],
): LedgerModelState {
  return {
    ...state,
    batches: state.batches.map((each, at) =>
      at === index ? { ...each, answer: response } : each
    ),
  };
}

/** Sends the request to its target. */
export function sendRequest(
  state: LedgerModelState,
  name: string,
): LedgerModelState {
  const { incarnation } = state.vms.get(name)!;
  const request = { vm: name, incarnation };
  return { ...state, requests: [...state.requests, request] };
}

/**
 * Executes a request at the target. The VM that sent it records the outcome,
 * unless it has crashed since or is no longer the holder.
 */
export function executeRequest(
  state: LedgerModelState,
  index: number,
): LedgerModelState {
  const request = state.requests[index]!;
  const executed: LedgerModelState = {
    ...state,
    requests: state.requests.filter((_, at) => at !== index),
    executions: state.executions + 1,
  };
  const vm = state.vms.get(request.vm)!;
  const canSettle = vm.isRunning && vm.incarnation === request.incarnation &&
    vm.replicator !== null;
  if (!canSettle) return executed;
  const update = shardOf(vm).settle(claimId, doneRecord, now);
  const settled = withVm(executed, request.vm, {
    ...vm,
    events: [...vm.events, { kind: "settle" }],
  });
  return enqueueUpdate(settled, request.vm, { update, purpose: "outcome" });
}

/** Registers a VM under its current incarnation. */
export function register(
  state: LedgerModelState,
  name: string,
): LedgerModelState {
  const vm = state.vms.get(name)!;
  const boot = bootOf(name, vm.incarnation);
  const command = putVmCommand(name, boot);
  return {
    ...withVm(state, name, { ...vm, isRunning: true }),
    control: assignRoles(commit(state.control, command)),
  };
}

function bootOf(name: string, incarnation: number): string {
  return incarnation === 0 ? "boot-1" : `${name}-${incarnation}`;
}

/** Decrements a budget. */
export function spendBudget(
  state: LedgerModelState,
  budget: keyof LedgerModelState["remaining"],
): LedgerModelState {
  const { remaining } = state;
  return {
    ...state,
    remaining: { ...remaining, [budget]: remaining[budget] - 1 },
  };
}

/** Returns a state with one VM replaced. */
export function withVm(
  state: LedgerModelState,
  name: string,
  vm: LedgerVmState,
): LedgerModelState {
  return { ...state, vms: new Map(state.vms).set(name, vm) };
}

import { LedgerShard } from "@kingcupglade/ledger";
import type { ClaimRecord } from "@kingcupglade/ledger";
import { applyCommand, planRoles, roleId } from "@kingcupglade/ownership";
import type { ControlCommand, ControlState } from "@kingcupglade/ownership";
import {
  claim,
  content,
  now,
  retentionMilliseconds,
  shardId,
} from "./ledger_world.ts";
import type {
  BatchInFlight,
  LedgerVm,
  LedgerWorld,
  Replicator,
  ShardEvent,
  Waiting,
} from "./ledger_world.ts";
import { putVm } from "./range_moves.ts";

/** A VM that has just started. */
export function freshVm(incarnation: number): LedgerVm {
  return { incarnation, running: true, events: [], replicator: null };
}

/** A VM's copy, told again what it was told. */
export function shardOf(vm: LedgerVm): LedgerShard {
  const shard = new LedgerShard({ retentionMilliseconds });
  for (const event of vm.events) replay(shard, event);
  return shard;
}

function replay(shard: LedgerShard, event: ShardEvent): void {
  switch (event.kind) {
    case "assign":
      return shard.assign(event.role, now);
    case "claim":
      shard.claim(claim, content, now);
      return;
    case "settle":
      shard.settle(claim, doneRecord, now);
      return;
    case "receive":
      shard.receive(event.batch, now);
  }
}

const doneRecord: Exclude<ClaimRecord, { readonly state: "open" }> = {
  state: "done",
  content,
  answer: null,
};

/** Whether a VM takes requests under a claim. */
export function isReady(vm: LedgerVm): boolean {
  return vm.replicator?.isSynchronised === true;
}

/** Commits a command at the next version. */
export function commit(
  control: ControlState,
  command: ControlCommand,
): ControlState {
  return applyCommand(control, command, control.version + 1).state;
}

/** Assigns the shard as the role planner wants it. */
export function assignRoles(control: ControlState): ControlState {
  const roles = planRoles(control).filter((role) => roleId(role) === shardId);
  return roles.length > 0
    ? commit(control, { kind: "assignRoles", roles })
    : control;
}

/** A VM takes in the assignment in force. */
export function learn(world: LedgerWorld, name: string): LedgerWorld {
  const vm = world.vms.get(name)!;
  const role = world.control.roles.get(shardId)!;
  const boot = bootOf(name, vm.incarnation);
  const isHolder = role.holder === name && role.holderBoot === boot;
  const isStandby = role.standby === name && role.standbyBoot === boot;
  const assigned: LedgerVm = {
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
  if (!isHolder) return withVm(world, name, assigned);
  const copy = shardOf(assigned).snapshot(now).map((update): Waiting => ({
    update,
    purpose: "copy",
  }));
  const replicator: Replicator = {
    epoch: role.epoch,
    standby: role.standby,
    sequence: 0,
    isSynchronised: role.standby === null,
    waiting: role.standby === null ? [] : [
      copy[0] ??
        { update: { kind: "remove", claim: "" }, purpose: "copy" },
    ],
  };
  return sendNext(withVm(world, name, { ...assigned, replicator }), name);
}

/** A holder tells its standby a change. */
export function record(
  world: LedgerWorld,
  name: string,
  waiting: Waiting,
): LedgerWorld {
  const vm = world.vms.get(name)!;
  const replicator = vm.replicator!;
  if (replicator.standby === null) return world;
  const wasIdle = replicator.waiting.length === 0;
  const next = withVm(world, name, {
    ...vm,
    replicator: { ...replicator, waiting: [...replicator.waiting, waiting] },
  });
  return wasIdle ? sendNext(next, name) : next;
}

/** A holder sends the first change that waits. */
// One update a batch: a batch of several is taken whole or not at all.
export function sendNext(world: LedgerWorld, name: string): LedgerWorld {
  const vm = world.vms.get(name)!;
  const first = vm.replicator?.waiting[0];
  if (!vm.replicator || !first) return world;
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
  return { ...world, batches: [...world.batches, sent] };
}

/** A batch arrives at the standby. */
export function deliver(world: LedgerWorld, index: number): LedgerWorld {
  const sent = world.batches[index]!;
  const vm = world.vms.get(sent.to)!;
  if (!vm.running) return answer(world, index, "refused");
  const decision = shardOf(vm).receive(sent.batch, now);
  const received = withVm(world, sent.to, {
    ...vm,
    events: [...vm.events, { kind: "receive", batch: sent.batch }],
    replicator: decision.kind === "accepted" ? null : vm.replicator,
  });
  return answer(
    received,
    index,
    decision.kind === "accepted" ? "accepted" : "refused",
  );
}

function answer(
  world: LedgerWorld,
  index: number,
  given: BatchInFlight["answer"],
): LedgerWorld {
  return {
    ...world,
    batches: world.batches.map((each, at) =>
      at === index ? { ...each, answer: given } : each
    ),
  };
}

/** The request leaves for its target. */
export function leave(world: LedgerWorld, name: string): LedgerWorld {
  const { incarnation } = world.vms.get(name)!;
  const request = { vm: name, incarnation };
  return { ...world, requests: [...world.requests, request] };
}

/** The target carries the request out. */
export function arrive(world: LedgerWorld, index: number): LedgerWorld {
  const request = world.requests[index]!;
  const ran: LedgerWorld = {
    ...world,
    requests: world.requests.filter((_, at) => at !== index),
    effects: world.effects + 1,
  };
  const vm = world.vms.get(request.vm)!;
  const hears = vm.running && vm.incarnation === request.incarnation &&
    vm.replicator !== null;
  if (!hears) return ran;
  const update = shardOf(vm).settle(claim, doneRecord, now);
  const settled = withVm(ran, request.vm, {
    ...vm,
    events: [...vm.events, { kind: "settle" }],
  });
  return record(settled, request.vm, { update, purpose: "outcome" });
}

/** A VM registers under its incarnation. */
export function register(world: LedgerWorld, name: string): LedgerWorld {
  const vm = world.vms.get(name)!;
  const boot = bootOf(name, vm.incarnation);
  const command = putVm(name, boot);
  return {
    ...withVm(world, name, { ...vm, running: true }),
    control: assignRoles(commit(world.control, command)),
  };
}

function bootOf(name: string, incarnation: number): string {
  return incarnation === 0 ? "boot-1" : `${name}-${incarnation}`;
}

/** Takes one from a budget. */
export function spend(
  world: LedgerWorld,
  budget: keyof LedgerWorld["remaining"],
): LedgerWorld {
  const { remaining } = world;
  return {
    ...world,
    remaining: { ...remaining, [budget]: remaining[budget] - 1 },
  };
}

/** Changes a VM. */
export function withVm(
  world: LedgerWorld,
  name: string,
  vm: LedgerVm,
): LedgerWorld {
  return { ...world, vms: new Map(world.vms).set(name, vm) };
}

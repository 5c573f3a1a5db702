import type { ExplorationModel } from "@kingcupglade/checker";
import {
  coordinate,
  deltaSince,
  RangePhase,
  RoutingTable,
} from "@kingcupglade/ownership";
import type {
  CoordinatorPlan,
  LeaderView,
  RangeRecord,
} from "@kingcupglade/ownership";
import { TargetTracker } from "../control/target_tracker.ts";
import { VmTracker } from "../control/vm_tracker.ts";
import {
  abandonRequest,
  allowRefusal,
  beginPush,
  commit,
  createReply,
  ownsRange,
  ownsRangeInEpoch,
  precedes,
  putTargetCommand,
  putVmCommand,
  quiescentVersion,
  rangeOf,
  receivePushResponse,
  receiveReply,
  recordAnnouncement,
  recordLeaderEvent,
  replay,
  spendBudget,
  timeOutPush,
  withPush,
  withTarget,
  withVm,
} from "./range_transitions.ts";
import {
  emptyState,
  initialRounds,
  position,
  recoveryRounds,
  startCommands,
  subject,
  targetNames,
  vmNames,
} from "./range_initial_state.ts";
import { leaseMilliseconds, tickMilliseconds } from "./range_state.ts";
import type {
  RangeAction,
  RangeModelState,
  RangeMutation,
  RangeStart,
  RequestInFlight,
  VmState,
} from "./range_state.ts";

/**
 * Model of one range, two VMs and two targets with every order of messages,
 * losses and pauses. It runs the real coordinator, trackers of the leader,
 * routing table and counting of requests in progress.
 */
export class RangeModel
  implements ExplorationModel<RangeModelState, RangeAction> {
  readonly initial: RangeModelState;
  #mutation: RangeMutation | null = null;

  constructor(
    options: {
      readonly remaining: RangeModelState["remaining"];
      /** @default "serving" */
      readonly start?: RangeStart;
      readonly mutation?: RangeMutation;
    },
  ) {
    this.initial = {
      ...this.#createStartState(options.start ?? "serving"),
      remaining: options.remaining,
    };
    this.#mutation = options.mutation ?? null; // The start state has no faults.
  }

  actions(state: RangeModelState): readonly RangeAction[] {
    const { remaining, pushes, requests, targets, vms } = state;
    const actions: RangeAction[] = [];
    if (remaining.ticks > 0) {
      for (const milliseconds of tickMilliseconds) {
        actions.push({ kind: "tick", milliseconds });
      }
    }
    for (const target of targetNames) {
      if (targets.get(target)!.reply !== null) {
        actions.push({ kind: "receiveReply", target });
      } else if (remaining.announcements > 0) {
        actions.push({ kind: "announce", target });
      }
    }
    if (remaining.leaves > 0) actions.push({ kind: "leave", target: "a" });
    const plan = this.#plan(state);
    if (plan.commands.length > 0 || this.#newPushes(state, plan).length > 0) {
      actions.push({ kind: "coordinate" });
    }
    for (const { sequence, isDelivered, hasTimedOut } of pushes) {
      actions.push({
        kind: isDelivered ? "receivePushResponse" : "deliverPush",
        sequence,
      });
      if (!hasTimedOut && remaining.timeouts > 0) {
        actions.push({ kind: "timeOutPush", sequence });
      }
    }
    for (const vm of vmNames) {
      if (remaining.renewals > 0) actions.push({ kind: "renewLease", vm });
      if (remaining.requests > 0 && this.#findRoute(state, vms.get(vm)!)) {
        actions.push({ kind: "sendRequest", vm });
      }
    }
    for (const { id, isAwaited } of requests) {
      actions.push({ kind: "deliverRequest", request: id });
      if (isAwaited && remaining.timeouts > 0) {
        actions.push({ kind: "abandonRequest", request: id });
      }
    }
    return actions;
  }

  apply(state: RangeModelState, action: RangeAction): RangeModelState {
    switch (action.kind) {
      case "tick":
        return {
          ...spendBudget(state, "ticks"),
          now: state.now + action.milliseconds,
        };
      case "announce":
        return this.#announce(
          spendBudget(state, "announcements"),
          action.target,
        );
      case "receiveReply":
        return receiveReply(state, action.target);
      case "leave":
        return this.#leave(
          spendBudget(state, "leaves"),
          action.target,
        );
      case "coordinate":
        return this.#coordinate(state);
      case "deliverPush":
        return this.#deliverPush(state, action.sequence);
      case "receivePushResponse":
        return receivePushResponse(state, action.sequence);
      case "timeOutPush":
        return timeOutPush(spendBudget(state, "timeouts"), action.sequence);
      case "renewLease":
        return this.#renewLease(spendBudget(state, "renewals"), action.vm);
      case "sendRequest":
        return this.#sendRequest(spendBudget(state, "requests"), action.vm);
      case "deliverRequest":
        return this.#deliverRequest(state, action.request);
      case "abandonRequest":
        return abandonRequest(spendBudget(state, "timeouts"), action.request);
    }
  }

  /** Returns the state after a period without losses and delays. */
  recover(state: RangeModelState): RangeModelState {
    let next = state;
    for (let round = 0; round < recoveryRounds; round += 1) {
      for (const { id } of next.requests) next = this.#deliverRequest(next, id);
      for (const name of targetNames) {
        if (next.targets.get(name)!.reply === null) {
          next = this.#announce(next, name);
        }
        next = receiveReply(next, name);
      }
      for (const { sequence, isDelivered } of next.pushes) {
        if (!isDelivered) next = this.#deliverPush(next, sequence);
        next = receivePushResponse(next, sequence);
      }
      next = this.#coordinate(next);
      for (const name of vmNames) next = this.#renewLease(next, name);
    }
    return next;
  }

  /** Returns why requests for the range are not served, or null. */
  findUnservedReason(state: RangeModelState): string | null {
    const range = rangeOf(state.control, position)!;
    if (range.owner === null || range.phase !== RangePhase.serving) {
      return "the range has no serving owner";
    }
    if (!ownsRangeInEpoch(state, range.owner, range.epoch)) {
      return `${range.owner} was granted the range but refuses its requests`;
    }
    const staleVm = vmNames.find((name) =>
      this.#findRoute(state, state.vms.get(name)!)?.epoch !== range.epoch
    );
    return staleVm ? `${staleVm} does not route to the owner` : null;
  }

  fingerprint(state: RangeModelState): string {
    const { control, vms } = state;
    const leaderView = this.#createLeaderView(state);
    return JSON.stringify([
      state.now,
      control.version,
      [...control.vms.keys()],
      [...control.targets].map(([name, { condition }]) => [name, condition]),
      rangeOf(control, position),
      vmNames.map((name) => leaderView.vm(name)),
      targetNames.map((name) => leaderView.target(name)),
      leaderView.lastVmLossAt,
      [...vms].map(([, { table, leaseUntil, inProgress }]) => [
        table.version,
        leaseUntil,
        inProgress,
      ]),
      [...state.targets],
      state.pushes,
      state.requests,
      state.highestEffectEpoch,
      state.remaining,
    ]);
  }

  findViolation(state: RangeModelState): string | null {
    if (state.violation !== null) return state.violation;
    const owners = targetNames.filter((name) => ownsRange(state, name));
    return owners.length > 1 ? `${owners.join(" and ")} own the range` : null;
  }

  #createStartState(start: RangeStart): RangeModelState {
    const started = startCommands.reduce(commit, emptyState);
    const announced = targetNames.reduce(
      (state, name) => receiveReply(this.#announce(state, name), name),
      started,
    );
    let state = vmNames.reduce(
      (each, name) => this.#renewLease(each, name),
      announced,
    );
    for (let round = 0; round < initialRounds; round += 1) {
      state = this.#coordinate(state);
      if (start === "granted" && rangeOf(state.control, position)!.owner) break;
      for (const { sequence } of state.pushes) {
        state = receivePushResponse(
          this.#deliverPush(state, sequence),
          sequence,
        );
      }
      state = vmNames.reduce(
        (each, name) => this.#renewLease(each, name),
        state,
      );
    }
    return state;
  }

  #createLeaderView(state: RangeModelState): LeaderView {
    const { now } = state;
    const targets = new TargetTracker(leaseMilliseconds, 0);
    const vms = new VmTracker(leaseMilliseconds, 0);
    for (const event of state.leaderEvents) replay({ targets, vms }, event);
    return {
      now,
      lastVmLossAt: vms.lastLossAt,
      vm: (name) => {
        const view = vms.view(name, now);
        return this.#mutation === "ignoresRequestsInProgress"
          ? { ...view, quiescentVersion: state.control.version }
          : view;
      },
      target: (name) => {
        const view = targets.view(name, now);
        return this.#mutation === "assumesNoGrants"
          ? { ...view, held: view.held ?? [], acceptsGrants: true }
          : view;
      },
    };
  }

  #plan(state: RangeModelState): CoordinatorPlan {
    return coordinate(state.control, this.#createLeaderView(state));
  }

  #newPushes(
    state: RangeModelState,
    plan: CoordinatorPlan,
  ): CoordinatorPlan["pushes"] {
    return plan.pushes.filter((push) =>
      !state.pushes.some((each) =>
        each.target === push.target && !each.hasTimedOut
      )
    );
  }

  #coordinate(state: RangeModelState): RangeModelState {
    const plan = this.#plan(state);
    const pushed = this.#newPushes(state, plan).reduce(beginPush, state);
    return plan.commands.reduce((before, command) => {
      if (command.kind === "removeVm") {
        return commit(
          recordLeaderEvent(before, { kind: "removeVm", vm: command.name }),
          command,
        );
      }
      if (command.kind === "removeTarget") {
        return commit(
          recordLeaderEvent(before, {
            kind: "forgetTarget",
            target: command.target,
          }),
          command,
        );
      }
      return commit(before, command);
    }, pushed);
  }

  #announce(state: RangeModelState, target: string): RangeModelState {
    const renewed = recordAnnouncement(state, target);
    const registered = state.control.targets.has(target) &&
        state.control.targets.get(target)!.condition !== "lost"
      ? renewed
      : commit(renewed, putTargetCommand(target, "serving"));
    return withTarget(registered, target, { reply: createReply(state) });
  }

  #leave(state: RangeModelState, target: string): RangeModelState {
    return commit(
      recordAnnouncement(state, target),
      putTargetCommand(target, "leaving"),
    );
  }

  #deliverPush(state: RangeModelState, sequence: number): RangeModelState {
    const push = state.pushes.find((each) => each.sequence === sequence)!;
    const { latestPush } = state.targets.get(push.target)!;
    const isRefused = precedes(push, latestPush) &&
      this.#mutation !== "ignoresPushOrder";
    const next = withPush(state, sequence, { isDelivered: true, isRefused });
    return isRefused ? next : withTarget(next, push.target, {
      grants: state.now < state.targets.get(push.target)!.leaseUntil
        ? push.grants
        : [],
      latestPush: { version: push.version, sequence },
      actsOn: { version: push.version, sequence },
    });
  }

  #renewLease(state: RangeModelState, name: string): RangeModelState {
    const vm = state.vms.get(name)!;
    const renewed = recordLeaderEvent(state, {
      kind: "renewVm",
      vm: name,
      appliedVersion: vm.table.version,
      quiescentVersion: quiescentVersion(vm),
    });
    const registered = state.control.vms.has(name)
      ? renewed
      : commit(renewed, putVmCommand(name));
    const delta = deltaSince(registered.control, vm.table.version);
    const hasLapsed = state.now >= vm.leaseUntil;
    const next = withVm(registered, name, {
      table: vm.table.apply(delta) ?? RoutingTable.empty,
      leaseUntil: Math.max(vm.leaseUntil, state.now + leaseMilliseconds),
    });
    return hasLapsed ? allowRefusal(next, (each) => each.vm === name) : next;
  }

  /** Returns the range to which a VM can send a request now, or null. */
  #findRoute(state: RangeModelState, vm: VmState): RangeRecord | null {
    if (state.now >= vm.leaseUntil) return null;
    const range = vm.table.rangeOf(subject, position)?.range;
    return range?.phase === RangePhase.serving ? range : null;
  }

  #sendRequest(state: RangeModelState, name: string): RangeModelState {
    const vm = state.vms.get(name)!;
    const range = this.#findRoute(state, vm)!;
    const group = vm.table.rangeOf(subject, position)!.group.id;
    const id = state.remaining.requests;
    const request: RequestInFlight = {
      id,
      vm: name,
      target: range.owner!,
      epoch: range.epoch,
      isAwaited: true,
      mayBeRefused: !ownsRangeInEpoch(state, range.owner!, range.epoch),
    };
    const rangeRequest = { ...subject, group, position, epoch: range.epoch };
    return withVm(
      { ...state, requests: [...state.requests, request] },
      name,
      { inProgress: [...vm.inProgress, { ...rangeRequest, request: id }] },
    );
  }

  #deliverRequest(state: RangeModelState, id: number): RangeModelState {
    const request = state.requests.find((each) => each.id === id)!;
    const { target, epoch } = request;
    const isExecuted = this.#mutation === "ignoresFence" ||
      ownsRangeInEpoch(state, target, epoch);
    const holdsLease = state.now < state.targets.get(target)!.leaseUntil;
    const mayBeRefused = !request.isAwaited || request.mayBeRefused ||
      !holdsLease;
    const violation = isExecuted && epoch < state.highestEffectEpoch
      ? `an effect under epoch ${epoch} came after one under ${state.highestEffectEpoch}`
      : !isExecuted && !mayBeRefused
      ? `a move refused a request under epoch ${epoch}`
      : state.violation;
    return {
      ...abandonRequest(state, id),
      requests: state.requests.filter((each) => each.id !== id),
      highestEffectEpoch: isExecuted
        ? Math.max(state.highestEffectEpoch, epoch)
        : state.highestEffectEpoch,
      violation,
    };
  }
}

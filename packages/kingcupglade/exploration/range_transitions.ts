import type { Announcement } from "@kingcupglade/membership";
import { applyCommand, findRange } from "@kingcupglade/ownership";
import type {
  ControlCommand,
  ControlState,
  CoordinatorPlan,
  RangeRecord,
  VmRecord,
} from "@kingcupglade/ownership";
import type { TargetTracker } from "../control/target_tracker.ts";
import type { VmTracker } from "../control/vm_tracker.ts";
import { RequestsInProgress } from "../gateway/requests_in_progress.ts";
import { leaseMilliseconds } from "./range_state.ts";
import type {
  LeaderEvent,
  PushInFlight,
  RangeModelState,
  RequestInFlight,
  TargetState,
  VmState,
} from "./range_state.ts";

const location = { dataCentre: "hsinchu-a", region: "hsinchu" } as const;
const boot = "boot-1";

type UntimedLeaderEvent<Kind = LeaderEvent> = Kind extends LeaderEvent
  ? Omit<Kind, "at">
  : never;

/** Applies a command to the control state at the next version. */
export function commit(
  state: RangeModelState,
  command: ControlCommand,
): RangeModelState {
  const { control } = state;
  return {
    ...state,
    control: applyCommand(control, command, control.version + 1).state,
  };
}

/** Records an event for the leader's trackers at the current time. */
export function recordLeaderEvent(
  state: RangeModelState,
  untimedEvent: UntimedLeaderEvent,
): RangeModelState {
  const event = { ...untimedEvent, at: state.now } as LeaderEvent;
  return { ...state, leaderEvents: [...state.leaderEvents, event] };
}

/** Records a target's announcement for the leader's trackers. */
export function recordAnnouncement(
  state: RangeModelState,
  target: string,
): RangeModelState {
  const { leaseUntil, actsOn } = state.targets.get(target)!;
  return recordLeaderEvent(state, {
    kind: "renewTarget",
    target,
    actsOn: state.now < leaseUntil ? actsOn : { version: 0, sequence: 0 },
  });
}

/** Creates the leader's reply to an announcement. */
export function createReply(state: RangeModelState): TargetState["reply"] {
  const { version } = state.control;
  const grantsFrom = { version, sequence: state.sequence + 1 };
  return { sentAt: state.now, grantsFrom };
}

/** Applies a recorded event to the given trackers. */
export function replay(
  trackers: { readonly targets: TargetTracker; readonly vms: VmTracker },
  event: LeaderEvent,
): void {
  const { targets, vms } = trackers;
  switch (event.kind) {
    case "renewTarget":
      return targets.renew({
        ...announcementOf(event.target, "serving"),
        actsOn: event.actsOn,
      }, event.at);
    case "forgetTarget":
      return targets.forget(event.target);
    case "beginPush":
      targets.beginPush({ ...event, boot });
      return;
    case "endPush":
      return targets.endPush({ ...event, boot }, {
        confirmed: event.confirmed,
        now: event.at,
      });
    case "renewVm":
      vms.renew({ ...event, vm: { name: event.vm, boot } }, event.at);
      return;
    case "removeVm":
      return vms.recordRemoval(event.vm);
  }
}

/** Sends a push of grants from the leader. */
export function beginPush(
  state: RangeModelState,
  push: CoordinatorPlan["pushes"][number],
): RangeModelState {
  const sequence = state.sequence + 1;
  const { target, grants } = push;
  const sent: PushInFlight = {
    target,
    grants,
    sequence,
    version: state.control.version,
    isDelivered: false,
    hasTimedOut: false,
    isRefused: false,
  };
  return {
    ...recordLeaderEvent(state, {
      kind: "beginPush",
      target,
      version: sent.version,
      sequence,
      grants,
    }),
    sequence,
    pushes: [...state.pushes, sent],
  };
}

/** Delivers the response to a push to the leader. */
export function receivePushResponse(
  state: RangeModelState,
  sequence: number,
): RangeModelState {
  const push = state.pushes.find((each) => each.sequence === sequence)!;
  return endPush(
    {
      ...state,
      pushes: state.pushes.filter((each) => each.sequence !== sequence),
    },
    push,
    !push.isRefused,
  );
}

/** Times a push out at the leader; it may still be delivered. */
export function timeOutPush(
  state: RangeModelState,
  sequence: number,
): RangeModelState {
  const push = state.pushes.find((each) => each.sequence === sequence)!;
  return endPush(withPush(state, sequence, { hasTimedOut: true }), push, false);
}

function endPush(
  state: RangeModelState,
  push: PushInFlight,
  confirmed: boolean,
): RangeModelState {
  if (push.hasTimedOut) return state;
  const { target, version, sequence, grants } = push;
  return recordLeaderEvent(state, {
    kind: "endPush",
    target,
    version,
    sequence,
    grants,
    confirmed,
  });
}

/** Delivers the reply to a target's announcement. */
export function receiveReply(
  state: RangeModelState,
  target: string,
): RangeModelState {
  const { leaseUntil, grants, actsOn, latestPush, reply } = state.targets.get(
    target,
  )!;
  const { sentAt, grantsFrom } = reply!;
  const hasLapsed = state.now >= leaseUntil;
  const next = withTarget(state, target, {
    leaseUntil: Math.max(leaseUntil, sentAt + leaseMilliseconds),
    grants: hasLapsed ? [] : grants,
    actsOn: hasLapsed ? { version: 0, sequence: 0 } : actsOn,
    latestPush: hasLapsed && precedes(latestPush, grantsFrom)
      ? grantsFrom
      : latestPush,
    reply: null,
  });
  return hasLapsed
    ? allowRefusal(next, (each) => each.target === target)
    : next;
}

/** Returns whether a push was sent before another. */
export function precedes(
  left: TargetState["latestPush"],
  right: TargetState["latestPush"],
): boolean {
  return left.version < right.version ||
    (left.version === right.version && left.sequence < right.sequence);
}

/** Ends a VM's wait for a request, which may still be in flight. */
export function abandonRequest(
  state: RangeModelState,
  id: number,
): RangeModelState {
  const request = state.requests.find((each) => each.id === id)!;
  const { inProgress } = state.vms.get(request.vm)!;
  return withVm(
    {
      ...state,
      requests: state.requests.map((each) =>
        each.id === id ? { ...each, isAwaited: false } : each
      ),
    },
    request.vm,
    {
      inProgress: inProgress.filter((each) => each.request !== id),
    },
  );
}

/** Permits the refusal of the matching requests. */
export function allowRefusal(
  state: RangeModelState,
  matches: (request: RequestInFlight) => boolean,
): RangeModelState {
  return {
    ...state,
    requests: state.requests.map((each) =>
      matches(each) ? { ...each, mayBeRefused: true } : each
    ),
  };
}

/** Returns the version up to which a VM has no request in progress. */
export function quiescentVersion(vm: VmState): number {
  const requestsInProgress = new RequestsInProgress();
  for (const each of vm.inProgress) requestsInProgress.begin(each);
  return requestsInProgress.quiescentVersion(vm.table);
}

/** Returns whether a target acts on a grant of the range now. */
export function ownsRange(state: RangeModelState, name: string): boolean {
  const { grants, leaseUntil } = state.targets.get(name)!;
  return state.now < leaseUntil && grants.length > 0;
}

/** Returns whether a target acts on a grant of the range under an epoch. */
export function ownsRangeInEpoch(
  state: RangeModelState,
  name: string,
  epoch: number,
): boolean {
  return ownsRange(state, name) &&
    state.targets.get(name)!.grants.some((grant) => grant.epoch === epoch);
}

/** Returns the range that contains a position. */
export function rangeOf(
  control: ControlState,
  position: number,
): RangeRecord | undefined {
  const [group] = control.groups.values();
  return group?.ranges[findRange(group.ranges, position)];
}

/** Creates the command that registers a target. */
export function putTargetCommand(
  target: string,
  condition: "serving" | "leaving",
): ControlCommand {
  const { load: _load, ...registration } = announcementOf(target, condition);
  return {
    kind: "putTarget",
    target: { ...registration, region: location.region },
  };
}

/** Creates the command that registers a VM. */
export function putVmCommand(
  name: string,
  vmBoot: string = boot,
): ControlCommand {
  const vm: Omit<VmRecord, "changedAt"> = {
    name,
    boot: vmBoot,
    ...location,
    peerAddress: "127.0.0.1:1",
    callersAddress: "127.0.0.1:2",
    replica: null,
    leaving: false,
  };
  return { kind: "putVm", vm };
}

/** Decrements a budget. */
export function spendBudget(
  state: RangeModelState,
  budget: keyof RangeModelState["remaining"],
): RangeModelState {
  const { remaining } = state;
  return {
    ...state,
    remaining: { ...remaining, [budget]: remaining[budget] - 1 },
  };
}

/** Returns a state with changes to one VM. */
export function withVm(
  state: RangeModelState,
  name: string,
  change: Partial<VmState>,
): RangeModelState {
  const vm = { ...state.vms.get(name)!, ...change };
  return { ...state, vms: new Map(state.vms).set(name, vm) };
}

/** Returns a state with changes to one target. */
export function withTarget(
  state: RangeModelState,
  name: string,
  change: Partial<TargetState>,
): RangeModelState {
  const target = { ...state.targets.get(name)!, ...change };
  return { ...state, targets: new Map(state.targets).set(name, target) };
}

/** Returns a state with changes to one push in flight. */
export function withPush(
  state: RangeModelState,
  sequence: number,
  change: Partial<PushInFlight>,
): RangeModelState {
  return {
    ...state,
    pushes: state.pushes.map((each) =>
      each.sequence === sequence ? { ...each, ...change } : each
    ),
  };
}

function announcementOf(
  target: string,
  condition: "serving" | "leaving",
): Announcement {
  return {
    target,
    boot,
    service: "stock",
    dataCentre: location.dataCentre,
    address: "http://127.0.0.1:3",
    slots: 6,
    connections: 110,
    coldSlots: 1,
    checksFences: true,
    condition,
  };
}

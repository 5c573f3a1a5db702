import type { Bundle } from "@kingcupglade/bundle";
import type { Grant } from "./grants.ts";
import type { LeaderView } from "./leader_view.ts";
import type {
  ControlState,
  PlacementGroup,
  RangeRecord,
  TargetRecord,
} from "./model.ts";

/**
 * Time after the lease of a fence-checking owner has lapsed for which its open
 * requests delay the next grant, in milliseconds.
 */
const fencedDrainMilliseconds = 1000;

/** Returns the oldest table version that a VM routes by. */
function minimumAppliedVersion(state: ControlState, view: LeaderView): number {
  let applied = state.version;
  for (const name of state.vms.keys()) {
    applied = Math.min(applied, view.vm(name).appliedVersion);
  }
  return applied;
}

/**
 * Returns the table version for which no VM has a request in progress that
 * began under an older one.
 */
export function settledVersion(state: ControlState, view: LeaderView): number {
  let settled = state.version;
  for (const name of state.vms.keys()) {
    settled = Math.min(settled, view.vm(name).quiescentVersion);
  }
  return settled;
}

/** Returns the longest deadline of a request for a service, in milliseconds. */
export function maximumDeadlineMilliseconds(
  bundle: Bundle | undefined,
  service: string,
): number {
  const serviceDeadline = bundle?.services.find((each) => each.name === service)
    ?.deadlineMilliseconds ?? 0;
  const routes = bundle?.routes.filter((each) => each.service === service) ??
    [];
  return Math.max(
    serviceDeadline,
    ...routes.map((each) => each.deadlineMilliseconds ?? 0),
  );
}

/**
 * Decides whether ranges may be granted to a new owner; valid for one planning
 * round.
 */
export class ReleaseCheck {
  readonly #state: ControlState;
  readonly #view: LeaderView;
  readonly #settled: number;
  readonly #applied: number;
  readonly #freeOfStaleGrants = new Map<string, boolean>();

  constructor(state: ControlState, view: LeaderView, settled: number) {
    this.#state = state;
    this.#view = view;
    this.#settled = settled;
    this.#applied = minimumAppliedVersion(state, view);
  }

  /**
   * Returns whether no target can serve the range and no VM can send requests
   * for it any more.
   */
  isReleased(group: PlacementGroup, range: RangeRecord): boolean {
    if (range.owner === null) {
      return range.epoch > 0 || this.#isFreeOfStaleGrants(group);
    }
    const now = this.#view.now ?? 0;
    const record = this.#state.targets.get(range.owner);
    const guard = this.#guardMilliseconds(group, record);
    const owner = this.#view.target(range.owner);
    // Requests that a lost owner has begun may stay open until their deadline.
    // The fence and the lapsed lease keep the owner from acting on them, so it
    // is enough that every VM has applied the change.
    const isFencedOff = guard === 0 && owner.lapsed &&
      now >= (owner.lapsesAt ?? Infinity) + fencedDrainMilliseconds;
    const finishedVersion = isFencedOff ? this.#applied : this.#settled;
    if (finishedVersion < range.changedAt) return false;
    if (now < (this.#view.lastVmLossAt ?? -Infinity) + guard) return false;
    if (owner.lapsed) return now >= (owner.lapsesAt ?? -Infinity) + guard;
    return confirmsRelease(owner.held, group, range);
  }

  // When a group was removed and created again, targets may still hold grants
  // of the earlier group.
  #isFreeOfStaleGrants(group: PlacementGroup): boolean {
    const cached = this.#freeOfStaleGrants.get(group.id);
    if (cached !== undefined) return cached;
    // If a range of the group was ever granted, this check has passed before.
    const isFree = group.ranges.some((each) => each.epoch > 0) ||
      [...this.#state.targets.values()].every(({ target, service }) => {
        const { lapsed, held } = this.#view.target(target);
        if (lapsed) return true;
        return held === null
          ? service !== group.service
          : held.every((each) => each.group !== group.id);
      });
    this.#freeOfStaleGrants.set(group.id, isFree);
    return isFree;
  }

  // The loss of a VM or of the owner can leave requests in progress. A target
  // that does not check fences may execute them until their deadline passes.
  #guardMilliseconds(
    group: PlacementGroup,
    record: TargetRecord | undefined,
  ): number {
    const bundle = this.#state.bundle?.bundle;
    const service = bundle?.services.find((each) =>
      each.name === group.service
    );
    const checksFences = (service?.checksFences ?? true) &&
      (record?.checksFences ?? true);
    return checksFences
      ? 0
      : maximumDeadlineMilliseconds(bundle, group.service);
  }
}

function confirmsRelease(
  held: readonly Grant[] | null,
  group: PlacementGroup,
  range: RangeRecord,
): boolean {
  return held !== null &&
    !held.some((grant) =>
      grant.group === group.id && grant.start < range.end &&
      grant.end > range.start
    );
}

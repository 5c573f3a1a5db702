import type { Announcement, GrantedRange } from "./announcement.ts";
import { MoveLimits } from "./move_limits.ts";
import type {
  KeyRange,
  KeyRanges,
  RangeGrant,
  TargetIncarnation,
} from "./types.ts";

/** Options of a {@link RangeAssigner}. */
export interface RangeAssignerOptions {
  /**
   * Duration of the hold that a grant gives, counted by the target from the
   * time it sent its heartbeat.
   */
  readonly holdMilliseconds: number;
  /**
   * Time at which this replica became leader; an earlier leader may have given
   * holds up to then.
   */
  readonly startedAt: number;
}

/** Targets' clocks may run 2 % slow; the other 1 % allows for timer delay. */
const clockDriftFactor = 1.03;
/** Maximum delay of the timer with which a target ends its hold. */
const timerDelayMilliseconds = 100;

/**
 * Time after which a heartbeat response has reached its target, across two
 * regions and with one packet retransmitted.
 */
const replyMilliseconds = 40;

/** State that the leader keeps for a range in addition to the log. */
interface RangeLease {
  readonly fence: number;
  /** Time at which the last hold on the range has expired. */
  heldUntil: number;
  /** Time by which the owner has received the grant with this fence. */
  activeAt: number;
  /** Whether the owner has to release the range. */
  isMoving: boolean;
  /**
   * Whether the range moves for balance, as opposed to its owner being unable
   * to keep it.
   */
  isBalancing: boolean;
  /**
   * Whether the move starts with the owner's next heartbeat, as only the
   * response to it can tell the owner to release the range.
   */
  isMovePending: boolean;
  /**
   * State that the owner handed over; undefined while it may still hold the
   * range.
   */
  handover: string | undefined;
}

/** Target that may own ranges. */
export interface RangeCandidate {
  readonly incarnation: TargetIncarnation;
  readonly weight: number;
  /** Whether it may receive ranges that it does not own. */
  readonly mayReceiveRanges: boolean;
  /**
   * Time until its next heartbeat, which delivers grants to it, as a fraction
   * of the heartbeat interval.
   */
  readonly nextHeartbeatFraction: number;
}

/** Input of {@link RangeAssigner.plan}. */
export interface RangePlanInput {
  readonly candidates: readonly RangeCandidate[];
  readonly now: number;
  /** Returns the decayed count of recent requests for a range. */
  readonly demand: (range: KeyRange) => number;
}

/** Added to each range's demand, so that idle ranges are distributed too. */
const baseDemand = 0.3;
/**
 * No range moves for balance until an owner's load is this many times the mean:
 * requests for a range wait while it moves, and demand measured over a few
 * seconds is noisy.
 */
const imbalanceThreshold = 1.4;
/** A move must lower the heavier owner's load by this share of the mean load. */
const minimumGain = 0.1;

/**
 * Additional load, as a multiple of the mean, accepted for a new owner whose
 * next heartbeat is due a whole interval sooner: requests for the range wait
 * until then.
 */
const heartbeatWaitCost = 0.25;

/**
 * Assigns the ranges of one keyed service to owners. A range is never granted
 * to another target while the previous owner may still hold it.
 */
export class RangeAssigner {
  readonly #options: RangeAssignerOptions;
  readonly #leases = new Map<number, RangeLease>();

  constructor(options: RangeAssignerOptions) {
    this.#options = options;
  }

  /** Whether gateways should delay requests for a range. */
  isMoving(range: KeyRange, now: number): boolean {
    const lease = this.#leaseOf(range);
    return range.owner === null || lease.isMoving || now < lease.activeAt;
  }

  /**
   * Records which ranges a target holds and has released. Returns whether a
   * move has started, which gateways must learn at once.
   */
  recordHeartbeat(ranges: KeyRanges, announcement: Announcement): boolean {
    const { incarnation } = announcement;
    let hasMoveStarted = false;
    for (const range of ranges) {
      if (range.owner?.target !== incarnation.target) continue;
      const lease = this.#leaseOf(range);
      if (range.owner.bornAt < incarnation.bornAt) {
        // The incarnation that held the range has ended.
        lease.heldUntil = -Infinity;
        continue;
      }
      if (lease.isMovePending) {
        lease.isMovePending = false;
        lease.isMoving = true;
        hasMoveStarted = true;
        continue;
      }
      if (!lease.isMoving || lease.handover !== undefined) continue;
      if (announcement.holds.some((row) => overlaps(row, range))) continue;
      lease.handover = announcement.freed.find((row) =>
        row.from <= range.from && row.to >= range.to
      )?.handover ?? "";
    }
    return hasMoveStarted;
  }

  /**
   * Returns all ranges that a target holds from now on, and renews their holds
   * as of `now`.
   */
  renewHolds(
    ranges: KeyRanges,
    incarnation: TargetIncarnation,
    now: number,
  ): GrantedRange[] {
    const rows: GrantedRange[] = [];
    for (const range of ranges) {
      if (!isSameIncarnation(range.owner, incarnation)) continue;
      const lease = this.#leaseOf(range);
      if (lease.isMoving) continue;
      lease.heldUntil = this.#holdEnd(now);
      if (lease.activeAt === Infinity) lease.activeAt = now + replyMilliseconds;
      const { from, to, fence, handover } = range;
      rows.push({ from, to, fence, handover });
    }
    return rows;
  }

  /** Records that a target has ended, so that its holds have expired. */
  recordEnd(ranges: KeyRanges, incarnation: TargetIncarnation): void {
    for (const range of ranges) {
      if (isSameIncarnation(range.owner, incarnation)) {
        this.#leaseOf(range).heldUntil = -Infinity;
      }
    }
  }

  /**
   * Marks the ranges that their owners have to release, and returns the grants
   * that can be committed now.
   */
  plan(
    ranges: KeyRanges,
    input: RangePlanInput,
  ): { readonly grants: readonly RangeGrant[] } {
    const { candidates, now } = input;
    if (candidates.length === 0) return { grants: [] };
    const loads = new OwnerLoads(ranges, {
      ...input,
      isBeingReleased: (range) => {
        const lease = this.#leaseOf(range);
        return lease.isMoving || lease.isMovePending;
      },
    });
    const grants: RangeGrant[] = [];
    const moves = new MoveLimits(ranges, candidates.length);
    for (const range of ranges) {
      const lease = this.#leaseOf(range);
      const isOwnerPresent = range.owner !== null &&
        loads.isCandidate(range.owner);
      if (!isOwnerPresent && range.owner !== null) lease.isMoving = true;
      // The owner came back before it released the range.
      if (
        isOwnerPresent && !lease.isBalancing && lease.handover === undefined
      ) {
        lease.isMoving = false;
      }
      if (lease.isMoving || lease.isMovePending) moves.record(range);
      if (!this.#isGrantable(range, lease, now)) continue;
      const owner = loads.assignToLightest(range);
      grants.push({
        from: range.from,
        expectedFence: range.fence,
        owner,
        handover: lease.handover ?? "",
      });
    }
    while (grants.length === 0 && this.#startBalancing(ranges, loads, moves));
    return { grants };
  }

  /** Schedules one move for balance. Returns whether any was worthwhile. */
  #startBalancing(
    ranges: KeyRanges,
    loads: OwnerLoads,
    moves: MoveLimits,
  ): boolean {
    const range = loads.takeBestMove(
      ranges.filter((each) => {
        const lease = this.#leaseOf(each);
        return !lease.isMoving && !lease.isMovePending && moves.allows(each);
      }),
    );
    if (!range) return false;
    const lease = this.#leaseOf(range);
    lease.isMovePending = true;
    lease.isBalancing = true;
    moves.record(range);
    return true;
  }

  #isGrantable(range: KeyRange, lease: RangeLease, now: number): boolean {
    if (range.owner === null) return true;
    if (!lease.isMoving) return false;
    return lease.handover !== undefined || now > lease.heldUntil;
  }

  #leaseOf(range: KeyRange): RangeLease {
    const existing = this.#leases.get(range.from) ?? this.#inheritLease(range);
    if (existing?.fence === range.fence) return existing;
    const lease: RangeLease = {
      fence: range.fence,
      // An earlier leader may have renewed the owner's hold until `startedAt`.
      heldUntil: existing ? -Infinity : this.#holdEnd(this.#options.startedAt),
      activeAt: existing ? Infinity : -Infinity,
      isMoving: false,
      isBalancing: false,
      isMovePending: false,
      handover: undefined,
    };
    this.#leases.set(range.from, lease);
    return lease;
  }

  // A range that was split off another one inherits its hold.
  #inheritLease(range: KeyRange): RangeLease | undefined {
    let parent = -1;
    for (const from of this.#leases.keys()) {
      if (from < range.from && from > parent) parent = from;
    }
    const lease = this.#leases.get(parent);
    if (lease?.fence !== range.fence) return undefined;
    const own = { ...lease };
    this.#leases.set(range.from, own);
    return own;
  }

  #holdEnd(now: number): number {
    return now + this.#options.holdMilliseconds * clockDriftFactor +
      timerDelayMilliseconds;
  }
}

interface OwnerLoad extends RangeCandidate {
  /** Total demand for its ranges. */
  demand: number;
}

/** Tracks the demand per candidate while a plan is made. */
class OwnerLoads {
  readonly #owners = new Map<string, OwnerLoad>();
  readonly #receivers: readonly OwnerLoad[];
  readonly #demand: (range: KeyRange) => number;
  /** Load of each owner if the demand were spread evenly. */
  readonly #mean: number;

  constructor(
    ranges: KeyRanges,
    input: RangePlanInput & {
      /** Whether a range is about to be released by its owner. */
      readonly isBeingReleased: (range: KeyRange) => boolean;
    },
  ) {
    this.#demand = (range) => input.demand(range) + baseDemand;
    let weight = 0;
    for (const candidate of input.candidates) {
      this.#owners.set(candidate.incarnation.target, {
        ...candidate,
        demand: 0,
      });
      weight += candidate.weight;
    }
    const owners = [...this.#owners.values()];
    const accepting = owners.filter(({ mayReceiveRanges }) => mayReceiveRanges);
    this.#receivers = accepting.length > 0 ? accepting : owners;
    let total = 0;
    const releasing: KeyRange[] = [];
    for (const range of ranges) {
      const demand = this.#demand(range);
      total += demand;
      const owner = this.#ownerOf(range);
      if (owner && input.isBeingReleased(range)) releasing.push(range);
      else if (owner) owner.demand += demand;
    }
    this.#mean = total / weight;
    // Ranges being released are likely to go to the lightest owners, so their
    // demand is counted there already.
    for (const range of releasing) {
      lightestOf(this.#receivers).demand += this.#demand(range);
    }
  }

  isCandidate(incarnation: TargetIncarnation): boolean {
    return isSameIncarnation(
      this.#owners.get(incarnation.target)?.incarnation ?? null,
      incarnation,
    );
  }

  /**
   * Assigns a range to the receiver with the lowest cost: its load with the
   * range, plus the cost of waiting for its next heartbeat.
   */
  assignToLightest(range: KeyRange): TargetIncarnation {
    const demand = this.#demand(range);
    const waitCost = range.owner === null ? 0 : heartbeatWaitCost * this.#mean;
    const costFor = (owner: OwnerLoad) =>
      loadOf(owner) + demand / owner.weight +
      waitCost * owner.nextHeartbeatFraction;
    const owner = this.#receivers.reduce((best, each) =>
      costFor(each) < costFor(best) ? each : best
    );
    owner.demand += demand;
    return owner.incarnation;
  }

  /**
   * Returns the range whose move from the heaviest to the lightest owner best
   * reduces the higher of their loads, and counts it as moved; undefined if no
   * move is worthwhile.
   */
  takeBestMove(ranges: KeyRanges): KeyRange | undefined {
    const owners = [...this.#owners.values()];
    const heaviest = owners.reduce((heaviest, each) =>
      loadOf(each) > loadOf(heaviest) ? each : heaviest
    );
    if (loadOf(heaviest) < this.#mean * imbalanceThreshold) return undefined;
    const lightest = lightestOf(this.#receivers);
    let best: KeyRange | undefined;
    let bestPeak = loadOf(heaviest) - this.#mean * minimumGain;
    for (const range of ranges) {
      if (this.#ownerOf(range) !== heaviest) continue;
      const demand = this.#demand(range);
      const peak = Math.max(
        (heaviest.demand - demand) / heaviest.weight,
        (lightest.demand + demand) / lightest.weight,
      );
      if (peak >= bestPeak) continue;
      best = range;
      bestPeak = peak;
    }
    if (best) {
      heaviest.demand -= this.#demand(best);
      lightest.demand += this.#demand(best);
    }
    return best;
  }

  #ownerOf({ owner }: KeyRange): OwnerLoad | undefined {
    return owner && this.isCandidate(owner)
      ? this.#owners.get(owner.target)
      : undefined;
  }
}

function lightestOf(owners: readonly OwnerLoad[]): OwnerLoad {
  return owners.reduce((lightest, each) =>
    loadOf(each) < loadOf(lightest) ? each : lightest
  );
}

function loadOf({ demand, weight }: OwnerLoad): number {
  return demand / weight;
}

function overlaps(
  left: { readonly from: number; readonly to: number },
  right: { readonly from: number; readonly to: number },
): boolean {
  return left.from <= right.to && right.from <= left.to;
}

/** Whether both are the same incarnation of the same target. */
export function isSameIncarnation(
  left: TargetIncarnation | null,
  right: TargetIncarnation,
): boolean {
  return left?.target === right.target && left.bornAt === right.bornAt;
}

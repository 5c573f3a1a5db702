/**
 * A request that waits for capacity at a service. All times are in milliseconds
 * on the clock whose time is passed to {@link AdmissionQueue.advance}.
 */
export interface WaitingRequest {
  /** Priority; 0 is the most urgent. */
  readonly priority: number;
  /** Requests in the same lane wait for the same targets. */
  readonly lane: string;
  /**
   * When the caller first sent the request, attempts at other gateways included,
   * as far as is known.
   */
  readonly arrivedAt: number;
  /**
   * Whether that includes attempts at other gateways, so that the request keeps
   * its age if it is refused and comes back. @default false
   */
  readonly isAgeKnown?: boolean;
  /** Time after which a response has reduced value. */
  readonly objectiveAt: number;
  /** Time after which a response is no longer useful. */
  readonly deadlineAt: number;
  /** Tries to start the request; returns false for lack of capacity. */
  readonly tryStart: () => boolean;
  /**
   * Ends the request without starting it.
   *
   * @param waitMilliseconds Time after which there may be room.
   */
  readonly refuse: (reason: string, waitMilliseconds: number) => void;
}

/** Why the queue refuses a request. */
export const AdmissionRefusal = {
  deadline: "no room in time",
  objective: "no room within the objective",
} as const;
export type AdmissionRefusal =
  typeof AdmissionRefusal[keyof typeof AdmissionRefusal];

/**
 * A lane is overloaded once requests have waited in it without a break for this
 * many mean durations. Shorter queues are cleared by requests that end, and their
 * late requests are still served.
 */
const overloadDurations = 2;

/** One start in this many takes the least urgent request, against starvation. */
const leastUrgentInterval = 6;

/**
 * Orders waiting requests by priority, most urgent first. Among equal
 * priorities, requests that can still be answered within their objective
 * precede those that are late, and the first to arrive goes first.
 *
 * In an overloaded lane there are more requests than can be served. In order of
 * arrival, each would start when it is about to be late. So the last to arrive
 * goes first there, and a request that is late is refused at once if it keeps its
 * age, so that its caller need not wait for its deadline.
 */
export class AdmissionQueue {
  readonly #waiting: WaitingRequest[] = [];
  /** Time since which each lane has had waiting requests. */
  readonly #busySince = new Map<string, number>();
  #startCount = 0;

  get length(): number {
    return this.#waiting.length;
  }

  /**
   * Returns how many waiting requests of the lane are at least as urgent as a
   * new one of the priority.
   */
  countAhead(priority: number, lane: string): number {
    return this.#waiting.filter((each) =>
      each.priority <= priority && each.lane === lane
    ).length;
  }

  add(request: WaitingRequest): void {
    this.#waiting.push(request);
  }

  remove(request: WaitingRequest): void {
    const index = this.#waiting.indexOf(request);
    if (index >= 0) this.#waiting.splice(index, 1);
  }

  /**
   * Starts requests as capacity allows, and refuses those that are not expected
   * to finish by their deadlines.
   *
   * @param meanMilliseconds Mean duration of the service's responses.
   */
  advance(now: number, meanMilliseconds: number): void {
    this.#refuseInfeasible(now, meanMilliseconds);
    this.#startAll(now, meanMilliseconds);
    this.#trackLanes(now);
  }

  #startAll(now: number, meanMilliseconds: number): void {
    const blocked = new Set<string>();
    while (this.#waiting.length > 0) {
      const next = this.#selectNext(now, meanMilliseconds, blocked);
      if (!next) return;
      if (!next.tryStart()) {
        blocked.add(blockKeyOf(next));
        continue;
      }
      this.#startCount += 1;
      this.remove(next);
    }
  }

  #trackLanes(now: number): void {
    const lanes = new Set(this.#waiting.map(({ lane }) => lane));
    for (const lane of this.#busySince.keys()) {
      if (!lanes.has(lane)) this.#busySince.delete(lane);
    }
    for (const lane of lanes) {
      if (!this.#busySince.has(lane)) this.#busySince.set(lane, now);
    }
  }

  #isOverloaded(lane: string, now: number, meanMilliseconds: number): boolean {
    const since = this.#busySince.get(lane) ?? now;
    return now - since > overloadDurations * meanMilliseconds;
  }

  #refuseInfeasible(now: number, meanMilliseconds: number): void {
    for (const request of [...this.#waiting]) {
      const reason = this.#refusalOf(request, now, meanMilliseconds);
      if (!reason) continue;
      this.remove(request);
      request.refuse(reason, meanMilliseconds);
    }
  }

  #refusalOf(
    { lane, objectiveAt, deadlineAt, isAgeKnown = false }: WaitingRequest,
    now: number,
    meanMilliseconds: number,
  ): AdmissionRefusal | undefined {
    if (now + meanMilliseconds * minimumRemainingShare > deadlineAt) {
      return AdmissionRefusal.deadline;
    }
    const isLate = now + meanMilliseconds > objectiveAt;
    // One that would come back as a new request takes the place of a timely one.
    return isLate && isAgeKnown &&
        this.#isOverloaded(lane, now, meanMilliseconds)
      ? AdmissionRefusal.objective
      : undefined;
  }

  #selectNext(
    now: number,
    meanMilliseconds: number,
    blocked: ReadonlySet<string>,
  ): WaitingRequest | undefined {
    const isLeastUrgentTurn =
      (this.#startCount + 1) % leastUrgentInterval === 0;
    const precedes = (left: WaitingRequest, right: WaitingRequest): boolean => {
      if (left.priority !== right.priority) {
        return isLeastUrgentTurn
          ? left.priority > right.priority
          : left.priority < right.priority;
      }
      const leftIsLate = now + meanMilliseconds > left.objectiveAt;
      const rightIsLate = now + meanMilliseconds > right.objectiveAt;
      if (leftIsLate !== rightIsLate) return rightIsLate;
      const isNewestFirst = !leftIsLate &&
        this.#isOverloaded(left.lane, now, meanMilliseconds);
      return isNewestFirst
        ? left.arrivedAt > right.arrivedAt
        : left.arrivedAt < right.arrivedAt;
    };
    let best: WaitingRequest | undefined;
    for (const each of this.#waiting) {
      if (blocked.has(blockKeyOf(each))) continue;
      if (!best || precedes(each, best)) best = each;
    }
    return best;
  }
}

function blockKeyOf({ priority, lane }: WaitingRequest): string {
  return `${priority}/${lane}`;
}

/**
 * Minimum time left before the deadline, as a share of the mean duration. With
 * less, most responses would arrive too late, and their slots are better used
 * by other requests.
 */
export const minimumRemainingShare = 1;

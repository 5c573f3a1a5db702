import {
  ChangedDurations,
  chooseTarget,
  Distance,
  hasCapacityFor,
  OwnerBackoff,
  PaceDecision,
  PartSelector,
  TargetRecord,
} from "@kingcupglade/dispatch";
import type { TargetOption } from "@kingcupglade/dispatch";
import type {
  PositionDemand,
  RangeView,
  TargetDuration,
  TargetView,
} from "@kingcupglade/fleet";
import type { Route } from "@kingcupglade/items";
import { DemandCounter } from "./demand_counter.ts";
import { findIdleTarget } from "./idle_target.ts";
import { ServiceQueue } from "../slots/service_queue.ts";
import type { Lane } from "../slots/service_queue.ts";
import { TargetPaces } from "./target_paces.ts";
import type {
  TargetCriteria,
  TargetSelection,
  TargetSelectorOptions,
} from "./target_selection.ts";
import type { TargetAvailability } from "./target_notices.ts";
import { TargetRates } from "./target_rates.ts";

/** Selects targets by the routing table and this gateway's observations. */
export class TargetSelector {
  readonly parts: PartSelector;
  readonly #options: TargetSelectorOptions;
  readonly #queues = new Map<string, ServiceQueue>();
  readonly #records = new Map<string, TargetRecord>();
  readonly #rates: TargetRates;
  readonly #notices: TargetAvailability;
  readonly #ownerBackoff = new OwnerBackoff();
  readonly #changedDurations = new ChangedDurations();
  readonly #paces: TargetPaces | undefined;
  /** Targets to choose from, by service; cleared when the table changes. */
  readonly #candidates = new Map<string, readonly TargetView[]>();
  readonly #demand = new DemandCounter();

  constructor(options: TargetSelectorOptions) {
    this.#options = options;
    this.parts = new PartSelector(options);
    this.#rates = new TargetRates(options);
    this.#notices = options.notices ?? noNotices;
    this.#paces = options.pacing && new TargetPaces({
      ...options,
      ...options.pacing,
      records: this.#records,
      table: () => options.synchronizer.table,
    });
  }

  /** Returns the queue of a service. */
  service(name: string): ServiceQueue {
    const existing = this.#queues.get(name);
    if (existing) return existing;
    const { clock, retryBudget } = this.#options;
    const queue = new ServiceQueue({
      now: () => clock.now(),
      budget: retryBudget,
    });
    this.#queues.set(name, queue);
    return queue;
  }

  /** Counts a request for a position. */
  recordDemand(service: string, position: number): void {
    this.#demand.record(service, position);
  }

  /** Returns the demand counted since the last call, and resets it. */
  takeDemand(): readonly PositionDemand[] {
    return this.#demand.take();
  }

  /**
   * Returns a request's lane, and the requests in flight at its targets and
   * their limit.
   */
  laneOf(request: {
    readonly route: Route;
    readonly service: string;
    readonly position: number | undefined;
  }): Lane {
    const { route, service, position } = request;
    const { table } = this.#options.synchronizer;
    if (position === undefined) {
      const targets = this.#candidatesOf(service);
      return {
        lane: route.name,
        inFlight: this.service(service).inFlight,
        maximumPerSecond: targets.length === 0 ? Infinity : targets.reduce(
          (sum, each) => sum + this.#rates.maximumPerSecond(each),
          0,
        ),
      };
    }
    const owner = table.range(service, position)?.owner ?? "";
    const target = table.target(owner);
    return {
      lane: owner,
      inFlight: this.#records.get(owner)?.inFlight ?? 0,
      maximumPerSecond: target
        ? this.#rates.maximumPerSecond(target)
        : Infinity,
    };
  }

  /** Returns the slots of a target that its limit allows to be in use. */
  usableSlots({ name, service, slots }: TargetView): number {
    const limit = this.#options.limits.of(name);
    if (!limit) return slots;
    const { meanMilliseconds } = this.service(service);
    return Math.min(slots, limit.perSecond * meanMilliseconds / 1000);
  }

  /**
   * Returns the durations at targets of keyed services that have not been
   * reported to the leader; all of them for a new leader.
   */
  takeDurations(isNewLeader: boolean): readonly TargetDuration[] {
    const { synchronizer, clock } = this.#options;
    const now = clock.now();
    if (isNewLeader) this.#changedDurations.clear();
    const rows = [...this.#records].flatMap(([target, record]) => {
      const service = synchronizer.table.target(target)?.service ?? "";
      if (!synchronizer.table.service(service)?.isKeyed) return [];
      const work = this.service(service).workMilliseconds;
      const milliseconds = Math.round(record.meanDuration(work, now));
      return record.hasAnsweredRecently(now) ? [{ target, milliseconds }] : [];
    });
    return this.#changedDurations.take(rows, now);
  }

  /** Records whether a target holds the range of a request that it answered. */
  recordHolding(
    request: {
      readonly service: string;
      readonly position: number;
      readonly target: string;
    },
    isHeld: boolean,
  ): void {
    const { synchronizer, clock } = this.#options;
    const range = synchronizer.table.range(request.service, request.position);
    // The table may name another owner in the meantime.
    if (range?.owner !== request.target) return;
    if (isHeld) this.#ownerBackoff.clear(keyOf(range));
    else this.#ownerBackoff.record(keyOf(range), range.fence, clock.now());
  }

  /** Counts a request for a service, of which paced targets get a share. */
  recordReceived(
    { route, service, position }: Pick<
      TargetCriteria,
      "route" | "service" | "position"
    >,
  ): void {
    if (!this.#paces?.isPacing || position !== undefined) return;
    this.#paces.recordReceived(
      this.#candidatesOf(service).filter((target) =>
        this.isHomeRegion(route, target) && this.#notices.mayUse(target)
      ),
      ({ dataCentre }) => this.distanceTo(dataCentre) !== Distance.far,
    );
  }

  /** Ends what has expired; called regularly. */
  expire(): void {
    this.#paces?.expire();
  }

  /** Drops targets that were removed and starts requests that can start now. */
  handleTableChange(): void {
    const { table } = this.#options.synchronizer;
    this.#candidates.clear();
    this.#paces?.handleTableChange();
    for (const name of this.#records.keys()) {
      if (table.target(name)) continue;
      this.#records.delete(name);
      this.#changedDurations.forget(name);
      this.#rates.forget(name);
    }
    for (const service of this.#queues.values()) service.advance();
  }

  /** Selects a target that can accept a request now. */
  select(criteria: TargetCriteria): TargetSelection {
    const { table } = this.#options.synchronizer;
    const service = table.service(criteria.service);
    if (!service) return { kind: "none", reason: "the service is unknown" };
    return service.isKeyed
      ? this.#selectOwner(criteria)
      : this.#selectAny(criteria);
  }

  /** Selects a target in the region with little load, for a hedge. */
  selectIdle(
    criteria: Pick<TargetCriteria, "route" | "service" | "tried">,
  ): Extract<TargetSelection, { kind: "found" }> | undefined {
    const { synchronizer, clock } = this.#options;
    const now = clock.now();
    const { meanMilliseconds, workMilliseconds } = this.service(
      criteria.service,
    );
    const usable = this.#candidatesOf(criteria.service).filter((target) =>
      !target.isCold && this.isHomeRegion(criteria.route, target) &&
      !this.#records.get(target.name)?.pace &&
      this.#notices.mayUse(target) && this.#rates.allows(target, now)
    );
    const best = findIdleTarget(usable.map((each) => this.#optionFor(each)), {
      now,
      meanMilliseconds,
      workMilliseconds,
      tried: criteria.tried,
    });
    const target = best && synchronizer.table.target(best.name);
    if (!target || !best) return undefined;
    this.#rates.record(target, now);
    return { kind: "found", target, record: best.record };
  }

  #selectOwner({ route, service, position }: TargetCriteria): TargetSelection {
    const { table } = this.#options.synchronizer;
    if (position === undefined) {
      return { kind: "none", reason: "the request has no position" };
    }
    const range = table.range(service, position);
    if (!range || range.isMoving) return { kind: "wait" };
    const target = table.target(range.owner);
    if (!target || !table.mayServe(target)) return { kind: "wait" };
    if (!this.isHomeRegion(route, target)) {
      return { kind: "none", reason: "the owner is outside the home regions" };
    }
    const waitMilliseconds = this.#notices.pauseMilliseconds(target);
    if (waitMilliseconds > 0) {
      return { kind: "none", reason: "the owner pauses", waitMilliseconds };
    }
    // The range moves when the leader learns that its owner leaves.
    if (!this.#notices.mayUse(target)) return { kind: "wait" };
    const now = this.#options.clock.now();
    const rangeId = keyOf(range);
    if (this.#ownerBackoff.isPaused(rangeId, range.fence, now)) {
      return { kind: "wait" };
    }
    const record = this.record(target.name);
    const hasCapacity = hasCapacityFor(record, {
      now,
      slots: target.slots + ownerExtraSlots,
      gateways: this.#options.gatewayCount(),
      meanMilliseconds: this.service(service).meanMilliseconds,
    });
    const pause = record.recommendedPause(
      this.service(service).workMilliseconds,
      now,
    );
    if (!hasCapacity || pause > 0) return { kind: "wait" };
    // Only the owner may run the request, so it has no share of others.
    if (this.#paceOf(target, 1) === PaceDecision.closed) {
      return { kind: "wait" };
    }
    const { limits } = this.#options;
    const isLimited = limits.of(target.name) !== undefined;
    if (isLimited && !this.#rates.allows(target, now)) return { kind: "wait" };
    const path = table.service(service)?.loadPath ?? "";
    // A target that names a limit has no capacity for probes.
    const freshness = path === "" || isLimited
      ? "fresh"
      : record.freshness(now);
    if (freshness === "probing") return { kind: "wait" };
    if (freshness === "stale") return { kind: "probe", target, record, path };
    this.#ownerBackoff.recordSent(rangeId, range.fence, now);
    this.#rates.record(target, now);
    return { kind: "found", target, record };
  }

  #selectAny(criteria: TargetCriteria): TargetSelection {
    const { synchronizer, clock, random, gatewayCount } = this.#options;
    const now = clock.now();
    const targets = this.#candidatesOf(criteria.service).filter((target) =>
      this.isHomeRegion(criteria.route, target) &&
      criteria.only?.has(target.name) !== false
    );
    if (targets.length === 0) {
      return criteria.only
        ? { kind: "none", reason: "the targets that it went to are gone" }
        : { kind: "wait" };
    }
    const usable = targets.filter((target) => this.#notices.mayUse(target));
    if (usable.length === 0) return this.#awaitPauses(targets, criteria);
    const options = usable.filter((target) => this.#rates.allows(target, now))
      .map((target) => ({
        ...this.#optionFor(target),
        pace: this.#paceOf(target, gatewayCount()),
      }));
    if (options.length === 0) return { kind: "wait" };
    const choice = chooseTarget(options, {
      now,
      random,
      meanMilliseconds: this.service(criteria.service).meanMilliseconds,
      workMilliseconds: this.service(criteria.service).workMilliseconds,
      objectiveMilliseconds: criteria.objectiveAt - now,
      gateways: gatewayCount(),
      tried: criteria.tried,
    });
    if (choice.kind === "none") {
      return { kind: "none", reason: "every target was tried" };
    }
    if (choice.kind === "wait") return { kind: "wait" };
    const target = synchronizer.table.target(choice.target.name)!;
    this.#rates.record(target, now);
    return { kind: "found", target, record: choice.target.record };
  }

  // Waits for the first pause to end if that is before the objective.
  #awaitPauses(
    targets: readonly TargetView[],
    { objectiveAt }: TargetCriteria,
  ): TargetSelection {
    const pauses = targets.map((each) => this.#notices.pauseMilliseconds(each))
      .filter((milliseconds) => milliseconds > 0);
    if (pauses.length === 0) return { kind: "wait" };
    const waitMilliseconds = Math.min(...pauses);
    if (this.#options.clock.now() + waitMilliseconds < objectiveAt) {
      return { kind: "wait" };
    }
    return { kind: "none", reason: "all targets pause", waitMilliseconds };
  }

  #candidatesOf(service: string): readonly TargetView[] {
    const existing = this.#candidates.get(service);
    if (existing) return existing;
    const { synchronizer, isCandidate = () => true } = this.#options;
    const targets = synchronizer.table.targetsOf(service).filter(isCandidate);
    this.#candidates.set(service, targets);
    return targets;
  }

  #optionFor(target: TargetView): TargetOption {
    return {
      name: target.name,
      slots: target.slots,
      distance: this.distanceTo(target.dataCentre),
      record: this.record(target.name),
    };
  }

  #paceOf(target: TargetView, choosers: number): PaceDecision {
    if (!this.#paces) return PaceDecision.open;
    const { meanMilliseconds } = this.service(target.service);
    const record = this.record(target.name);
    return this.#paces.decide(target, record, { choosers, meanMilliseconds });
  }

  /** Returns this gateway's observations of a target. */
  record(target: string): TargetRecord {
    const existing = this.#records.get(target);
    if (existing) return existing;
    const record = new TargetRecord();
    this.#records.set(target, record);
    return record;
  }

  /** Whether a data centre is in a home region of a route, if it has any. */
  isHomeRegion(
    { homeRegions }: Pick<Route, "homeRegions">,
    { dataCentre }: Pick<TargetView, "dataCentre">,
  ): boolean {
    return homeRegions.length === 0 ||
      homeRegions.includes(this.#options.regions[dataCentre] ?? "");
  }

  /** Returns the distance class of a data centre from this gateway. */
  distanceTo(dataCentre: string): Distance {
    const { regions, region } = this.#options;
    if (dataCentre === this.#options.dataCentre) return Distance.dataCentre;
    return regions[dataCentre] === region ? Distance.region : Distance.far;
  }
}

function keyOf({ service, from }: RangeView): string {
  return `${service}/${from}`;
}

const noNotices: TargetAvailability = {
  mayUse: () => true,
  pauseMilliseconds: () => 0,
};

/** Requests that an owner may have beyond its slots; no other can run them. */
const ownerExtraSlots = 4;

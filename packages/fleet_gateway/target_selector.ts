import {
  ChangedDurations,
  chooseTarget,
  Distance,
  hasCapacityFor,
  OwnerBackoff,
  PartSelector,
  TargetRecord,
} from "@kingcupglade/dispatch";
import type { RetryBudgetOptions, TargetOption } from "@kingcupglade/dispatch";
import type {
  PositionDemand,
  RangeView,
  TargetDuration,
  TargetView,
} from "@kingcupglade/fleet";
import type { Route } from "@kingcupglade/items";
import type { Clock } from "@kingcupglade/tasks";
import { ServiceQueue } from "./service_queue.ts";
import type { Lane } from "./service_queue.ts";
import type { TableSynchronizer } from "./table_synchronizer.ts";
import type { TargetAvailability } from "./target_notices.ts";
import { TargetRates } from "./target_rates.ts";
import type { TargetRatesOptions } from "./target_rates.ts";

/** Options of a {@link TargetSelector}. */
export interface TargetSelectorOptions
  extends Pick<TargetRatesOptions, "name" | "limits" | "limitSharers"> {
  readonly synchronizer: TableSynchronizer;
  readonly clock: Clock;
  /** Returns a number between 0 and 1. */
  readonly random: () => number;
  readonly dataCentre: string;
  readonly region: string;
  /** Region of each data centre. */
  readonly regions: Readonly<Record<string, string>>;
  readonly retryBudget: RetryBudgetOptions;
  /** What targets said of themselves. @default nothing */
  readonly notices?: TargetAvailability;
  /** Whether the selector may choose a target. @default every target */
  readonly isCandidate?: (target: TargetView) => boolean;
  /** Returns the number of gateways that choose among the same targets. */
  readonly gatewayCount: () => number;
}

/** Criteria of a request for its target. */
export interface TargetCriteria {
  readonly route: Route;
  readonly service: string;
  readonly position: number | undefined;
  readonly tried: ReadonlySet<string>;
  /** The only targets allowed, once the route's `maximumTargets` is reached. */
  readonly only?: ReadonlySet<string> | null;
  /** Time of the route's latency objective; a later response is worth less. */
  readonly objectiveAt: number;
}

/** Result of a selection. */
export type TargetSelection =
  | {
    readonly kind: "found";
    readonly target: TargetView;
    readonly record: TargetRecord;
  }
  /** Capacity or an owner may become available. */
  | { readonly kind: "wait" }
  /** The target's load has to be probed first. */
  | {
    readonly kind: "probe";
    readonly target: TargetView;
    readonly record: TargetRecord;
    readonly path: string;
  }
  | {
    readonly kind: "none";
    readonly reason: string;
    /** Time after which a target may be available; undefined if unknown. */
    readonly waitMilliseconds?: number;
  };

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
  /** Targets to choose from, by service; cleared when the table changes. */
  readonly #candidates = new Map<string, readonly TargetView[]>();
  /** Keyed requests not yet reported to the leader, by service and position. */
  readonly #demand = new Map<string, Map<number, number>>();

  constructor(options: TargetSelectorOptions) {
    this.#options = options;
    this.parts = new PartSelector(options);
    this.#rates = new TargetRates(options);
    this.#notices = options.notices ?? noNotices;
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
    const counts = this.#demand.get(service) ?? new Map<number, number>();
    this.#demand.set(service, counts);
    counts.set(position, (counts.get(position) ?? 0) + 1);
  }

  /** Returns the demand counted since the last call, and resets it. */
  takeDemand(): readonly PositionDemand[] {
    const rows = [...this.#demand].flatMap(([service, counts]) =>
      [...counts].map(([position, count]) => ({ service, position, count }))
    );
    this.#demand.clear();
    return rows;
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

  /** Drops targets that were removed and starts requests that can start now. */
  handleTableChange(): void {
    const { table } = this.#options.synchronizer;
    this.#candidates.clear();
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
    let best: TargetOption | undefined;
    let bestDuration = workMilliseconds * maximumHedgeDurationRatio;
    for (const target of this.#candidatesOf(criteria.service)) {
      if (target.isCold || !this.isHomeRegion(criteria.route, target)) continue;
      if (!this.#notices.mayUse(target)) continue;
      if (!this.#rates.allows(target, now)) continue;
      const option = this.#optionFor(target);
      const { record, distance } = option;
      const isIdle = record.load(meanMilliseconds, now) <
        option.slots * maximumIdleLoadShare;
      if (
        !isIdle || distance === Distance.far ||
        criteria.tried.has(target.name) ||
        record.isEjected(now)
      ) continue;
      const duration = record.expectedDuration(workMilliseconds, now);
      if (duration >= bestDuration) continue;
      best = option;
      bestDuration = duration;
    }
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
      .map((target) => this.#optionFor(target));
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

/** A hedge requires a target with less than this share of its slots in use. */
const maximumIdleLoadShare = 0.5;
/** Maximum expected duration of a hedge, relative to an average target. */
const maximumHedgeDurationRatio = 1.2;
/** Requests that an owner may have beyond its slots; no other can run them. */
const ownerExtraSlots = 4;

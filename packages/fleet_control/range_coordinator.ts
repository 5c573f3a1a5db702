import { KeyDemand, RangeAssigner, TargetSpeeds } from "@kingcupglade/fleet";
import type {
  Announcement,
  FleetCommand,
  GrantedRange,
  KeyRange,
  RangeCandidate,
  RangeView,
  RevisionCounter,
  TargetRegistry,
  ViewPosition,
} from "@kingcupglade/fleet";
import { ItemKind } from "@kingcupglade/items";
import type { Clock } from "@kingcupglade/tasks";
import type { Logger } from "@kingcupglade/telemetry";
import type { FleetReplica } from "./leader_session.ts";
import type { Watch } from "./watch.ts";

/**
 * Number of missed heartbeats after which a target neither receives nor keeps
 * ranges.
 */
const missedHeartbeatLimit = 3;
/**
 * Number of ranges created per target of a keyed service; more of them spread
 * hot ranges better.
 */
const rangesPerTarget = 8;
/**
 * Maximum number of ranges per service, including the parts of split ones;
 * their rows all fit into one response.
 */
const maximumRanges = 2048;
/**
 * Duration of the hold that a grant gives: short, so that a lost owner's ranges
 * are served again within 4 s; long enough for a change of leader between two
 * heartbeats.
 */
export const holdMilliseconds = 3000;

/** Options of a {@link RangeCoordinator}. */
export interface RangeCoordinatorOptions {
  readonly replica: FleetReplica;
  readonly registry: TargetRegistry;
  readonly revisions: RevisionCounter;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly heartbeatMilliseconds: number;
  /** Time at which this replica became leader. */
  readonly startedAt: number;
  /** Whether every live target has had time to send a heartbeat. */
  readonly isComplete: () => boolean;
  /** Called when there may be a change to send to gateways. */
  readonly onChange: () => void;
}

/**
 * Coordinates the ownership of the ranges of keyed services while this replica
 * leads.
 */
export class RangeCoordinator {
  readonly #options: RangeCoordinatorOptions;
  readonly #assigners = new Map<string, RangeAssigner>();
  readonly #demand = new Map<string, KeyDemand>();
  readonly #speeds = new TargetSpeeds();
  readonly #proposing = new Set<string>();
  /**
   * State of each range as published to gateways, and the revision of its last
   * change.
   */
  readonly #publishedRanges = new Map<
    string,
    {
      readonly isMoving: boolean;
      readonly to: number;
      readonly revision: number;
      /** Whether an owner has served it; otherwise requests for it wait. */
      readonly wasServed: boolean;
    }
  >();

  constructor(options: RangeCoordinatorOptions) {
    this.#options = options;
  }

  /** Makes the decisions that are due for every keyed service. */
  tick(now: number): void {
    for (const service of this.#services()) this.#planRanges(service, now);
    this.publishRanges(now);
  }

  /** Records the demand and durations that a gateway measured. */
  recordWatch({ demand, durations }: Watch, now: number): void {
    for (const { service, position, count } of demand) {
      this.#demandOf(service).record(position, count, now);
    }
    for (const row of durations) this.#speeds.record(row);
  }

  /** Records which ranges a target holds and has released. */
  recordHolds(announcement: Announcement): void {
    const { replica, clock } = this.#options;
    const { service } = announcement;
    const ranges = replica.state.ranges.get(service);
    // Gateways are updated before the owner receives the response that starts
    // the move.
    if (
      ranges && this.#assignerOf(service).recordHeartbeat(ranges, announcement)
    ) {
      this.publishRanges(clock.now());
    }
  }

  /**
   * Returns all ranges that a target holds from now on; null if nothing may be
   * renewed.
   */
  renewHolds(
    { incarnation, service }: Announcement,
  ): readonly GrantedRange[] | null {
    const { clock, replica } = this.#options;
    const ranges = replica.state.ranges.get(service);
    // The range of a grant that is being committed counts as moving, so its
    // hold is not renewed.
    return ranges === undefined
      ? null
      : this.#assignerOf(service).renewHolds(ranges, incarnation, clock.now());
  }

  /** Returns the ranges that have changed since a gateway's position. */
  changesSince(
    position: ViewPosition,
    options: { readonly since: number; readonly now: number },
  ): readonly RangeView[] {
    const { state } = this.#options.replica;
    return [...state.ranges].flatMap(([service, ranges]) =>
      ranges.filter((range) =>
        this.#hasBeenServed(service, range) && (
          range.fence > position.index ||
          this.#rangeRevision(service, range) > options.since
        )
      ).map((range) => this.#rangeView(service, range, options.now))
    );
  }

  /** Whether a service is partitioned by key. */
  isKeyed(service: string): boolean {
    const stored = this.#options.replica.state.items.get(
      `${ItemKind.service}/${service}`,
    );
    return stored?.content?.kind === ItemKind.service && stored.content.isKeyed;
  }

  #services(): readonly string[] {
    return [...this.#options.replica.state.items.values()].flatMap((
      { content },
    ) =>
      content?.kind === ItemKind.service && content.isKeyed
        ? [content.name]
        : []
    );
  }

  #planRanges(service: string, now: number): void {
    const { replica } = this.#options;
    if (!this.#options.isComplete() || this.#proposing.has(service)) return;
    const candidates = this.#candidates(service, now);
    if (candidates.length === 0) return;
    const ranges = replica.state.ranges.get(service);
    if (!ranges) {
      const count = Math.min(
        maximumRanges / 2,
        candidates.length * rangesPerTarget,
      );
      return this.#propose(service, {
        kind: "createRanges",
        service,
        ranges: count,
      });
    }
    const demand = this.#demandOf(service);
    const plan = this.#assignerOf(service).plan(ranges, {
      candidates,
      now,
      demand: (range) => demand.forRange(range, now),
    });
    if (plan.grants.length > 0) {
      const { grants } = plan;
      return this.#propose(service, { kind: "grantRanges", service, grants });
    }
    if (ranges.length >= maximumRanges) return;
    const cuts = demand.cuts(ranges, { now, owners: candidates.length });
    if (cuts.length > 0) {
      this.#propose(service, { kind: "splitRanges", service, cuts });
    }
  }

  #propose(service: string, command: FleetCommand): void {
    const { replica, logger } = this.#options;
    this.#proposing.add(service);
    replica.propose(command).then((outcome) => {
      logger.info("ranges-changed", {
        service,
        command: command.kind,
        ranges: command.kind === "grantRanges" ? command.grants.length : 0,
        outcome: outcome.kind,
      });
    }, (failure: Error) => {
      logger.warn("ranges-not-changed", { service, reason: failure.message });
    }).finally(() => {
      this.#proposing.delete(service);
      this.#options.onChange();
    });
  }

  #candidates(service: string, now: number): readonly RangeCandidate[] {
    const { heartbeatMilliseconds, replica } = this.#options;
    const silenceLimit = heartbeatMilliseconds * missedHeartbeatLimit;
    const { evacuations } = replica.state;
    const targets = [...this.#options.registry.all()].filter((target) =>
      target.service === service && !target.isLeaving &&
      now - target.lastSeenAt < silenceLimit &&
      evacuations.get(target.dataCentre)?.isOut !== true
    );
    const names = targets.map(({ incarnation }) => incarnation.target);
    return targets.map((
      {
        incarnation,
        slots,
        isCold,
        isUnconfirmed,
        lastSeenAt,
      },
    ) => ({
      incarnation,
      // A late heartbeat may arrive at any moment, or not at all.
      nextHeartbeatFraction:
        Math.max(0, lastSeenAt + heartbeatMilliseconds - now) /
        heartbeatMilliseconds,
      weight: slots * this.#speeds.weight(incarnation.target, names),
      mayReceiveRanges: !isCold && !isUnconfirmed,
    }));
  }

  #demandOf(service: string): KeyDemand {
    const known = this.#demand.get(service);
    if (known) return known;
    const demand = new KeyDemand();
    this.#demand.set(service, demand);
    return demand;
  }

  #assignerOf(service: string): RangeAssigner {
    const known = this.#assigners.get(service);
    if (known) return known;
    const assigner = new RangeAssigner({
      holdMilliseconds,
      startedAt: this.#options.startedAt,
    });
    this.#assigners.set(service, assigner);
    return assigner;
  }

  /**
   * Updates the published state, with a new revision for each range that
   * gateways must learn again.
   */
  publishRanges(now: number): void {
    for (const [service, ranges] of this.#options.replica.state.ranges) {
      const assigner = this.#assignerOf(service);
      for (const range of ranges) {
        const id = `${service}/${range.from}`;
        const isMoving = assigner.isMoving(range, now);
        const known = this.#publishedRanges.get(id);
        if (known?.isMoving === isMoving && known.to === range.to) continue;
        const wasServed = known?.wasServed === true || !isMoving;
        const revision = wasServed ? this.#options.revisions.next() : 0;
        this.#publishedRanges.set(id, {
          isMoving,
          to: range.to,
          revision,
          wasServed,
        });
      }
    }
  }

  // A range that had no owner so far is not published, as gateways delay
  // requests for ranges they do not know.
  #hasBeenServed(service: string, range: KeyRange): boolean {
    return this.#publishedRanges.get(`${service}/${range.from}`)?.wasServed ===
      true;
  }

  #rangeRevision(service: string, range: KeyRange): number {
    return this.#publishedRanges.get(`${service}/${range.from}`)?.revision ?? 0;
  }

  #rangeView(service: string, range: KeyRange, now: number): RangeView {
    return {
      service,
      from: range.from,
      to: range.to,
      owner: range.owner?.target ?? "",
      fence: range.fence,
      isMoving: this.#assignerOf(service).isMoving(range, now),
    };
  }
}

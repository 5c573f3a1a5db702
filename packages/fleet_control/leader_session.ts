import {
  DepartureKind,
  isCovered,
  KeyDemand,
  RangeKeeper,
  Revisions,
  TargetRegistry,
  TargetSpeeds,
} from "@kingcupglade/fleet";
import type {
  Announcement,
  AnnouncementAnswer,
  FleetCommand,
  FleetOutcome,
  FleetState,
  KeyRange,
  RangeCandidate,
  RangeView,
  RegisteredTarget,
  TargetView,
  ViewDelta,
  ViewPosition,
} from "@kingcupglade/fleet";
import { ItemKind } from "@kingcupglade/items";
import type { Replica } from "@kingcupglade/replica";
import type { Clock } from "@kingcupglade/tasks";
import type { Logger } from "@kingcupglade/telemetry";
import { GatewayBook } from "./gateway_book.ts";
import type { Watch } from "./watch.ts";

/** A replica of the fleet's state. */
export type FleetReplica = Replica<FleetState, FleetCommand, FleetOutcome>;

/** Heartbeats after which every live target has been heard. */
const completeHeartbeats = 2.5;
/** A target that missed this many heartbeats gets no ranges and keeps none. */
const silentHeartbeats = 3;
/** Time to learn whether the quorum still follows; a target waits a second. */
const confirmMilliseconds = 700;
/** Gateways may act on what an earlier leader said of cold targets so long. */
const coldLeaseMilliseconds = 2500;
/** Ranges made for each target of a keyed service; more spread hot ones better. */
const rangesPerTarget = 8;
const mostRanges = 1024;
/**
 * Hold that a grant gives: short, so that a lost owner's ranges are served
 * again within 4 s; long enough for a change of leader between two heartbeats.
 */
const holdMilliseconds = 3000;

/** Options of a {@link LeaderSession}. */
export interface LeaderSessionOptions {
  readonly replica: FleetReplica;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly heartbeatMilliseconds: number;
  /** Where targets reach this VM, as IP:PORT. */
  readonly controlAddress: string;
  readonly regionOf: (dataCentre: string) => string;
  /** Control addresses of the control VMs in touch. */
  readonly controlAddresses: () => readonly string[];
}

/** What a replica knows and decides while it leads. */
export class LeaderSession {
  readonly term: number;
  readonly #options: LeaderSessionOptions;
  readonly #revisions = new Revisions();
  readonly #registry = new TargetRegistry(this.#revisions);
  readonly #gateways: GatewayBook;
  readonly #keepers = new Map<string, RangeKeeper>();
  readonly #demand = new Map<string, KeyDemand>();
  readonly #speeds = new TargetSpeeds();
  /** What gateways were told of each range, and when it last changed. */
  readonly #rangeFlags = new Map<
    string,
    {
      readonly isMoving: boolean;
      readonly to: number;
      readonly revision: number;
    }
  >();
  readonly #startedAt: number;
  readonly #proposing = new Set<string>();
  readonly #waiters = new Set<() => void>();
  #toldRevision = 0;
  #toldIndex = 0;
  #isWakeDue = false;
  #coldCount = 0;
  #control: readonly string[] = [];
  #controlRevision = 0;

  constructor(options: LeaderSessionOptions) {
    this.#options = options;
    this.#startedAt = options.clock.now();
    this.term = options.replica.consensus.term;
    this.#gateways = new GatewayBook(options);
  }

  /** Whether every live target has had time to announce itself. */
  get isComplete(): boolean {
    const { clock, heartbeatMilliseconds } = this.#options;
    return clock.now() - this.#startedAt >
      heartbeatMilliseconds * completeHeartbeats;
  }

  /** Targets that are known. */
  get targets(): Iterable<RegisteredTarget> {
    return this.#registry.all();
  }

  /** Gateways in touch. */
  get gateways(): readonly string[] {
    return this.#gateways.present(this.#options.clock.now());
  }

  /**
   * Takes in a heartbeat. Answers with null when it cannot be acknowledged.
   */
  async announce(
    announcement: Announcement,
  ): Promise<AnnouncementAnswer | null> {
    const { replica, controlAddress } = this.#options;
    const { life } = announcement;
    if (!this.#isMeant(announcement)) return {};
    const isNewest = this.#note(announcement);
    if (!isNewest) return {};
    if (announcement.isDraining) {
      await this.#depart(life.target, {
        bornAt: life.bornAt,
        kind: DepartureKind.draining,
      });
    }
    if (!this.#isKeyed(announcement.service)) {
      return { address: controlAddress };
    }
    if (!await replica.confirmLeadership(confirmMilliseconds)) return null;
    const grants = this.#grant(announcement);
    return grants === null
      ? { address: controlAddress }
      : { address: controlAddress, grants, holdMilliseconds };
  }

  /** Takes in that a target has ended or soon will. */
  async leave(target: string, bornAt: number | null): Promise<void> {
    await this.#depart(target, {
      // A life that starts later is not meant.
      bornAt: bornAt ?? this.#registry.get(target)?.life.bornAt ?? Date.now(),
      kind: DepartureKind.gone,
    });
  }

  /** Takes a data centre out of service or back. */
  async evacuate(dataCentre: string, isOut: boolean): Promise<FleetOutcome> {
    const outcome = await this.#options.replica.propose({
      kind: "evacuate",
      dataCentre,
      isOut,
    });
    // Its targets may have turned cold while they got nothing.
    if (!isOut) this.#registry.doubt(dataCentre);
    this.noteChange();
    return outcome;
  }

  /** Takes in that a gateway asks, and waits until there is news for it. */
  async watch(watch: Watch, holdMilliseconds: number): Promise<ViewDelta> {
    const now = this.#options.clock.now();
    this.#gateways.note(watch, now);
    for (const { service, bucket, count } of watch.demand) {
      this.#demandOf(service).note(bucket, count, now);
    }
    for (const row of watch.durations) this.#speeds.note(row);
    if (!this.#hasNews(watch.position)) await this.#news(holdMilliseconds);
    return this.#delta(watch.position);
  }

  /** Decides what is due; called often. */
  tick(): void {
    const { clock } = this.#options;
    const now = clock.now();
    this.#registry.forgetSilent(now);
    for (const service of this.#keyedServices()) this.#planRanges(service, now);
    this.#noteColdTargets(now);
    this.#noteControl();
    this.#noteRangeFlags(now);
    this.noteChange();
  }

  /** Tells waiting gateways, if there is something to tell. */
  noteChange(): void {
    const { appliedIndex } = this.#options.replica;
    const isNew = this.#revisions.current !== this.#toldRevision ||
      appliedIndex !== this.#toldIndex;
    if (!isNew || this.#isWakeDue) return;
    this.#isWakeDue = true;
    // What changes in the same moment leaves in one answer.
    setImmediate(() => {
      this.#isWakeDue = false;
      this.#toldRevision = this.#revisions.current;
      this.#toldIndex = this.#options.replica.appliedIndex;
      for (const wake of this.#waiters) wake();
    });
  }

  /** Wakes every waiting gateway. */
  end(): void {
    for (const wake of this.#waiters) wake();
  }

  // What names a service or a data centre that is not there names no target.
  #isMeant({ life, service, dataCentre }: Announcement): boolean {
    const { replica, regionOf, logger } = this.#options;
    const { items } = replica.state;
    const isKnown = regionOf(dataCentre) !== "" &&
      (items.size === 0 || items.has(`${ItemKind.service}/${service}`));
    if (!isKnown) {
      logger.warn("heartbeat-not-meant", {
        target: life.target,
        service,
        dataCentre,
      });
    }
    return isKnown;
  }

  #note(announcement: Announcement): boolean {
    const { clock, replica, logger } = this.#options;
    const { life, service } = announcement;
    const known = this.#registry.get(life.target);
    const isNewest = this.#registry.note(announcement, {
      now: clock.now(),
      departure: replica.state.departures.get(life.target),
    });
    if (!isNewest) {
      logger.info("heartbeat-outdated", {
        target: life.target,
        sequence: announcement.sequence,
        knownSequence: known?.sequence ?? null,
      });
      return false;
    }
    if (known?.life.bornAt !== life.bornAt) {
      logger.info("target-registered", {
        target: life.target,
        service,
        address: announcement.address,
        dataCentre: announcement.dataCentre,
      });
    }
    const ranges = replica.state.ranges.get(service);
    // Gateways hear of a move before its owner does.
    if (ranges && this.#keeper(service).note(ranges, announcement)) {
      this.#noteRangeFlags(clock.now());
    }
    this.noteChange();
    return true;
  }

  #grant(announcement: Announcement): AnnouncementAnswer["grants"] | null {
    const { clock, replica } = this.#options;
    const { life, service } = announcement;
    const ranges = replica.state.ranges.get(service);
    // A grant that is being committed for another owner must not be renewed.
    if (!ranges || this.#proposing.has(service)) return null;
    const rows = this.#keeper(service).grant(ranges, life, clock.now());
    this.noteChange();
    return rows;
  }

  async #depart(
    target: string,
    departure: { readonly bornAt: number; readonly kind: DepartureKind },
  ): Promise<void> {
    const { replica, logger } = this.#options;
    const { bornAt, kind } = departure;
    const known = replica.state.departures.get(target);
    const isKnown = known && known.bornAt >= bornAt &&
      (known.kind === kind || known.kind === DepartureKind.gone);
    if (!isKnown) {
      await replica.propose({
        kind: "depart",
        target,
        bornAt,
        departure: kind,
      });
      logger.info("target-leaves", { target, kind });
    }
    const stored = replica.state.departures.get(target);
    if (stored) this.#registry.noteDeparture(target, stored);
    this.noteChange();
  }

  #isKeyed(service: string): boolean {
    const held = this.#options.replica.state.items.get(
      `${ItemKind.service}/${service}`,
    );
    return held?.content?.kind === ItemKind.service && held.content.isKeyed;
  }

  #keyedServices(): readonly string[] {
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
    if (!this.isComplete || this.#proposing.has(service)) return;
    const candidates = this.#candidates(service, now);
    if (candidates.length === 0) return;
    const ranges = replica.state.ranges.get(service);
    if (!ranges) {
      const count = Math.min(mostRanges, candidates.length * rangesPerTarget);
      return this.#propose(service, {
        kind: "createRanges",
        service,
        ranges: count,
      });
    }
    const demand = this.#demandOf(service);
    const plan = this.#keeper(service).plan(ranges, {
      candidates,
      now,
      demand: (range) => demand.of(range, now),
    });
    if (plan.grants.length > 0) {
      const { grants } = plan;
      return this.#propose(service, { kind: "grantRanges", service, grants });
    }
    const split = demand.split(ranges, now);
    if (split) {
      this.#propose(service, { kind: "splitRange", service, ...split });
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
      this.noteChange();
    });
  }

  #candidates(service: string, now: number): readonly RangeCandidate[] {
    const { heartbeatMilliseconds, replica } = this.#options;
    const silent = heartbeatMilliseconds * silentHeartbeats;
    const { evacuations } = replica.state;
    const targets = [...this.#registry.all()].filter((target) =>
      target.service === service && !target.isLeaving &&
      now - target.heardAt < silent &&
      evacuations.get(target.dataCentre)?.isOut !== true
    );
    const names = targets.map(({ life }) => life.target);
    return targets.map(({ life, slots, isCold, isUnproven }) => ({
      life,
      weight: slots * this.#speeds.weight(life.target, names),
      accepts: !isCold && !isUnproven,
    }));
  }

  #demandOf(service: string): KeyDemand {
    const known = this.#demand.get(service);
    if (known) return known;
    const demand = new KeyDemand();
    this.#demand.set(service, demand);
    return demand;
  }

  #keeper(service: string): RangeKeeper {
    const known = this.#keepers.get(service);
    if (known) return known;
    const keeper = new RangeKeeper({
      holdMilliseconds,
      startedAt: this.#startedAt,
    });
    this.#keepers.set(service, keeper);
    return keeper;
  }

  #noteControl(): void {
    const control = [...this.#options.controlAddresses()].sort();
    if (control.join() === this.#control.join()) return;
    this.#control = control;
    this.#controlRevision = this.#revisions.next();
  }

  // Gateways that are named late must be told.
  #noteColdTargets(now: number): void {
    if (now - this.#startedAt < coldLeaseMilliseconds) return;
    let count = 0;
    for (const target of this.#registry.all()) {
      if (!target.isCold) continue;
      count += this.#gateways.coldGateways(target, now).length;
    }
    if (count !== this.#coldCount) this.#revisions.next();
    this.#coldCount = count;
  }

  #noteRangeFlags(now: number): void {
    for (const [service, ranges] of this.#options.replica.state.ranges) {
      const keeper = this.#keeper(service);
      for (const range of ranges) {
        const id = `${service}/${range.from}`;
        const isMoving = keeper.isMoving(range, now);
        const known = this.#rangeFlags.get(id);
        if (known?.isMoving === isMoving && known.to === range.to) continue;
        const revision = this.#revisions.next();
        this.#rangeFlags.set(id, { isMoving, to: range.to, revision });
      }
    }
  }

  #hasNews(position: ViewPosition): boolean {
    return position.term !== this.term ||
      position.index < this.#options.replica.appliedIndex ||
      position.revision < this.#revisions.current ||
      (!position.isComplete && this.isComplete);
  }

  #news(holdMilliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, holdMilliseconds);
      this.#waiters.add(wake);
    });
  }

  #delta(position: ViewPosition): ViewDelta {
    const { replica, clock } = this.#options;
    const { state, appliedIndex } = replica;
    const now = clock.now();
    const isKnown = position.term === this.term;
    const since = isKnown ? position.revision : -1;
    const isComplete = this.isComplete;
    const sendsAll = isComplete && !(isKnown && position.isComplete);
    return {
      position: {
        index: appliedIndex,
        term: this.term,
        revision: this.#revisions.current,
        isComplete,
      },
      items: [...state.items.values()].filter(({ changedAt }) =>
        changedAt > position.index
      ).map((item) => ({ ...item, source: "" })),
      dataCentresOut: [...state.evacuations].filter(([, { isOut }]) => isOut)
        .map(([name]) => name),
      departed: [...state.departures].filter(([, { changedAt }]) =>
        changedAt > position.index
      ).map(([name]) => name),
      targets: [...this.#registry.all()].filter((target) =>
        sendsAll || target.revision > since ||
        (target.isCold && now - this.#startedAt >= coldLeaseMilliseconds)
      ).map((target) => this.#targetView(target, now)),
      areTargetsComplete: sendsAll,
      removedTargets: isKnown ? this.#registry.removedSince(since) : [],
      ranges: [...state.ranges].flatMap(([service, ranges]) =>
        ranges.filter((range) =>
          range.fence > position.index ||
          this.#rangeRevision(service, range) > since
        ).map((range) => this.#rangeView(service, range, now))
      ),
      gateways: this.#gateways.present(now).length,
      control: this.#controlRevision > since ? this.#control : null,
    };
  }

  #targetView(target: RegisteredTarget, now: number): TargetView {
    const { life, service, address, dataCentre, slots } = target;
    const departure = this.#options.replica.state.departures.get(life.target);
    const mayName = now - this.#startedAt >= coldLeaseMilliseconds;
    const isCold = target.isCold || target.isUnproven;
    return {
      name: life.target,
      service,
      address,
      dataCentre,
      slots,
      isLeaving: target.isLeaving || isCovered(life, departure),
      isCold,
      coldGateways: target.isCold && mayName
        ? this.#gateways.coldGateways(target, now)
        : [],
    };
  }

  #rangeRevision(service: string, range: KeyRange): number {
    return this.#rangeFlags.get(`${service}/${range.from}`)?.revision ?? 0;
  }

  #rangeView(service: string, range: KeyRange, now: number): RangeView {
    return {
      service,
      from: range.from,
      to: range.to,
      owner: range.owner?.target ?? "",
      fence: range.fence,
      isMoving: this.#keeper(service).isMoving(range, now),
    };
  }
}

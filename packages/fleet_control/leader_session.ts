import { RevisionCounter, TargetRegistry } from "@kingcupglade/fleet";
import type {
  Announcement,
  AnnouncementResponse,
  RegisteredTarget,
  ViewPosition,
} from "@kingcupglade/fleet";
import { defaultQuotaSettings } from "@kingcupglade/quotas";
import type { QuotaCall, QuotaReply } from "@kingcupglade/quotas";
import { ElapsedClock } from "@kingcupglade/workspaces";
import { EvacuationOrders } from "./evacuation_orders.ts";
import type {
  EvacuationOrder,
  EvacuationOutcome,
} from "./evacuation_orders.ts";
import { GatewayDirectory } from "./gateway_directory.ts";
import { chooseHeartbeatListener } from "./heartbeat_listener.ts";
import { KeyConfirmations } from "./key_confirmations.ts";
import type {
  LeaderSessionOptions,
  WatchResponseParts,
} from "./leader_session_options.ts";
import { hasWorkspaces, ItemsMemo } from "./items_memo.ts";
import { LimitDirectory } from "./limit_directory.ts";
import { ManagerDirectory } from "./manager_directory.ts";
import { holdMilliseconds, RangeCoordinator } from "./range_coordinator.ts";
import { mayRegister } from "./may_register.ts";
import { PublishedState } from "./published_state.ts";
import { QuotaDirectory } from "./quota_directory.ts";
import { RelayDirectory } from "./relay_directory.ts";
import type { SuspectCall, SuspectReply } from "./suspect_call.ts";
import { SuspectDirectory } from "./suspect_directory.ts";
import { TargetDepartures } from "./target_departures.ts";
import { TargetViews } from "./target_views.ts";
import { UpdateEncoder } from "./update_encoder.ts";
import { UpdateThrottle, watchHoldMilliseconds } from "./update_throttle.ts";
import type { Watch } from "./watch.ts";
import { WatchWaiters } from "./watch_waiters.ts";

export type {
  FleetReplica,
  LeaderSessionOptions,
  WatchResponseParts,
} from "./leader_session_options.ts";

/**
 * Number of heartbeat intervals after which every live target has sent a
 * heartbeat.
 */
const heartbeatsUntilComplete = 2.5;
/**
 * Time limit to confirm leadership with the quorum; a target waits a second for
 * the response.
 */
const confirmMilliseconds = 700;

/** State and decisions of a replica during one term as leader. */
export class LeaderSession {
  readonly term: number;
  readonly #options: LeaderSessionOptions;
  readonly #revisions = new RevisionCounter();
  readonly #registry = new TargetRegistry(this.#revisions);
  readonly #gateways: GatewayDirectory;
  readonly #ranges: RangeCoordinator;
  readonly #startedAt: number;
  readonly #waiters = new WatchWaiters();
  readonly #throttle = new UpdateThrottle();
  readonly #published = new PublishedState();
  #notifiedRevision = 0;
  #notifiedIndex = 0;
  #isNotificationDue = false;
  /** Peer addresses of the control VMs, and the revision that changed them. */
  readonly #control: { addresses: readonly string[]; revision: number } = {
    addresses: [],
    revision: 0,
  };
  readonly #departures: TargetDepartures;
  readonly #updates: UpdateEncoder;
  readonly #managers: ManagerDirectory;
  readonly #relays: RelayDirectory;
  readonly #limits: LimitDirectory;
  readonly #suspects: SuspectDirectory;
  readonly #evacuations: EvacuationOrders;
  readonly #targetViews: TargetViews;
  readonly #keys: KeyConfirmations;
  readonly #quotas: QuotaDirectory;
  readonly #hasWorkspaces = new ItemsMemo(hasWorkspaces);

  constructor(options: LeaderSessionOptions) {
    this.#options = options;
    this.#startedAt = options.clock.now();
    this.term = options.replica.consensus.term;
    this.#evacuations = new EvacuationOrders(options);
    this.#gateways = new GatewayDirectory(options);
    this.#managers = new ManagerDirectory({
      ...options,
      gateways: this.#gateways,
      registry: this.#registry,
      revisions: this.#revisions,
      term: this.term,
    });
    this.#relays = new RelayDirectory({
      gateways: this.#gateways,
      revisions: this.#revisions,
    });
    this.#limits = new LimitDirectory({
      ...options,
      registry: this.#registry,
      managers: this.#managers,
    });
    this.#suspects = new SuspectDirectory({
      ...options,
      revisions: this.#revisions,
    });
    this.#keys = new KeyConfirmations({
      ...options,
      elapsedClock: options.elapsedClock ??
        new ElapsedClock({ monotonic: options.clock }),
      activeGateways: () => this.gateways,
    });
    this.#quotas = new QuotaDirectory({
      ...options,
      quotas: options.quotas ?? defaultQuotaSettings,
      term: this.term,
      wake: (gateway) => this.#waiters.wake(gateway),
    });
    this.#departures = new TargetDepartures({
      ...options,
      registry: this.#registry,
      hearingMilliseconds: this.#hearingMilliseconds,
      isComplete: () => this.isComplete,
      notifyChange: () => this.notifyChange(),
    });
    this.#targetViews = new TargetViews({
      ...options,
      departures: this.#departures,
      registry: this.#registry,
      revisions: this.#revisions,
      managers: this.#managers,
      limits: this.#limits,
      startedAt: this.#startedAt,
    });
    this.#ranges = new RangeCoordinator({
      ...options,
      registry: this.#registry,
      revisions: this.#revisions,
      startedAt: this.#startedAt,
      isComplete: () => this.isComplete,
      onChange: () => this.notifyChange(),
    });
    this.#updates = new UpdateEncoder({
      ...options,
      term: this.term,
      revisions: this.#revisions,
      registry: this.#registry,
      gateways: this.#gateways,
      managers: this.#managers,
      relays: this.#relays,
      suspects: this.#suspects,
      targetViews: this.#targetViews,
      ranges: this.#ranges,
      departures: this.#departures,
      control: this.#control,
      isComplete: () => this.isComplete,
    });
  }

  /** Whether every live target has had time to send a heartbeat. */
  get isComplete(): boolean {
    return this.#options.clock.now() - this.#startedAt >
      this.#hearingMilliseconds;
  }

  get #hearingMilliseconds(): number {
    return this.#options.heartbeatMilliseconds * heartbeatsUntilComplete;
  }

  /** Known targets. */
  get targets(): Iterable<RegisteredTarget> {
    return this.#registry.all();
  }

  /** Names of the gateways in contact. */
  get gateways(): readonly string[] {
    return this.#gateways.activeNames(this.#options.clock.now());
  }

  /** Whether a workspace exists or has existed. */
  get hasWorkspaces(): boolean {
    return this.#hasWorkspaces.of(this.#options.replica.state.items);
  }

  /** Returns the names of the gateways in contact that lack a feature. */
  gatewaysWithout(feature: string): readonly string[] {
    return this.#gateways.namesWithout(feature, this.#options.clock.now());
  }

  /**
   * Waits until gateways in contact have confirmed a log entry that revokes keys,
   * as far as revocations have a bound.
   */
  waitForRevocation(
    index: number,
    revoked: { readonly keys: number },
  ): Promise<void> {
    return this.#keys.waitForRevocation(index, revoked);
  }

  /** Returns null if a heartbeat cannot be acknowledged. */
  async handleHeartbeat(
    announcement: Announcement,
  ): Promise<AnnouncementResponse | null> {
    const { replica } = this.#options;
    const { incarnation } = announcement;
    const address = chooseHeartbeatListener(announcement, this.#options);
    const isNewest = mayRegister(announcement, this.#options) &&
      this.#registerHeartbeat(announcement);
    // Also for one that is repeated or not registered, as it is acknowledged too.
    if (announcement.isDraining && !await this.#departures.drain(incarnation)) {
      return null;
    }
    if (!isNewest) return {};
    if (!this.#ranges.isKeyed(announcement.service)) {
      return { address };
    }
    if (!await replica.confirmLeadership(confirmMilliseconds)) return null;
    const grants = this.#ranges.renewHolds(announcement);
    this.notifyChange();
    return grants === null
      ? { address }
      : { address, grants, holdMilliseconds };
  }

  /** Records that a target leaves; returns whether to acknowledge that. */
  handleDeparture(target: string, bornAt: number | null): Promise<boolean> {
    return this.#departures.remove(target, bornAt);
  }

  /** Takes a data centre out of service, or returns it to service. */
  async evacuate(order: EvacuationOrder): Promise<EvacuationOutcome> {
    const outcome = await this.#evacuations.commit(order);
    if (outcome.kind === "overtaken") return outcome;
    // Its targets may have become cold while they received no requests.
    if (!order.isOut) this.#registry.markUnconfirmed(order.dataCentre);
    this.notifyChange();
    return outcome;
  }

  /**
   * Handles the watch request of a gateway, and waits until there is an update
   * for it.
   */
  async watch(watch: Watch): Promise<WatchResponseParts> {
    const now = this.#options.clock.now();
    const receivedAt = this.#keys.now();
    this.#keys.recordWatch(watch, receivedAt);
    this.#gateways.record(watch, now);
    this.#ranges.recordWatch(watch, now);
    this.#limits.recordWatch(watch, now);
    this.#suspects.recordWatch(watch);
    this.#quotas.recordWatch(watch);
    this.#departures.recordLeaving(watch);
    if (watch.limits.length + watch.suspects.length > 0) this.notifyChange();
    const hasUpdate = this.#hasUpdate(watch.position);
    // A gateway that has just been updated receives later changes together with
    // the other gateways.
    const isAnswerDue = this.#quotas.isAnswerDue(watch.gateway) ||
      (hasUpdate && !this.#isNotificationDue);
    if (!isAnswerDue) {
      await this.#waiters.wait(
        watch.gateway,
        watchHoldMilliseconds(this.#gateways.activeNames(now).length),
      );
    }
    return {
      own: this.#quotas.answerWatch(watch, this.#keys.ownPart(receivedAt)),
      answer: this.#updates.encode(watch),
    };
  }

  /** Handles a gateway's call about a request whose runs may end targets. */
  handleSuspectCall(call: SuspectCall): SuspectReply {
    const reply = this.#suspects.handle(call);
    this.notifyChange();
    return reply;
  }

  /** Handles the call of a gateway that is short of allowance. */
  handleQuotaCall(call: QuotaCall): QuotaReply {
    const { confirmedAgeMilliseconds } = this.#keys.ownPart(this.#keys.now());
    return this.#quotas.handleCall(call, confirmedAgeMilliseconds);
  }

  /** Makes the decisions that are due; called periodically. */
  tick(): void {
    const { clock } = this.#options;
    const now = clock.now();
    this.#registry.removeSilent(now);
    this.#ranges.tick(now);
    // A new leader keeps the present managers until every gateway has contacted
    // it.
    if (this.isComplete) {
      this.#managers.choose(now);
      this.#relays.choose(now);
    }
    this.#limits.choose(now);
    this.#suspects.tick();
    this.#quotas.tick();
    this.#targetViews.update(now);
    this.#updateControlAddresses();
    this.notifyChange();
  }

  /** Schedules an update to the waiting gateways if anything has changed. */
  notifyChange(): void {
    const publishedIndex = this.#publishedIndex;
    const hasUpdate = this.#revisions.current !== this.#notifiedRevision ||
      publishedIndex !== this.#notifiedIndex;
    if (!hasUpdate || this.#isNotificationDue) return;
    this.#isNotificationDue = true;
    const { clock } = this.#options;
    const now = clock.now();
    const delay = this.#throttle.delayMilliseconds(
      now,
      this.#gateways.activeNames(now).length,
    );
    // Changes made in one turn of the event loop are sent together.
    if (delay > 0) setTimeout(() => this.#notifyGateways(), delay);
    else setImmediate(() => this.#notifyGateways());
  }

  #notifyGateways(): void {
    this.#isNotificationDue = false;
    this.#throttle.recordUpdate(this.#options.clock.now());
    this.#notifiedRevision = this.#revisions.current;
    this.#notifiedIndex = this.#publishedIndex;
    this.#waiters.wakeAll();
  }

  /** Ends the wait of every gateway. */
  end(): void {
    this.#waiters.wakeAll();
  }

  #registerHeartbeat(announcement: Announcement): boolean {
    const { clock, logger } = this.#options;
    const { incarnation, service } = announcement;
    const known = this.#registry.get(incarnation.target);
    const isNewest = this.#registry.recordHeartbeat(announcement, {
      now: clock.now(),
      departure: this.#departures.departureOf(incarnation),
    });
    if (!isNewest) {
      logger.info("heartbeat-outdated", {
        target: incarnation.target,
        sequence: announcement.sequence,
        knownSequence: known?.sequence ?? null,
      });
      return false;
    }
    if (known?.incarnation.bornAt !== incarnation.bornAt) {
      logger.info("target-registered", {
        target: incarnation.target,
        service,
        address: announcement.address,
        dataCentre: announcement.dataCentre,
      });
    }
    this.#ranges.recordHolds(announcement);
    this.notifyChange();
    return true;
  }

  #updateControlAddresses(): void {
    const control = [...this.#options.controlAddresses()].sort();
    if (control.join() === this.#control.addresses.join()) return;
    this.#control.addresses = control;
    this.#control.revision = this.#revisions.next();
  }

  #hasUpdate(position: ViewPosition): boolean {
    return position.term !== this.term ||
      position.index < this.#publishedIndex ||
      position.revision < this.#revisions.current ||
      (!position.isComplete && this.isComplete);
  }

  /** Index of the last log entry that changed what gateways receive. */
  get #publishedIndex(): number {
    const { state, appliedIndex } = this.#options.replica;
    return this.#published.indexOf(state, appliedIndex);
  }
}

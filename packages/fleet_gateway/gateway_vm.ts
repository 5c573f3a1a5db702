import { CallerDeadlines } from "@kingcupglade/dispatch";
import type { TargetView } from "@kingcupglade/fleet";
import { peerAddressOf, PeerClients } from "@kingcupglade/fleet_control";
import { defaultQuotaSettings } from "@kingcupglade/quotas";
import { StallDetector } from "@kingcupglade/tasks";
import { BodyMemory } from "@kingcupglade/transport";
import { ElapsedClock, KeyDigest } from "@kingcupglade/workspaces";
import { GatewayLink } from "./link/gateway_link.ts";
import { GatewayListeners } from "./callers/gateway_listeners.ts";
import { ProcessorWatch } from "./callers/processor_watch.ts";
import type { GatewayVmOptions } from "./gateway_vm_options.ts";
import { KeyGate } from "./admission/key_gate.ts";
import { callLeader, callLeaderForQuota } from "./table/leader_caller.ts";
import { LinkDirection } from "./link/link_direction.ts";
import { LoadProber } from "./targets/load_prober.ts";
import { QuotaGate } from "./admission/quota_gate.ts";
import { RelayChoice } from "./relay/relay_choice.ts";
import { createRequestDigest } from "./requests/request_digest.ts";
import { RequestHandler } from "./requests/request_handler.ts";
import type { SlotMessage } from "./slots/slot_messages.ts";
import { SuspectGate } from "./targets/suspect_gate.ts";
import { SlotManager } from "./slots/slot_manager.ts";
import { SlotPools } from "./slots/slot_pools.ts";
import { SlotClient } from "./slots/slot_client.ts";
import { SlotSocket } from "./slots/slot_socket.ts";
import { StopSchedule } from "./callers/stop_schedule.ts";
import { TableSynchronizer } from "./table/table_synchronizer.ts";
import {
  createFramingBudget,
  TargetConnections,
} from "./targets/target_connections.ts";
import { TargetEndDetector } from "./targets/target_end_detector.ts";
import { limitSharers, TargetLimits } from "./targets/target_limits.ts";
import { TargetLog } from "./targets/target_log.ts";
import { TargetNotices } from "./targets/target_notices.ts";
import { Chooser } from "./targets/target_paces.ts";
import { TargetReach } from "./targets/target_reach.ts";
import { TargetSelector } from "./targets/target_selector.ts";

/** Other gateways accept a connection within this time. */
const relayConnectMilliseconds = 300;
const housekeepingIntervalMilliseconds = 1000;
const stallCheckIntervalMilliseconds = 50;
const millisecondsPerSecond = 1000;
/** Memory for responses that are held until their ends are known. */
const maximumHeldResponseBytes = 32 * 1024 * 1024;

/** A VM that forwards callers' requests to the targets that may serve them. */
export class GatewayVm {
  readonly #options: GatewayVmOptions;
  readonly #peerClients: PeerClients;
  readonly #synchronizer: TableSynchronizer;
  readonly #keys: KeyGate;
  readonly #quotas: QuotaGate;
  readonly #connections: TargetConnections;
  readonly #reach: TargetReach;
  readonly #relays: RelayChoice;
  readonly #responseMemory = new BodyMemory(maximumHeldResponseBytes);
  readonly #relayConnections: TargetConnections;
  readonly #link: GatewayLink | undefined;
  readonly #limits: TargetLimits;
  readonly #notices: TargetNotices;
  readonly #suspects: SuspectGate;
  readonly #callerDeadlines = new CallerDeadlines();
  readonly #loadProber: LoadProber;
  readonly #selector: TargetSelector;
  /** Chooses among the targets whose slots this VM grants. */
  readonly #managedSelector: TargetSelector;
  readonly #slotManager: SlotManager;
  readonly #slotClient: SlotClient;
  readonly #slotPools: SlotPools;
  readonly #stopSchedule: StopSchedule;
  readonly #stalls: StallDetector;
  readonly #processor: ProcessorWatch | undefined;
  #slotSocket!: SlotSocket;
  #handler!: RequestHandler;
  readonly #housekeepingTimer: NodeJS.Timeout;
  readonly #stallTimer: NodeJS.Timeout;
  #listeners!: GatewayListeners;

  protected constructor(options: GatewayVmOptions) {
    const { name, dataCentre, region, clock, logger, secret } = options;
    this.#options = options;
    this.#stopSchedule = new StopSchedule(options.graceMilliseconds);
    this.#peerClients = new PeerClients(options);
    this.#stalls = new StallDetector({
      clock,
      onStall: (milliseconds) =>
        logger.info("event-loop-stalled", {
          milliseconds: Math.round(milliseconds),
        }),
    });
    this.#processor = ProcessorWatch.ofBound(options);
    this.#link = GatewayLink.ofRate(options.linkMegabitsPerSecond, options);
    const isLinkFull = () => this.#link?.isFull === true;
    const framing = createFramingBudget(clock);
    const targetLog = new TargetLog({
      table: () => this.#synchronizer.table,
      logger,
    });
    this.#connections = new TargetConnections({
      clock,
      isLinkFull,
      framing,
      connector: options.connectToTarget,
      observer: {
        connected: () => this.#reach.recordConnected(),
        connectTrouble: (address) => this.#reach.recordConnectTrouble(address),
        lost: () => this.#reach.recordLoss(),
        surplus: (address) => targetLog.recordSurplus(address),
        held: (address) => targetLog.recordSmallChunks(address),
      },
    });
    this.#reach = new TargetReach({
      ...options,
      isLinkFull,
      targets: () => this.#synchronizer.table.reachableTargets,
      tryConnect: (address, milliseconds) =>
        this.#connections.tryConnect(address, milliseconds),
    });
    this.#relays = new RelayChoice({
      ...options,
      gateways: () => this.#synchronizer.table.relays,
    });
    this.#relayConnections = new TargetConnections({
      ...options,
      connectTimeoutMilliseconds: relayConnectMilliseconds,
      isLinkFull,
      framing,
    });
    this.#limits = new TargetLimits(options);
    this.#notices = new TargetNotices(options);
    this.#suspects = new SuspectGate({
      ...options,
      call: (call) =>
        callLeader(call, {
          clients: this.#peerClients,
          path: this.#synchronizer.path,
        }),
      endDetector: new TargetEndDetector({
        ...options,
        connections: this.#connections,
        reach: this.#reach,
      }),
      attemptMilliseconds: (service) =>
        this.#selector.service(service).meanMilliseconds,
    });
    this.#loadProber = new LoadProber({
      ...options,
      connections: this.#connections,
      reach: this.#reach,
      limits: this.#limits,
      notices: this.#notices,
    });
    const elapsedClock = new ElapsedClock({ monotonic: clock });
    this.#keys = new KeyGate({
      ...options,
      table: () => this.#synchronizer.table,
      digest: new KeyDigest(secret),
      elapsedClock,
    });
    this.#quotas = new QuotaGate({
      ...options,
      windowMilliseconds: options.quotaWindowMilliseconds ??
        defaultQuotaSettings.windowMilliseconds,
      table: () => this.#synchronizer.table,
      call: (call) =>
        callLeaderForQuota(call, {
          clients: this.#peerClients,
          path: this.#synchronizer.path,
        }),
      elapsedClock,
    });
    this.#synchronizer = new TableSynchronizer({
      gateway: {
        gateway: name,
        dataCentre,
        region,
        address: options.peerAddress,
      },
      seeds: options.seeds.map((seed) =>
        peerAddressOf(seed, options.peerAddress)
      ),
      isCutOff: () => this.#reach.isCutOff,
      takeDemand: () => this.#selector.takeDemand(),
      takeDurations: (isNewLeader) =>
        this.#durationReporter.takeDurations(isNewLeader),
      takeLimits: (isNewLeader) => this.#limits.takeReports(isNewLeader),
      takeLeaving: (isNewLeader) => this.#notices.takeLeaving(isNewLeader),
      suspects: () => this.#suspects.all(),
      onSuspects: (suspects, term) =>
        this.#suspects.applyPublished(suspects, term),
      clients: this.#peerClients,
      clock,
      logger,
      metrics: options.metrics,
      random: options.random,
      elapsedClock,
      takeQuotas: (isNewLeader) => this.#quotas.takeReport(isNewLeader),
      onOwnPart: (received) => {
        this.#keys.renew(received);
        this.#quotas.receive(received.part);
      },
      onChange: () => {
        this.#limits.applyTable(this.#synchronizer.table);
        this.#notices.applyTable(this.#synchronizer.table);
        this.#slotPools.handleTableChange();
        this.#managedSelector.handleTableChange();
        this.#selector.handleTableChange();
      },
    });
    this.#selector = new TargetSelector({
      ...options,
      synchronizer: this.#synchronizer,
      limits: this.#limits,
      notices: this.#notices,
      limitSharers: (target) =>
        limitSharers(this.#synchronizer.table, { target, gateway: name }),
      gatewayCount: () => this.#synchronizer.table.gatewayCount || Infinity,
      ...this.#pacing(
        Chooser.gateway,
        (target) => !this.#synchronizer.table.pools.managerOf(target),
      ),
    });
    this.#managedSelector = new TargetSelector({
      ...options,
      synchronizer: this.#synchronizer,
      isCandidate: (target) => this.#isManaged(target),
      limits: this.#limits,
      limitSharers: (target) => this.#isManaged(target) ? 1 : 0,
      gatewayCount: () => 1,
      ...this.#pacing(Chooser.manager, (target) => this.#isManaged(target)),
    });
    const send: SlotSocket["send"] = (message, to) => {
      this.#link?.countDatagram(LinkDirection.outbound);
      this.#slotSocket.send(message, to);
    };
    this.#slotManager = new SlotManager({
      selector: this.#managedSelector,
      limits: this.#limits,
      table: () => this.#synchronizer.table,
      loadProber: this.#loadProber,
      callerDeadlines: this.#callerDeadlines,
      send,
      clock,
      logger,
    });
    this.#slotClient = new SlotClient({ ...options, send, isLinkFull });
    this.#slotPools = new SlotPools({
      ...options,
      table: () => this.#synchronizer.table,
      selector: this.#selector,
      isHealthy: (manager) => this.#slotClient.isHealthy(manager),
    });
    this.#housekeepingTimer = setInterval(
      () => this.#doHousekeeping(),
      housekeepingIntervalMilliseconds,
    );
    this.#stallTimer = setInterval(
      () => {
        this.#stalls.observe();
        this.#keys.observe();
      },
      stallCheckIntervalMilliseconds,
    );
  }

  /**
   * Opens the listeners.
   *
   * @throws {ListenError} when an address cannot be used.
   */
  static async start(options: GatewayVmOptions): Promise<GatewayVm> {
    const vm = new GatewayVm(options);
    vm.#handler = new RequestHandler({
      context: vm.#forwardingContext,
      stopSchedule: vm.#stopSchedule,
      digest: await createRequestDigest(options.secret),
      hasProcessorTime: (priority) => vm.#processor?.admits(priority) ?? true,
    });
    vm.#listeners = await GatewayListeners.open({
      ...options,
      stopSchedule: vm.#stopSchedule,
      handleCaller: (request, response) =>
        vm.#handler.handle(request, response),
      handleRelayed: (request, response) =>
        vm.#handler.handleRelayed(request, response),
      isReady: () => vm.#isReady,
    });
    vm.#slotSocket = await SlotSocket.open({
      ...options,
      onMessage: (message, from) => vm.#handleSlotMessage(message, from),
    });
    vm.#synchronizer.start();
    options.logger.info("gateway-started", { address: options.callersAddress });
    return vm;
  }

  #pacing(chooser: Chooser, isPaced: (target: TargetView) => boolean) {
    const { pacesTargets = true, logger, metrics } = this.#options;
    return pacesTargets && { pacing: { chooser, isPaced, logger, metrics } };
  }

  /** Replaces the control addresses that are queried for the leader. */
  setSeeds(seeds: readonly string[]): void {
    const { peerAddress } = this.#options;
    this.#synchronizer.setSeeds(
      seeds.map((seed) => peerAddressOf(seed, peerAddress)),
    );
  }

  /**
   * Reports this VM as not ready and serves requests until no more arrive, or
   * for 75 % of the grace period at most. Then finishes the requests in
   * progress and closes.
   */
  async stop(): Promise<void> {
    const { clock, logger } = this.#options;
    this.#listeners.startLeaving();
    this.#stopSchedule.start(clock.now());
    this.#synchronizer.leave();
    logger.info("gateway-stopping");
    await this.#listeners.drain();
    this.#synchronizer.stop();
    clearInterval(this.#housekeepingTimer);
    clearInterval(this.#stallTimer);
    this.#processor?.close();
    this.#quotas.close();
    this.#reach.close();
    this.#link?.close();
    this.#connections.close();
    this.#relayConnections.close();
    this.#peerClients.close();
    this.#slotClient.close();
    this.#slotSocket.close();
    logger.info("gateway-stopped");
  }

  get #isReady(): boolean {
    return this.#synchronizer.table.hasConfiguration && this.#keys.isReady &&
      (!this.#reach.isCutOff || this.#relays.hasCandidates);
  }

  get #forwardingContext() {
    const table = () => this.#synchronizer.table;
    return {
      ...this.#options,
      selector: this.#selector,
      reach: this.#reach,
      relays: this.#relays,
      responseMemory: this.#responseMemory,
      relayConnections: this.#relayConnections,
      connections: this.#connections,
      link: this.#link,
      limits: this.#limits,
      notices: this.#notices,
      suspects: this.#suspects,
      keys: this.#keys,
      callerDeadlines: this.#callerDeadlines,
      quotas: this.#quotas,
      stalls: this.#stalls,
      loadProber: this.#loadProber,
      pools: this.#slotPools,
      slots: this.#slotClient,
      table,
      contactAge: () => this.#synchronizer.contactAge,
      gatewayCount: () => table().gatewayCount,
    };
  }

  /** Whether this VM grants the slots of a target. */
  #isManaged(target: TargetView): boolean {
    const { pools } = this.#synchronizer.table;
    return pools.managerOf(target)?.name === this.#options.name;
  }

  // Durations are reported by the selector that chooses the targets.
  get #durationReporter(): TargetSelector {
    const { isEmpty } = this.#synchronizer.table.pools;
    return isEmpty ? this.#selector : this.#managedSelector;
  }

  #handleSlotMessage(message: SlotMessage, from: string): void {
    this.#link?.countDatagram(LinkDirection.inbound);
    switch (message.kind) {
      case "request":
        return this.#slotManager.handleRequest(message, from);
      case "end":
        return this.#slotManager.end(message, from);
      default:
        return this.#slotClient.receive(message, from);
    }
  }

  #doHousekeeping(): void {
    const { table } = this.#synchronizer;
    this.#slotManager.releaseExpired();
    this.#selector.expire();
    this.#managedSelector.expire();
    this.#suspects.expire();
    this.#link?.report();
    if (table.limits) this.#listeners.setTimeouts(table.limits);
    const { metrics } = this.#options;
    metrics.tableVersion.set(table.position.index);
    metrics.controlContactAge.set(
      this.#synchronizer.contactAge / millisecondsPerSecond,
    );
    this.#connections.retainOnly(table.addresses);
  }
}

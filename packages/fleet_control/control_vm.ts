import { randomUUID } from "node:crypto";
import { configurationOf } from "@kingcupglade/consensus";
import type { ConsensusMessage } from "@kingcupglade/consensus";
import { encodeValue, Fleet, Replication } from "@kingcupglade/protocol";
import { vmOfReplica } from "@kingcupglade/replica";
import { StallDetector } from "@kingcupglade/tasks";
import { describeFailure } from "@kingcupglade/telemetry";
import { UnaryServices } from "@kingcupglade/transport";
import { ElapsedClock } from "@kingcupglade/workspaces";
import { chooseBootstrapStep } from "./bootstrap_step.ts";
import { ControlListeners } from "./control_listeners.ts";
import { ControlReplica } from "./control_replica.ts";
import type { ControlVmOptions } from "./control_vm_options.ts";
import { ExternalCallHandler } from "./external_call_handler.ts";
import type { Leadership } from "./external_call_handler.ts";
import { Feature } from "./feature.ts";
import { forwardingConnections, GatewayCalls } from "./gateway_calls.ts";
import { decodeGreeting } from "./greeting.ts";
import { LeaderSession } from "./leader_session.ts";
import type { FleetReplica } from "./leader_session.ts";
import { PeerClients } from "./peer_clients.ts";
import { PeerClocks } from "./peer_clocks.ts";
import { greetIntervalMilliseconds, PeerDiscovery } from "./peer_discovery.ts";
import { planMembers } from "./plan_members.ts";
import { readMessages, ReplicaLinks } from "./replica_links.ts";
import { vmsWithout } from "./vms_without.ts";
import type { WatchAnswer } from "./watch.ts";
import { WorkspaceSeals } from "./workspace_seals.ts";

const decisionIntervalMilliseconds = 50;
/**
 * Maximum wait for a sync before the response is sent; messages that a longer
 * sync produces are sent by a separate call, so that heartbeats are not
 * delayed.
 */
const syncWaitMilliseconds = 25;
const transferTimeoutMilliseconds = 1000;
/**
 * Maximum time since the last greeting of a follower that may take heartbeats.
 * Followers greet the leader once a second; a silent follower may be lost.
 */
const maximumSilenceMilliseconds = 1500;
/**
 * Control VM: replicates the state of the fleet, and makes its decisions while
 * it is the leader.
 */
export class ControlVm implements Leadership {
  readonly #options: ControlVmOptions;
  readonly #clients: PeerClients;
  readonly #discovery: PeerDiscovery;
  readonly #externalCalls: ExternalCallHandler;
  readonly #forwardClients: PeerClients;
  readonly #gatewayCalls: GatewayCalls;
  readonly #stalls: StallDetector;
  readonly #seals: WorkspaceSeals;
  readonly #elapsedClock: ElapsedClock;
  readonly #timers: NodeJS.Timeout[] = [];
  #listeners!: ControlListeners;
  #replica!: ControlReplica;
  #links: ReplicaLinks | undefined;
  #session: LeaderSession | undefined;
  #isBootstrapping = false;
  #isStopping = false;
  #leader: string | null = null;

  protected constructor(options: ControlVmOptions) {
    this.#options = options;
    this.#clients = new PeerClients(options);
    const process = randomUUID();
    const { clock, logger } = options;
    this.#stalls = new StallDetector({
      clock,
      onStall: (milliseconds) =>
        logger.info("event-loop-stalled", {
          milliseconds: Math.round(milliseconds),
        }),
    });
    this.#seals = new WorkspaceSeals(options);
    this.#elapsedClock = new ElapsedClock({ monotonic: options.clock });
    const shared = {
      ...options,
      seals: this.#seals,
      vmsWithout: (feature: Feature) => [
        ...vmsWithout(feature, {
          consensus: this.#replica.running?.consensus,
          greetings: this.#discovery.peers.greetings,
          isInUse: this.#session?.hasWorkspaces === true,
        }),
        ...this.#session?.gatewaysWithout(feature) ?? [],
      ],
      clients: this.#clients,
      peerClocks: new PeerClocks(),
      stalls: this.#stalls,
      ownTime: () => ({ process, milliseconds: clock.now() }),
    };
    this.#discovery = new PeerDiscovery(shared, {
      replica: () => this.#replica,
      leaderAddress: () => this.leaderAddress,
    });
    this.#externalCalls = new ExternalCallHandler(shared, this);
    this.#forwardClients = new PeerClients({
      ...options,
      connections: forwardingConnections,
    });
    this.#gatewayCalls = new GatewayCalls(
      { ...options, clients: this.#forwardClients },
      this,
    );
  }

  /**
   * Opens the data folder and the listeners.
   *
   * @throws {StorageError} when the data folder cannot be used.
   * @throws {ListenError} when an address cannot be used.
   */
  static async start(options: ControlVmOptions): Promise<ControlVm> {
    const vm = new ControlVm(options);
    // Opened first, so that a second process with the same settings fails
    // before it opens the data folder.
    vm.#listeners = await vm.#listen();
    try {
      vm.#replica = await vm.#openReplica();
    } catch (failure) {
      vm.#listeners.destroy();
      throw failure;
    }
    vm.#links = new ReplicaLinks({
      clients: vm.#clients,
      self: vm.#replica.id,
      onReply: (messages) => vm.#receive(messages),
    });
    vm.#timers.push(
      setInterval(() => vm.#decide(), decisionIntervalMilliseconds),
      setInterval(() => vm.#greetPeers(), greetIntervalMilliseconds),
    );
    vm.#greetPeers();
    const state = vm.#replica.running?.state;
    if (state) vm.#seals.checkSources(state.items);
    options.logger.info("control-started", {
      replica: vm.#replica.id,
      isUsed: vm.#replica.running !== undefined,
    });
    return vm;
  }

  /** Replaces the seeds. */
  setSeeds(seeds: readonly string[]): void {
    this.#discovery.setSeeds(seeds);
  }

  /** Transfers leadership, waits for the calls in progress and stops. */
  async stop(): Promise<void> {
    const { logger } = this.#options;
    logger.info("control-stopping");
    this.#listeners.refuseReuse();
    await this.#replica.running?.transferLeadership(
      transferTimeoutMilliseconds,
    );
    for (const timer of this.#timers) clearInterval(timer);
    this.#isStopping = true;
    this.#session?.end();
    this.#gatewayCalls.end();
    await this.#listeners.close(() => this.#replica.stop());
    this.#clients.close();
    this.#forwardClients.close();
    logger.info("control-stopped");
  }

  async #openReplica(): Promise<ControlReplica> {
    const { folder, peerAddress, clock, logger, onFailure } = this.#options;
    const replica = await ControlReplica.open({
      folder,
      peerAddress,
      clock,
      send: (message) => this.#links?.send(message),
      onChange: () => this.#handleReplicaChange(),
      onFolderFailure: (failure) =>
        logger.error("replica-stopped", { reason: describeFailure(failure) }),
      onFolderReopened: () => logger.info("replica-restarted"),
      onFailure,
    });
    logger.info("data-folder-opened", {
      replica: replica.id,
      ...replica.opened,
    });
    return replica;
  }

  #listen(): Promise<ControlListeners> {
    const { secret, peerAddress, controlAddress } = this.#options;
    const services = new UnaryServices({ secret });
    services.service(Replication, {
      deliver: async ({ from, messages }) => ({
        messages: await this.#links!.answer(from, () => {
          this.#receive(readMessages(messages));
          return this.#replica.running?.waitUntilSynced(syncWaitMilliseconds);
        }),
      }),
    });
    services.service(Fleet, {
      greet: ({ greeting }) => {
        this.#discovery.peers.record(
          decodeGreeting(greeting),
          this.#options.clock.now(),
        );
        return Promise.resolve({
          greeting: encodeValue(this.#discovery.greeting),
        });
      },
      watch: ({ watch, forward }, context) =>
        this.#gatewayCalls.watch({ call: watch, forward }, context),
      suspect: (call) => this.#gatewayCalls.suspect(call),
      quota: (call) => this.#gatewayCalls.quota(call),
      relay: async ({ call }) => ({
        result: await this.#externalCalls.serveRelayed(call),
      }),
    });
    return ControlListeners.open({
      logger: this.#options.logger,
      peerAddress: this.#options.peerListenAddress ?? peerAddress,
      controlAddress: this.#options.controlListenAddress ?? controlAddress,
      isReady: () => this.#links !== undefined,
      handlePeer: (request, response) => {
        if (services.handle(request, response)) return;
        response.writeHead(404).end();
      },
      handleExternal: (request, response) =>
        void this.#externalCalls.handle(request, response),
    });
  }

  // The others count a silent VM as lost, which is right for one that can store
  // nothing.
  #greetPeers(): void {
    if (!this.#replica.hasFailedFolder) void this.#discovery.greetPeers();
  }

  #receive(messages: readonly ConsensusMessage[]): void {
    for (const message of messages) this.#replica.receive(message);
  }

  /** The state from which watches are answered; undefined for none. */
  get watchedSession(): LeaderSession | undefined {
    return this.isLeading && !this.#isStopping ? this.#session : undefined;
  }

  /** Response to the watches that another VM has to answer. */
  get redirect(): WatchAnswer {
    const leader = this.leaderAddress;
    return {
      kind: "elsewhere",
      leader: leader === this.#options.peerAddress ? null : leader,
    };
  }

  /** The running replica, if it has been started. */
  get replica(): FleetReplica | undefined {
    return this.#replica?.running;
  }

  /** State that this VM keeps while it leads; undefined while it does not. */
  get session(): LeaderSession | undefined {
    return this.#session;
  }

  /** Whether this VM is the leader and ready to decide. */
  get isLeading(): boolean {
    return this.#replica.running?.isReadyLeader === true;
  }

  /** Peer address of the leader; null if unknown. */
  get leaderAddress(): string | null {
    const { leader } = this.#replica;
    return leader === null ? null : vmOfReplica(leader);
  }

  #handleReplicaChange(): void {
    const leader = this.leaderAddress;
    if (leader !== this.#leader) {
      this.#options.logger.info("leader-changed", {
        leader,
        before: this.#leader,
        term: this.#replica.running?.consensus.term ?? 0,
      });
      this.#leader = leader;
      this.#gatewayCalls.handleLeaderChange();
    }
    this.#updateSession();
    this.#session?.notifyChange();
  }

  #updateSession(): void {
    const replica = this.#replica.running;
    const session = this.#session;
    const isLeading = this.isLeading;
    if (session && (!isLeading || session.term !== replica!.consensus.term)) {
      if (isLeading || replica?.consensus.role !== "leader") {
        this.#options.logger.info("leadership-lost", { term: session.term });
        this.#session = undefined;
        session.end();
      }
    }
    if (isLeading && replica && !this.#session) this.#startSession(replica);
  }

  #startSession(replica: FleetReplica): void {
    const { clock, logger, regions, region, revokeMilliseconds, quotas } =
      this.#options;
    const { heartbeatMilliseconds, controlAddress } = this.#options;
    this.#seals.checkSources(replica.state.items);
    this.#session = new LeaderSession({
      replica,
      clock,
      elapsedClock: this.#elapsedClock,
      logger,
      heartbeatMilliseconds,
      controlAddress,
      region,
      ...(revokeMilliseconds !== undefined && { revokeMilliseconds }),
      ...(quotas && { quotas }),
      regionOf: (dataCentre) => regions[dataCentre] ?? "",
      controlAddresses: () => [
        this.#options.peerAddress,
        ...this.#discovery.peers.recentGreetings(clock.now()).map((each) =>
          each.peerAddress
        ),
      ],
      listeners: () =>
        this.#discovery.peers.listeners(
          clock.now(),
          maximumSilenceMilliseconds,
        ),
    });
    logger.info("leadership-acquired", {
      term: this.#session.term,
      voters: configurationOf(replica.consensus).voters.join(","),
    });
  }

  #decide(): void {
    this.#stalls.observe();
    // Read regularly, see ElapsedClock.
    this.#elapsedClock.now();
    this.#updateSession();
    this.#tryBootstrap();
    const replica = this.#replica.running;
    if (!replica || !this.isLeading) return;
    const { clock, logger } = this.#options;
    const next = planMembers({
      consensus: replica.consensus,
      greetings: [
        { greeting: this.#discovery.greeting, receivedAt: clock.now() },
        ...this.#discovery.peers.received.filter(({ greeting }) =>
          this.#session?.hasWorkspaces !== true ||
          greeting.features?.includes(Feature.workspaces)
        ),
      ],
      voters: this.#options.toleratedLosses * 2 + 1,
      now: clock.now(),
    });
    if (next) {
      logger.info("replica-set-changes", {
        voters: next.voters.join(","),
        learners: next.learners.join(","),
      });
      replica.proposeConfiguration(next);
    }
    this.#session?.tick();
  }

  #tryBootstrap(): void {
    if (this.#replica.hasStarted || this.#isBootstrapping) return;
    const step = chooseBootstrapStep({
      mayFound: this.#options.mayFound,
      self: this.#discovery.greeting,
      founders: this.#discovery.seedPeerAddresses,
      greetings: this.#discovery.peers.greetings,
    });
    if (step.kind === "wait") return;
    if (step.kind === "standby") {
      this.#options.logger.info("standby-started", {
        replica: this.#replica.id,
      });
      return this.#replica.start();
    }
    this.#isBootstrapping = true;
    this.#options.logger.info("bootstrap-started", {
      founders: step.founders.join(","),
    });
    void this.#replica.bootstrap(step.founders);
  }
}

import { randomInt, randomUUID } from "node:crypto";
import { createKeyHasher } from "@kingcupglade/ownership";
import { TargetObservations } from "@kingcupglade/routing";
import type { CapacityGate } from "@kingcupglade/routing";
import { MonotonicClock } from "@kingcupglade/tasks";
import {
  createLogger,
  createMetrics,
  describeFailure,
} from "@kingcupglade/telemetry";
import type { Logger, Metrics } from "@kingcupglade/telemetry";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { ControlClient } from "./control/control_client.ts";
import { ControlTask } from "./control/control_task.ts";
import { PeerDirectory } from "./control/peers.ts";
import { RoutingTask } from "./control/routing_task.ts";
import { Credits } from "./credits/credits.ts";
import { ExchangeClient } from "./gateway/exchange.ts";
import { Forwarder } from "./gateway/forwarder.ts";
import { Gateway } from "./gateway/gateway.ts";
import type { TargetChoice } from "./gateway/target_chooser.ts";
import { LedgerTask } from "./ledger/ledger_task.ts";
import { AnnouncementBatcher } from "./listeners/announcement_batcher.ts";
import { HttpListener } from "./listeners/http_listener.ts";
import { openOperatorsListener } from "./listeners/operators.ts";
import { openPeersListener } from "./listeners/peers.ts";
import { openTargetsListener } from "./listeners/targets.ts";
import { readSecrets } from "./settings/secrets.ts";
import { readTls } from "./settings/tls.ts";
import type { ResolvedSettings } from "./settings/schema.ts";

const connectionsPerTarget = 110;
/** Callers' listener closes when no request came for this long. */
const quietMilliseconds = 300;
const mostLeaveMilliseconds = 15_000;
const handOverMilliseconds = 3000;

/** Options of {@link Vm.start}. */
export interface VmOptions {
  readonly settings: ResolvedSettings;
  /** Called when the VM cannot go on. */
  readonly onFailure: (failure: unknown) => void;
  /** Decisions replaced for measurements. */
  readonly policy?: {
    /** @default credits shared by the VMs */
    readonly capacity?: CapacityGate;
    /** @default near targets with room first, then the faster of two */
    readonly choice?: TargetChoice;
    /** Hedges that each request earns. @default 0.04 */
    readonly hedgeShare?: number;
    /** Address that connections to targets come from. */
    readonly localAddress?: string;
    /** Seed of the choices among targets. @default drawn at each start */
    readonly seed?: number;
  };
}

interface VmParts {
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly peers: PeerDirectory;
  readonly control: ControlTask | undefined;
  readonly routing: RoutingTask;
  readonly exchanges: ExchangeClient;
  readonly ledger: LedgerTask;
  readonly forwarder: Forwarder;
  readonly gateway: Gateway;
  readonly credits: Credits;
  readonly listeners: readonly HttpListener[];
  readonly callers: HttpListener;
  readonly leaveMilliseconds: number;
  readonly markStopping: () => void;
}

/** One VM: a gateway, and a control replica where it has a data folder. */
export class Vm {
  readonly #parts: VmParts;

  protected constructor(parts: VmParts) {
    this.#parts = parts;
  }

  /** Starts a VM; every listener is open when it returns. */
  static async start(options: VmOptions): Promise<Vm> {
    const { settings } = options;
    const secrets = await readSecrets(settings);
    const tls = await readTls(settings);
    const { vm, listen } = settings;
    const logger = createLogger({
      fields: { vm: vm.name, dataCentre: vm.dataCentre },
      level: settings.log.level,
    });
    const metrics = createMetrics();
    const clock = new MonotonicClock();
    const peers = new PeerDirectory({
      addresses: settings.peers,
      secret: secrets.vm,
      tls,
    });
    const control = vm.dataFolder === undefined
      ? undefined
      : await ControlTask.start({
        settings,
        folder: vm.dataFolder,
        peers,
        targetSecret: secrets.target,
        authority: tls.material?.authority,
        clock,
        logger,
        metrics,
      });
    const client = () =>
      new ControlClient({ peers, candidates: candidatesOf(settings), clock });
    const boot = randomUUID();
    const routing = new RoutingTask({
      vm: {
        name: vm.name,
        boot,
        dataCentre: vm.dataCentre,
        region: vm.region,
        peerAddress: listen.peers,
        callersAddress: listen.callers,
        replica: control?.replicaId ?? null,
      },
      control: client(),
      clock,
      logger,
      metrics,
    });
    const observations = new TargetObservations();
    const credits = new Credits({
      vm: vm.name,
      boot,
      routing,
      peers,
      clock,
      metrics,
      observations,
      routingLeaseMilliseconds: settings.control.routingLeaseMilliseconds,
    });
    const exchanges = new ExchangeClient({
      localAddress: options.policy?.localAddress,
      connectionsPerTarget,
      authority: tls.material?.authority,
    });
    const ledger = new LedgerTask({
      vm: { name: vm.name, boot },
      routing,
      peers,
      clock,
      logger,
      metrics,
    });
    const forwarder = new Forwarder({
      routing,
      secret: secrets.vm,
      tls,
      clock,
      metrics,
      region: vm.region,
    });
    const gateway = new Gateway({
      ledger,
      forwarder,
      redirectScheme: tls.listeners.has("callers") ? "https" : "http",
      routing,
      exchanges,
      capacity: options.policy?.capacity ?? credits.gate,
      choice: options.policy?.choice,
      random: randomSource(options.policy?.seed ?? randomInt(2 ** 31)),
      hedgeShare: options.policy?.hedgeShare,
      observations,
      dataCentre: vm.dataCentre,
      hasher: await createKeyHasher(),
      clock,
      logger,
      metrics,
      region: vm.region,
    });
    const peersListener = await openPeersListener({
      address: listen.peers,
      tls,
      secret: secrets.vm,
      control,
      services: [credits.addService, (registry) => ledger.addService(registry)],
      forwarded: (request, response) => {
        void gateway.serveForwarded(request, response);
      },
    });
    let stopping = false;
    const callers = await HttpListener.open({
      name: "callers",
      tls,
      address: listen.callers,
      handler: (request, response) => {
        void gateway.serve(request, response);
      },
    });
    const targets = await openTargetsListener({
      address: listen.targets,
      tls,
      secret: secrets.target,
      batcher: new AnnouncementBatcher({
        control: client(),
        vm: vm.name,
        clock,
        metrics,
      }),
    });
    const operators = await openOperatorsListener({
      address: listen.operators,
      tls,
      control: client(),
      routing,
      metrics,
      isReady: () =>
        !stopping && routing.hasLease && credits.isReady &&
        routing.table.isInService(vm.dataCentre),
    });
    logger.info("vm-started");
    return new Vm({
      logger,
      metrics,
      peers,
      control,
      routing,
      exchanges,
      ledger,
      forwarder,
      gateway,
      credits,
      callers,
      leaveMilliseconds: listen.leaveMilliseconds,
      listeners: [targets, operators, peersListener],
      markStopping: () => (stopping = true),
    });
  }

  /** Whether this VM routes by a table under a valid lease. */
  get hasLease(): boolean {
    return this.#parts.routing.hasLease;
  }

  /** Version and digest of the bundle that this VM routes by. */
  get bundle(): { readonly version: number; readonly digest: string } | null {
    return this.#parts.routing.table.bundle;
  }

  /** Finishes every request, hands over what this VM leads, and stops. */
  async stop(): Promise<void> {
    const parts = this.#parts;
    parts.markStopping();
    parts.logger.info("vm-stopping");
    await parts.ledger.synchronised(handOverMilliseconds);
    await Promise.all([
      parts.routing.leave(),
      parts.callers.drain({
        leastMilliseconds: parts.leaveMilliseconds,
        quietMilliseconds,
        mostMilliseconds: mostLeaveMilliseconds,
      }),
    ]);
    await parts.gateway.finished();
    parts.ledger.stop();
    parts.credits.stop();
    await parts.routing.stop();
    await parts.control?.stop().catch((failure) =>
      parts.logger.warn("control-stop-failed", {
        reason: describeFailure(failure),
      })
    );
    for (const listener of parts.listeners) listener.destroy();
    parts.peers.close();
    await parts.exchanges.close();
    await parts.forwarder.close();
    parts.logger.info("vm-stopped");
  }

  /** Ends everything at once, as a crash would; for tests. */
  async crash(): Promise<void> {
    const parts = this.#parts;
    parts.callers.destroy();
    parts.credits.stop();
    for (const listener of parts.listeners) listener.destroy();
    parts.peers.close();
    parts.ledger.stop();
    await Promise.allSettled([
      parts.exchanges.close(),
      parts.forwarder.close(),
      parts.routing.stop(),
      parts.control?.crash(),
    ]);
  }
}

function randomSource(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/** VMs that may lead control: the first voters, then all the others. */
function candidatesOf(settings: ResolvedSettings): readonly string[] {
  const { voters } = settings.control;
  const others = Object.keys(settings.peers).filter((each) =>
    !voters.includes(each)
  );
  return [...voters, ...others];
}

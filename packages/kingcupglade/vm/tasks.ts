import { randomInt } from "node:crypto";
import { createKeyHasher } from "@kingcupglade/ownership";
import { TargetObservations } from "@kingcupglade/routing";
import type { CapacityGate } from "@kingcupglade/routing";
import type { Clock } from "@kingcupglade/tasks";
import type { Logger } from "@kingcupglade/telemetry";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { ControlTask } from "../control/control_task.ts";
import { RoutingTask } from "../control/routing_task.ts";
import { Credits } from "../credits/credits.ts";
import { ExchangeClient } from "../gateway/exchange.ts";
import { Forwarder } from "../gateway/forwarder.ts";
import { Gateway } from "../gateway/gateway.ts";
import type { TargetChoice } from "../gateway/target_chooser.ts";
import { LedgerTask } from "../ledger/ledger_task.ts";
import type { VmContext } from "./context.ts";

const connectionsPerTarget = 110;

/** Policies and dependencies of a VM that measurements may replace. */
export interface VmPolicy {
  /** @default credits shared by the VMs */
  readonly capacity?: CapacityGate;
  /** @default nearest targets with free capacity, then the faster of two */
  readonly choice?: TargetChoice;
  /** Hedged requests allowed per request. @default 0.04 */
  readonly hedgeShare?: number;
  /** Local address of connections to targets. */
  readonly localAddress?: string;
  /** Address for forwarding requests to a VM. @default as that VM reports */
  readonly peerAddress?: (vm: string) => string;
  /** @default the monotonic clock of the process */
  readonly clock?: Clock;
  /** @default JSON lines on standard error */
  readonly logger?: Logger;
  /** Seed for the selection of targets. @default random */
  readonly seed?: number;
}

/** The tasks of one VM. */
export interface VmTasks {
  /** Undefined on a VM without a data folder. */
  readonly control: ControlTask | undefined;
  readonly routing: RoutingTask;
  readonly credits: Credits;
  readonly ledger: LedgerTask;
  readonly exchanges: ExchangeClient;
  readonly forwarder: Forwarder;
  readonly gateway: Gateway;
}

/**
 * Starts the tasks of a VM.
 *
 * @throws {StorageError} when the data folder belongs to another VM.
 */
export async function startTasks(
  context: VmContext,
  policy: VmPolicy,
): Promise<VmTasks> {
  const { settings, secrets, tls, boot } = context;
  const { vm } = settings;
  const control = await startControl(context);
  const routing = startRouting(context, control);
  const observations = new TargetObservations();
  const credits = new Credits({
    ...context,
    vm: vm.name,
    routing,
    observations,
    routingLeaseMilliseconds: settings.control.routingLeaseMilliseconds,
  });
  const exchanges = new ExchangeClient({
    localAddress: policy.localAddress,
    connectionsPerTarget,
    authority: tls.material?.authority,
  });
  const ledger = new LedgerTask({
    ...context,
    vm: { name: vm.name, boot },
    routing,
  });
  const forwarder = new Forwarder({
    ...context,
    routing,
    secret: secrets.vm,
    region: vm.region,
    peerAddress: policy.peerAddress,
  });
  const gateway = new Gateway({
    ...context,
    ledger,
    forwarder,
    routing,
    exchanges,
    observations,
    capacity: policy.capacity ?? credits.gate,
    choice: policy.choice,
    hedgeShare: policy.hedgeShare,
    random: createRandomSource(policy.seed ?? randomInt(2 ** 31)),
    hasher: await createKeyHasher(),
    dataCentre: vm.dataCentre,
    region: vm.region,
    redirectScheme: tls.listeners.has("callers") ? "https" : "http",
  });
  return { control, routing, credits, ledger, exchanges, forwarder, gateway };
}

async function startControl(
  context: VmContext,
): Promise<ControlTask | undefined> {
  const { settings, secrets, tls } = context;
  const folder = settings.vm.dataFolder;
  if (folder === undefined) return undefined;
  return await ControlTask.start({
    ...context,
    folder,
    targetSecret: secrets.target,
    authority: tls.material?.authority,
  });
}

function startRouting(
  context: VmContext,
  control: ControlTask | undefined,
): RoutingTask {
  const { settings, boot, createControlClient } = context;
  const { vm, listen } = settings;
  return new RoutingTask({
    ...context,
    vm: {
      name: vm.name,
      boot,
      dataCentre: vm.dataCentre,
      region: vm.region,
      peerAddress: listen.peers,
      callersAddress: listen.callers,
      replica: control?.replicaId ?? null,
    },
    control: createControlClient(),
  });
}

function createRandomSource(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

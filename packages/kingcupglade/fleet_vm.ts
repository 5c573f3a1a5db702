import { randomInt } from "node:crypto";
import { ControlVm } from "@kingcupglade/fleet_control";
import { GatewayVm } from "@kingcupglade/fleet_gateway";
import type { GatewayVmOptions } from "@kingcupglade/fleet_gateway";
import {
  PlatformCallerWire,
  PlatformControlWire,
} from "@kingcupglade/platform";
import { MonotonicClock } from "@kingcupglade/tasks";
import { createMetrics, describeFailure } from "@kingcupglade/telemetry";
import { HttpListener, splitAddress } from "@kingcupglade/transport";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { readCallerConnectionLimit } from "./connection_limit.ts";
import { FleetLog } from "./fleet_log.ts";
import { FleetRole } from "./settings/fleet_schema.ts";
import type {
  ResolvedControlSettings,
  ResolvedFleetSettings,
  ResolvedGatewaySettings,
} from "./settings/fleet_schema.ts";
import { readSecret } from "./settings/secrets.ts";

const millisecondsPerSecond = 1000;

/** Secret that VMs present to each other if none is configured. */
const defaultSecret = "unguarded";

interface RunningRole {
  setSeeds(seeds: readonly string[]): void;
  stop(): Promise<void>;
}

/** Time for a response with metrics to be sent at the end of a stop. */
const maximumScrapeMilliseconds = 40;

/** What a caller of {@link startFleetVm} may replace. */
export type FleetVmOverrides = Pick<GatewayVmOptions, "connectToTarget"> & {
  /**
   * Closed by the caller, after the VM.
   * @default a log of its own on standard output
   */
  readonly log?: FleetLog;
};

/** Components of a {@link FleetVm}. */
interface FleetVmComponents {
  readonly role: RunningRole;
  readonly log: FleetLog;
  /** Whether the VM closes its log when it stops. */
  readonly ownsLog: boolean;
  /** Undefined if the settings contain no address for metrics. */
  readonly metricsListener: HttpListener | undefined;
}

/** A running VM of a fleet. */
export class FleetVm {
  readonly #components: FleetVmComponents;

  constructor(parts: FleetVmComponents) {
    this.#components = parts;
  }

  /** Applies the settings that may change at run time: the seeds. */
  reload(settings: ResolvedFleetSettings): void {
    const { seeds } = settings.control;
    const { role, log: { logger } } = this.#components;
    role.setSeeds(seeds);
    logger.info("settings-reloaded", { seeds: seeds.join(",") });
  }

  /** Finishes all requests in progress and stops. */
  async stop(): Promise<void> {
    const { role, log, ownsLog, metricsListener } = this.#components;
    await role.stop();
    await metricsListener?.close({
      maximumMilliseconds: maximumScrapeMilliseconds,
    });
    if (ownsLog) await log.close();
  }
}

/**
 * Starts a VM of a fleet in the role that its settings specify. On a control VM,
 * `onFailure` is called after a failure that a restart of its replica does not
 * cure.
 *
 * @throws {SettingsError} when the secret file cannot be used.
 * @throws {StorageError} when the data folder cannot be used.
 * @throws {ListenError} when an address cannot be used.
 */
export async function startFleetVm(
  settings: ResolvedFleetSettings,
  onFailure: (failure: unknown) => void,
  { log: givenLog, ...overrides }: FleetVmOverrides = {},
): Promise<FleetVm> {
  const log = givenLog ?? new FleetLog(settings);
  const common = await createCommonOptions(settings, log);
  const role = isGatewaySettings(settings)
    ? await startGateway(settings, { ...common, ...overrides })
    : await startControl(settings, { ...common, onFailure });
  const metricsListener = await openMetricsListener(
    settings.listen.metrics,
    common,
  );
  const ownsLog = givenLog === undefined;
  return new FleetVm({ role, log, ownsLog, metricsListener });
}

function isGatewaySettings(
  settings: ResolvedFleetSettings,
): settings is ResolvedGatewaySettings {
  return settings.vm.role === FleetRole.gateway;
}

async function startGateway(
  settings: ResolvedGatewaySettings,
  common: CommonOptions & FleetVmOverrides,
): Promise<RunningRole> {
  const { callers, listen, retries, stop, dispatch, link } = settings;
  return await GatewayVm.start({
    ...common,
    callersAddress: listen.callers,
    readinessAddress: listen.readiness,
    maximumCallerConnections: await readCallerConnectionLimit(
      callers.fileDescriptors,
    ),
    concurrentPerConnection: callers.concurrentPerConnection,
    maximumWaitMilliseconds: callers.maximumWaitMilliseconds,
    linkMegabitsPerSecond: link.megabitsPerSecond,
    graceMilliseconds: stop.graceSeconds * millisecondsPerSecond,
    retryBudget: {
      ratio: retries.ratio,
      windowMilliseconds: retries.windowSeconds * millisecondsPerSecond,
      slack: retries.slack,
    },
    pacesTargets: dispatch.paceTargets,
    quotaWindowMilliseconds: settings.quotas.windowSeconds *
      millisecondsPerSecond,
    wire: new PlatformCallerWire(),
    random: createRandomSource(),
  });
}

async function startControl(
  settings: ResolvedControlSettings,
  common: CommonOptions & { readonly onFailure: (failure: unknown) => void },
): Promise<RunningRole> {
  const { vm, listen, advertise, control } = settings;
  return await ControlVm.start({
    ...common,
    folder: vm.dataFolder,
    controlAddress: advertise.control ?? listen.control,
    controlListenAddress: listen.control,
    mayFound: control.mayFound,
    toleratedLosses: control.toleratedLosses,
    heartbeatMilliseconds: control.heartbeatSeconds * millisecondsPerSecond,
    quotas: {
      windowMilliseconds: settings.quotas.windowSeconds *
        millisecondsPerSecond,
      overage: settings.quotas.overage,
      slack: settings.quotas.slack,
    },
    wire: new PlatformControlWire(),
  });
}

type CommonOptions = Awaited<ReturnType<typeof createCommonOptions>>;

async function createCommonOptions(
  settings: ResolvedFleetSettings,
  { logger }: FleetLog,
) {
  const { vm, listen, advertise, control, regions, security, workspaces } =
    settings;
  const { revokeSeconds } = workspaces;
  return {
    name: vm.name,
    dataCentre: vm.dataCentre,
    region: vm.region,
    peerAddress: advertise.peers ?? listen.peers,
    peerListenAddress: listen.peers,
    localAddress: bindsConnections(settings)
      ? splitAddress(listen.peers).host
      : undefined,
    seeds: control.seeds,
    regions,
    ...(revokeSeconds !== undefined &&
      { revokeMilliseconds: revokeSeconds * millisecondsPerSecond }),
    secret: security.vmSecretFile === undefined
      ? defaultSecret
      : await readSecret("security.vmSecretFile", security.vmSecretFile),
    clock: new MonotonicClock(),
    metrics: createMetrics(),
    logger,
  };
}

// The other side then sees which VM calls, whatever the routes of the system.
function bindsConnections({ advertise }: ResolvedFleetSettings): boolean {
  const { bindConnections, ...addresses } = advertise;
  return bindConnections ??
    Object.values(addresses).some((address) => address !== undefined);
}

async function openMetricsListener(
  address: string | undefined,
  { metrics: { registry }, logger }: Pick<CommonOptions, "metrics" | "logger">,
): Promise<HttpListener | undefined> {
  if (address === undefined) return undefined;
  return await HttpListener.open({
    name: "metrics",
    address,
    handler: (_request, response) => {
      registry.metrics().then((text) => {
        response.writeHead(200, { "content-type": registry.contentType });
        response.end(text);
      }).catch((failure) => {
        logger.error("metrics-failed", { reason: describeFailure(failure) });
        response.destroy();
      });
    },
  });
}

function createRandomSource(): () => number {
  const generator = xoroshiro128plus(randomInt(2 ** 31));
  return () => uniformFloat64(generator);
}

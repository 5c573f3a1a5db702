import { randomUUID } from "node:crypto";
import { MonotonicClock } from "@kingcupglade/tasks";
import type { Clock } from "@kingcupglade/tasks";
import { createLogger, createMetrics } from "@kingcupglade/telemetry";
import type { Logger, Metrics } from "@kingcupglade/telemetry";
import { ControlClient } from "../control/control_client.ts";
import { PeerDirectory } from "../control/peers.ts";
import type { ResolvedSettings } from "../settings/schema.ts";
import { readSecrets } from "../settings/secrets.ts";
import type { Secrets } from "../settings/secrets.ts";
import { readTls } from "../settings/tls.ts";
import type { ResolvedTls } from "../settings/tls.ts";
import type { VmPolicy } from "./tasks.ts";

/** Services and settings shared by all tasks and listeners of a VM. */
export interface VmContext {
  readonly settings: ResolvedSettings;
  readonly secrets: Secrets;
  readonly tls: ResolvedTls;
  /** Random ID of this process start. */
  readonly boot: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly peers: PeerDirectory;
  /** Creates a client for the control leader. */
  readonly createControlClient: () => ControlClient;
}

/**
 * Reads secrets and certificates and creates the shared services.
 *
 * @throws {SettingsError} when a file that the settings name cannot be used.
 */
export async function createVmContext(
  settings: ResolvedSettings,
  policy: Pick<VmPolicy, "clock" | "logger"> = {},
): Promise<VmContext> {
  const { vm, log } = settings;
  const secrets = await readSecrets(settings);
  const tls = await readTls(settings);
  const clock = policy.clock ?? new MonotonicClock();
  const peers = new PeerDirectory({
    addresses: settings.peers,
    secret: secrets.vm,
    tls,
  });
  return {
    settings,
    secrets,
    tls,
    boot: randomUUID(),
    clock,
    logger: policy.logger ?? createLogger({
      fields: { vm: vm.name, dataCentre: vm.dataCentre },
      level: log.level,
    }),
    metrics: createMetrics(),
    peers,
    createControlClient: () =>
      new ControlClient({
        peers,
        candidates: listLeaderCandidates(settings),
        clock,
      }),
  };
}

/** Returns the VMs that may lead control: initial voters first. */
function listLeaderCandidates(settings: ResolvedSettings): readonly string[] {
  const { voters } = settings.control;
  const others = Object.keys(settings.peers).filter((each) =>
    !voters.includes(each)
  );
  return [...voters, ...others];
}

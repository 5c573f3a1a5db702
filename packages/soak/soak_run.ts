import { mkdir } from "node:fs/promises";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { AttemptMonitor } from "./attempt_monitor.ts";
import type { AttemptEnd } from "./attempt_monitor.ts";
import { ContactRecord } from "./contact_record.ts";
import { delay, FaultInjector } from "./fault_injector.ts";
import { LoadGenerator } from "./load_generator.ts";
import type { CalledGateway } from "./load_generator.ts";
import { Operator } from "./operator.ts";
import { startWithEarlyReload } from "./process_faults.ts";
import { measureStartupMilliseconds } from "./processor_time.ts";
import { createRoleProcess, RolePort } from "./role_process.ts";
import type { ProcessLife } from "./process_life.ts";
import { RouteProber } from "./route_prober.ts";
import type { ServerProcess } from "./server_process.ts";
import { InvariantMonitor } from "./invariant_monitor.ts";
import { SoakTarget } from "./soak_target.ts";
import { WorkspaceSoak } from "./workspace_soak.ts";
import type { WorkspaceCounts } from "./workspace_soak.ts";

const controlVmCount = 3;
/** Minimum number of gateways for which gateways manage the targets' slots. */
const gatewayVmCount = 5;
const targetsPerService = 3;
const toleratedLosses = 1;
const startupTimeoutMilliseconds = 20_000;
/** Names a limit of requests, far below what it would receive without one. */
const limitedTarget = "catalogue-0";
const maximumPerSecond = 3;
/** Covers an election, the expiry of holds and a heartbeat after the faults. */
const recoveryMilliseconds = 8000;
const faultFreeMilliseconds = 2000;
/** End of the recovery, in which every change comes into force. */
const changeFreeMilliseconds = 2500;
/** Time after the faults in which all VMs are in touch again. */
const settleMilliseconds = 3000;
/** Targets that a request which ends them may reach after that. */
const maximumLateCrashes = 3;
/** Minimum share of requests that is served in the fault-free period. */
const minimumServedShare = 0.95;

/** Time after which a signal has ended a process that does not handle it. */
const signalMilliseconds = 200;
const faultSeedOffset = 1_000_000;
const operatorSeedOffset = 2_000_000;
const workspaceSeedOffset = 3_000_000;

/** Options of {@link runSoak}. */
export interface SoakOptions {
  readonly seed: number;
  /** Duration of the period with faults. */
  readonly milliseconds: number;
  /** Path of the bundled program. */
  readonly bundle: string;
  /** Folder for settings, data folders and logs. */
  readonly folder: string;
  /** First three octets of the loopback addresses. */
  readonly prefix: string;
}

/** Result of a soak run. */
export interface SoakResult {
  readonly seed: number;
  readonly asked: number;
  readonly served: number;
  /** Probes of gateways that were in contact, which were judged. */
  readonly probed: number;
  /** Runs of callers that had left, which were judged. */
  readonly left: number;
  readonly workspaces: WorkspaceCounts;
  /** How the requests ended. */
  readonly ends: Readonly<Record<AttemptEnd, number>>;
  readonly faults: readonly string[];
  readonly violations: readonly string[];
}

/** Runs the program as processes, injects faults and checks the invariants. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const fleet = await SoakFleet.create(options);
  try {
    return await fleet.run(options.milliseconds);
  } finally {
    await fleet.end();
  }
}

class SoakFleet {
  readonly #options: SoakOptions;
  readonly #control: ServerProcess[] = [];
  readonly #gateways: ServerProcess[] = [];
  readonly #targets: SoakTarget[] = [];
  readonly #monitor = new InvariantMonitor();
  readonly #attempts = new AttemptMonitor();
  readonly #loadGenerator: LoadGenerator;
  readonly #operator: Operator;
  readonly #prober: RouteProber;
  readonly #workspaces: WorkspaceSoak;
  /** Random numbers of the callers and targets, whose order is not seeded. */
  readonly #random: () => number;
  readonly #faultRandom: () => number;

  protected constructor(options: SoakOptions) {
    this.#options = options;
    this.#random = createRandomSource(options.seed);
    this.#faultRandom = createRandomSource(options.seed + faultSeedOffset);
    this.#loadGenerator = new LoadGenerator({
      gateways: this.#calledGateways,
      monitor: this.#monitor,
      attempts: this.#attempts,
      limitedTarget,
      random: this.#random,
    });
    this.#operator = new Operator({
      control: this.#controlAddresses,
      random: createRandomSource(options.seed + operatorSeedOffset),
    });
    this.#prober = new RouteProber({
      gateways: this.#calledGateways,
      places: this.#operator.places,
      history: this.#operator.history,
      monitor: this.#monitor,
      random: this.#random,
    });
    this.#workspaces = new WorkspaceSoak({
      control: this.#controlAddresses,
      gateways: this.#calledGateways,
      monitor: this.#monitor,
      attempts: this.#attempts,
      limitedTarget,
      folder: options.folder,
      random: this.#random,
      operatorRandom: createRandomSource(options.seed + workspaceSeedOffset),
    });
  }

  static async create(options: SoakOptions): Promise<SoakFleet> {
    const fleet = new SoakFleet(options);
    await fleet.#createProcessesAndTargets();
    return fleet;
  }

  async run(milliseconds: number): Promise<SoakResult> {
    await this.#startProcesses();
    await this.#operator.applyInitialConfiguration(startupTimeoutMilliseconds);
    for (const target of this.#targets) await target.start();
    await this.#loadGenerator.waitUntilServed(startupTimeoutMilliseconds);
    await this.#workspaces.create(startupTimeoutMilliseconds);
    this.#workspaces.start();
    this.#loadGenerator.start();
    this.#operator.start();
    this.#prober.start();
    const pausedGateway = this.#gateways[this.#options.seed % gatewayVmCount]!;
    await this.#workspaces.prepareLongPause(pausedGateway.name);
    const faultInjector = new FaultInjector({
      control: this.#control,
      gateways: this.#gateways,
      targets: this.#targets,
      onProcessFault: (name, isFaulty) => this.#recordFault(name, isFaulty),
      onPause: (name) => this.#loadGenerator.callAndLeave(name),
      onStop: (name) => this.#loadGenerator.pressUntilGone(name),
      longPause: {
        gateway: pausedGateway,
        waitUntilOver: () =>
          this.#workspaces.revokeWhilePaused(pausedGateway.name),
      },
      random: this.#faultRandom,
    });
    await faultInjector.run(milliseconds);
    const settledAt = performance.now() + settleMilliseconds;
    await delay(recoveryMilliseconds - changeFreeMilliseconds);
    const [wrongResponses] = await Promise.all([
      this.#operator.stopRouteChanges(),
      this.#workspaces.stopChanges(),
    ]);
    await delay(changeFreeMilliseconds);
    const faultFreeFrom = performance.now();
    const before = [this.#monitor.requestCount, this.#monitor.servedCount];
    await delay(faultFreeMilliseconds);
    await this.#loadGenerator.stop();
    await this.#prober.stop();
    await this.#workspaces.stop();
    const sentCount = this.#monitor.requestCount - before[0]!;
    const served = this.#monitor.servedCount - before[1]!;
    const violations = [
      ...this.#monitor.violations,
      ...this.#monitor.departures.findViolations(),
      ...wrongResponses,
      ...this.#operator.history.findViolations(this.#contacts),
      ...this.#lives.flatMap((life) => life.violations),
      ...this.#attempts.findViolations(this.#lives),
      ...(served < sentCount * minimumServedShare
        ? [
          `only ${served} of ${sentCount} requests were served after the faults`,
        ]
        : []),
      ...this.#findLateCrashes(settledAt),
      ...await this.#operator.findLostUpdates(),
      ...await this.#workspaces.findViolations({
        contacts: this.#contacts,
        settledAt,
        gatewayExitAt: Math.max(
          ...this.#gateways.flatMap(({ lives }) =>
            lives.map(({ exit }) => exit?.at ?? -Infinity)
          ),
        ),
        faultFreeFrom,
        controlLogs: this.#control.map(({ logFile }) => logFile),
      }),
    ];
    await this.end();
    violations.push(...await this.#workspaces.findSecrets());
    return {
      seed: this.#options.seed,
      asked: this.#monitor.requestCount,
      served: this.#monitor.servedCount,
      probed: this.#operator.history.judgedCount,
      left: this.#monitor.departures.judgedCount,
      workspaces: this.#workspaces.counts,
      ends: this.#attempts.counts,
      faults: faultInjector.log,
      violations: violations.map((each) =>
        `seed ${this.#options.seed}: ${each}`
      ),
    };
  }

  /** Starts all processes; one that a signal ended is started again. */
  async #startProcesses(): Promise<void> {
    const processes = this.#processes;
    // Measured now, as it blocks this process.
    measureStartupMilliseconds(this.#options.bundle);
    await Promise.all(
      processes.map((each) => startWithEarlyReload(each, this.#faultRandom)),
    );
    await delay(signalMilliseconds);
    for (const each of processes) each.start();
  }

  get #processes(): readonly ServerProcess[] {
    return [...this.#control, ...this.#gateways];
  }

  get #lives(): readonly ProcessLife[] {
    return this.#processes.flatMap(({ lives }) => lives);
  }

  get #contacts(): ContactRecord {
    return new ContactRecord({
      gateways: new Map(this.#gateways.map(({ name, lives }) => [name, lives])),
      control: this.#control.map(({ lives }) => lives),
    });
  }

  // By then, three targets have ended and all gateways are in touch.
  #findLateCrashes(settledAt: number): readonly string[] {
    const late = this.#monitor.crashes.filter((at) => at > settledAt);
    return late.length > maximumLateCrashes
      ? [`a request ended ${late.length} targets after the faults`]
      : [];
  }

  #recordFault(name: string, isFaulty: boolean): void {
    const index = this.#gateways.findIndex((each) => each.name === name);
    if (index >= 0) {
      this.#monitor.recordFault(this.#gatewayAddresses[index]!, isFaulty);
    }
  }

  /** Stops callers, operator and targets and kills all processes. */
  async end(): Promise<void> {
    await this.#loadGenerator.stop();
    await this.#prober.stop();
    await this.#workspaces.stop();
    this.#operator.stop();
    for (const target of this.#targets) target.end();
    await Promise.all(
      this.#processes.map((each) => each.end("SIGKILL")),
    );
  }

  get #calledGateways(): readonly CalledGateway[] {
    return this.#gatewayAddresses.map((address, index) => ({
      name: createName("gateway", index),
      address,
    }));
  }

  get #gatewayAddresses(): readonly string[] {
    return this.#createAddresses(gatewayVmCount, 11, RolePort.callers);
  }

  get #controlAddresses(): readonly string[] {
    return this.#createAddresses(controlVmCount, 1, RolePort.control);
  }

  #createAddresses(
    count: number,
    first: number,
    port: number,
  ): readonly string[] {
    return Array.from(
      { length: count },
      (_, index) => `${this.#options.prefix}.${first + index}:${port}`,
    );
  }

  async #createProcessesAndTargets(): Promise<void> {
    await mkdir(this.#options.folder, { recursive: true });
    await this.#workspaces.writeSecret();
    for (const [index, address] of this.#controlAddresses.entries()) {
      this.#control.push(await this.#createProcess("control", index, address));
    }
    for (const [index, address] of this.#gatewayAddresses.entries()) {
      this.#gateways.push(await this.#createProcess("gateway", index, address));
    }
    for (const [serviceIndex, service] of ["catalogue", "stock"].entries()) {
      for (let index = 0; index < targetsPerService; index += 1) {
        const name = `${service}-${index}`;
        this.#targets.push(
          new SoakTarget({
            name,
            ...(name === limitedTarget && { maximumPerSecond }),
            service,
            isKeyed: service === "stock",
            address: `${this.#options.prefix}.${
              21 + serviceIndex * 10 + index
            }:8400`,
            control: this.#controlAddresses,
            monitor: this.#monitor,
            workspaces: this.#workspaces.monitors,
            random: this.#random,
          }),
        );
      }
    }
  }

  #createProcess(
    role: "control" | "gateway",
    index: number,
    address: string,
  ): Promise<ServerProcess> {
    const { folder, bundle } = this.#options;
    return createRoleProcess({
      role,
      name: createName(role, index),
      ip: address.split(":")[0]!,
      seeds: this.#controlAddresses,
      toleratedLosses,
      sections: this.#workspaces.sections,
      folder,
      bundle,
    });
  }
}

function createName(role: "control" | "gateway", index: number): string {
  return `${role}-${index}`;
}

function createRandomSource(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / 2 ** 32;
}

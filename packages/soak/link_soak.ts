import { mkdir } from "node:fs/promises";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { LateHandling } from "./configuration_history.ts";
import { delay } from "./fault_injector.ts";
import { InvariantMonitor } from "./invariant_monitor.ts";
import { LeaderReader } from "./leader_changes.ts";
import { LeaveRecord } from "./leave_record.ts";
import type { LateRun } from "./leave_record.ts";
import { LinkChanges } from "./link_changes.ts";
import { LinkContacts, LinkFaultKind } from "./link_contact.ts";
import { LinkFaults, unexcused } from "./link_faults.ts";
import type { LinkDisturbance } from "./link_contact.ts";
import type { LinkScenario } from "./link_faults.ts";
import { LinkNetwork } from "./link_proxy.ts";
import type { ProxiedVm } from "./link_proxy.ts";
import type { CalledGateway } from "./load_generator.ts";
import { createRoleProcess, RolePort } from "./role_process.ts";
import type { ServerProcess } from "./server_process.ts";
import { SoakTarget } from "./soak_target.ts";

const controlVmCount = 5;
const gatewayVmCount = 9;
const toleratedLosses = 2;
const services = ["catalogue", "stock"];
const targetsPerService = 6;
const startupTimeoutMilliseconds = 20_000;
/** Time for new targets and routes to come into use before the first fault. */
const warmUpMilliseconds = 2500;
/** Covers the judgement of what was acknowledged during the last fault. */
const settleMilliseconds = 3500;
const leaveIntervalMilliseconds = 900;
/** A target that leaves serves on for this long. */
const serveOnMilliseconds = 8000;
const removedShare = 0.5;
const faultSeedOffset = 1_000_000;
/** Last octets of the addresses of the first VM or target of a kind. */
const FirstOctet = {
  control: 1,
  gateway: 31,
  proxy: 101,
  target: 120,
} as const;
const targetAddressCount = 130;

/** Options of {@link runLinkSoak}. */
export interface LinkSoakOptions {
  readonly seed: number;
  /** Duration of the period with faults. */
  readonly milliseconds: number;
  /** Path of the bundled program. */
  readonly bundle: string;
  /** Folder for settings, data folders and logs. */
  readonly folder: string;
  /** First three octets of the loopback addresses. */
  readonly prefix: string;
  /** The only faults. @default all */
  readonly scenarios?: readonly LinkScenario[] | undefined;
  /**
   * Number of routes that are changed in turn. Each is first added, which a
   * gateway without contact does not show. @default 40
   */
  readonly routeCount?: number | undefined;
}

/** Result of a soak run with faults of links. */
export interface LinkSoakResult {
  readonly seed: number;
  readonly faults: readonly string[];
  /** Requests that showed the configuration of a gateway in contact. */
  readonly probed: number;
  /** Targets whose leave was acknowledged. */
  readonly left: number;
  /** What was handled late, whether it is excused or not. */
  readonly lateHandlings: readonly LateHandling[];
  readonly lateRuns: readonly LateRun[];
  /** Number of times that a control VM became the leader. */
  readonly elections: number;
  /** Lengths of the stalls of this process, which excuse what is judged. */
  readonly stalls: readonly number[];
  readonly violations: readonly string[];
}

/**
 * Runs the program as processes whose links fail, and checks that changes of
 * routes and leaves of targets come into force in time.
 */
export async function runLinkSoak(
  options: LinkSoakOptions,
): Promise<LinkSoakResult> {
  const fleet = new LinkSoakFleet(options);
  try {
    return await fleet.run();
  } finally {
    await fleet.end();
  }
}

class LinkSoakFleet {
  readonly #options: LinkSoakOptions;
  readonly #control: readonly ProxiedVm[];
  readonly #gateways: readonly CalledGateway[];
  readonly #network: LinkNetwork;
  readonly #monitor = new InvariantMonitor();
  readonly #leaves: LeaveRecord;
  readonly #changes: LinkChanges;
  readonly #processes: ServerProcess[] = [];
  readonly #targets: SoakTarget[] = [];
  readonly #random: () => number;
  #isStopped = false;

  constructor(options: LinkSoakOptions) {
    this.#options = options;
    this.#random = createRandomSource(options.seed);
    this.#control = Array.from({ length: controlVmCount }, (_, index) => ({
      name: `control-${index}`,
      ip: this.#ip(FirstOctet.control + index),
      proxyIp: this.#ip(FirstOctet.proxy + index),
    }));
    this.#gateways = Array.from({ length: gatewayVmCount }, (_, index) => ({
      name: `gateway-${index}`,
      address: `${this.#ip(FirstOctet.gateway + index)}:${RolePort.callers}`,
    }));
    this.#network = new LinkNetwork({
      callers: this.#gateways.map(({ name, address }) => ({
        name,
        ip: address.split(":")[0]!,
      })),
      called: this.#control,
    });
    this.#leaves = new LeaveRecord({
      gatewayOf: (id) => {
        const address = this.#monitor.gatewayOf(id);
        return this.#gateways.find((each) => each.address === address)?.name ??
          "";
      },
    });
    this.#changes = new LinkChanges({
      gateways: this.#gateways,
      control: this.#controlAddresses,
      services,
      monitor: this.#monitor,
      random: this.#random,
      routeCount: options.routeCount,
    });
  }

  async run(): Promise<LinkSoakResult> {
    await this.#startVms();
    await this.#changes.applyFirst(startupTimeoutMilliseconds);
    for (let count = 0; count < targetsPerService * services.length; count++) {
      await this.#startTarget();
    }
    this.#changes.start();
    const replaced = this.#replaceTargets();
    await delay(warmUpMilliseconds);
    const { seed, milliseconds, scenarios } = this.#options;
    const leaders = new LeaderReader(
      new Map(
        this.#processes.slice(0, controlVmCount).map((each) => [
          each.name,
          each.logFile,
        ]),
      ),
    );
    const faults = new LinkFaults({
      network: this.#network,
      control: this.#control.map(({ name }) => name),
      gateways: this.#gateways.map(({ name }) => name),
      nextAcknowledgement: () => this.#changes.nextAcknowledgement(),
      findLeader: () => leaders.read(),
      scenarios,
      random: createRandomSource(seed + faultSeedOffset),
    });
    await faults.run(milliseconds);
    await delay(settleMilliseconds);
    this.#isStopped = true;
    await Promise.all([this.#changes.stop(), replaced]);
    leaders.read();
    const contacts = new LinkContacts({
      control: this.#control.map(({ name }) => name),
      disturbances: this.#excusingDisturbances,
    });
    const { history } = this.#changes;
    const violations = [
      ...history.findViolations(contacts),
      ...this.#leaves.findViolations(contacts),
      ...this.#monitor.violations,
      ...this.#processes.flatMap(({ lives }) => lives).filter(({ exit }) =>
        exit !== undefined
      ).map((life) => `${life.describe()} ended by itself`),
    ];
    return {
      seed,
      faults: faults.log,
      probed: history.judgedCount,
      left: this.#leaves.count,
      lateHandlings: history.findLateHandlings(),
      lateRuns: this.#leaves.lateRuns,
      elections: leaders.count,
      stalls: this.#network.stalls,
      violations: violations.map((each) => `seed ${seed}: ${each}`),
    };
  }

  async end(): Promise<void> {
    this.#isStopped = true;
    for (const each of this.#targets) each.end();
    await Promise.all(this.#processes.map((each) => each.end("SIGKILL")));
    this.#network.close();
  }

  #ip(lastOctet: number): string {
    return `${this.#options.prefix}.${lastOctet}`;
  }

  /** Disturbances after which a gateway may be late. */
  get #excusingDisturbances(): readonly LinkDisturbance[] {
    const { disturbances } = this.#network;
    const { scenarios } = this.#options;
    return scenarios?.every((each) => unexcused.includes(each))
      ? disturbances.filter(({ kind }) => kind !== LinkFaultKind.cut)
      : disturbances;
  }

  // Operators and targets reach control VMs directly.
  get #controlAddresses(): readonly string[] {
    return this.#control.map(({ ip }) => `${ip}:${RolePort.control}`);
  }

  async #startVms(): Promise<void> {
    const { folder, bundle } = this.#options;
    await mkdir(folder, { recursive: true });
    const common = {
      seeds: this.#control.map(({ proxyIp }) =>
        `${proxyIp}:${RolePort.control}`
      ),
      toleratedLosses,
      folder,
      bundle,
    };
    for (const vm of this.#control) {
      await this.#network.open(vm, RolePort.peers);
      const { name, ip, proxyIp } = vm;
      const sections = `[advertise]\npeers = ${proxyIp}:${RolePort.peers}\n`;
      this.#processes.push(
        await createRoleProcess({
          ...common,
          role: "control",
          name,
          ip,
          sections,
        }),
      );
    }
    for (const { name, address } of this.#gateways) {
      this.#processes.push(
        await createRoleProcess({
          ...common,
          role: "gateway",
          name,
          ip: address.split(":")[0]!,
          sections: "[advertise]\nbindConnections = true\n",
        }),
      );
    }
    for (const each of this.#processes) each.start();
  }

  async #startTarget(): Promise<void> {
    const index = this.#targets.length;
    const service = services[index % services.length]!;
    const octet = FirstOctet.target + index % targetAddressCount;
    const target = new SoakTarget({
      name: `${service}-${index}`,
      service,
      isKeyed: false,
      address: `${this.#ip(octet)}:8400`,
      control: this.#controlAddresses,
      monitor: this.#monitor,
      leaves: this.#leaves,
      random: this.#random,
    });
    this.#targets.push(target);
    await target.start();
  }

  /** Lets a target leave, and starts another one in its place, repeatedly. */
  async #replaceTargets(): Promise<void> {
    for (let index = 0; !this.#isStopped; index += 1) {
      await delay(leaveIntervalMilliseconds);
      const target = this.#targets[index]!;
      await this.#startTarget();
      const isRemoved = this.#random() < removedShare;
      const serveOn = () => delay(serveOnMilliseconds);
      void target.leave(isRemoved).then(serveOn).then(() => target.end());
    }
  }
}

function createRandomSource(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / 2 ** 32;
}

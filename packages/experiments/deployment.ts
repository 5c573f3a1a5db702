import { randomBytes, randomInt } from "node:crypto";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { createOperatorKey, signBundle } from "@kingcupglade/bundle";
import type { SignedBundle } from "@kingcupglade/bundle";
import { FakeCaller, FakeTarget, History } from "@kingcupglade/fakes";
import type { FakeTargetOptions } from "@kingcupglade/fakes";
import type { ControlStatus, VmOptions } from "kingcupglade";
import { DeploymentLinks } from "./deployment_links.ts";
import type {
  DataCentreDescription,
  DeploymentOptions,
} from "./deployment_options.ts";
import { listenersAt, settingsText } from "./deployment_settings.ts";
import type { Listeners } from "./deployment_settings.ts";
import { ResidencyRecorder } from "./residency_recorder.ts";
import { VmProcess } from "./vm_process.ts";
import { isReady, postBundle, readStatus } from "./operator_requests.ts";

const firstTargetPort = 8500;
const stableMilliseconds = 2000;
const maximumStableAttempts = 20;
/** Long, as the VMs may elect a leader several times on a busy machine. */
const conditionTimeoutMilliseconds = 120_000;

/** VMs and fake targets on loopback addresses, all in this process. */
export class Deployment {
  readonly history = new History();
  readonly caller = new FakeCaller({ history: this.history });
  readonly #options: DeploymentOptions;
  readonly #folder: string;
  readonly #network: string;
  readonly #secret = randomBytes(24).toString("hex");
  readonly #operator = createOperatorKey();
  readonly #vms = new Map<string, VmProcess>();
  readonly #targets = new Map<string, FakeTarget>();
  readonly #residency: ResidencyRecorder;
  #links: DeploymentLinks | undefined;
  #bundleVersion = 0;
  #nextTargetHost = 1;

  protected constructor(options: DeploymentOptions, folder: string) {
    this.#options = options;
    this.#folder = folder;
    this.#residency = new ResidencyRecorder({
      history: this.history,
      services: namesOf(options.content["services"]),
      tenants: namesOf(options.content["tenants"]),
      regionOf: (vm) => this.#regionOf(vm),
    });
    this.#network = `127.${randomInt(1, 255)}.${randomInt(0, 255)}`;
  }

  /** Writes the settings files and starts every VM. */
  static async start(options: DeploymentOptions): Promise<Deployment> {
    const deployment = await Deployment.prepare(options);
    await deployment.startAll();
    return deployment;
  }

  /** Writes the settings files without starting a VM. */
  static async prepare(options: DeploymentOptions): Promise<Deployment> {
    const folder = await mkdtemp(join(tmpdir(), "kingcupglade-"));
    const deployment = new Deployment(options, folder);
    await deployment.#prepareVms();
    return deployment;
  }

  /** Starts every VM. */
  async startAll(): Promise<void> {
    await Promise.all(this.vmNames.map((name) => this.startVm(name)));
  }

  /** Folder that contains the settings files and the data folders. */
  get folder(): string {
    return this.#folder;
  }

  /** The secret that VMs and targets present. */
  get secret(): string {
    return this.#secret;
  }

  /** Content of the bundle without version, operators and data centres. */
  get content(): Readonly<Record<string, unknown>> {
    return this.#options.content;
  }

  /** Names of the VMs. */
  get vmNames(): readonly string[] {
    return [...this.#vms.keys()];
  }

  /** Names of the VMs that are running. */
  get runningVms(): readonly string[] {
    return [...this.#vms].filter(([, each]) => each.vm).map(([name]) => name);
  }

  /** The targets by name. */
  get targets(): ReadonlyMap<string, FakeTarget> {
    return this.#targets;
  }

  /**
   * The links that can be cut. @throws {Error} Unless started with `withLinks`.
   */
  get links(): DeploymentLinks {
    if (!this.#links) {
      throw new Error("the deployment was started without links");
    }
    return this.#links;
  }

  /** Returns the VMs in the data centres that satisfy a condition. */
  vmsWhere(
    condition: (dataCentre: DataCentreDescription) => boolean,
  ): readonly string[] {
    const chosen = this.#options.dataCentres.filter(condition);
    return this.vmNames.filter((vm) =>
      chosen.some((each) => each.name === this.#options.vms[vm])
    );
  }

  /** Returns the data centre of the VM with an IP address. */
  dataCentreOf(ip: string): DataCentreDescription | undefined {
    const vm = [...this.#vms].find(([, each]) => each.ip === ip)?.[0];
    const name = vm && this.#options.vms[vm];
    return this.#options.dataCentres.find((each) => each.name === name);
  }

  /** Callers' listener of a VM. */
  callersAddress(vm: string): string {
    return this.#links?.callersAddress(vm) ?? this.listenersOf(vm).callers;
  }

  /** Operators' listener of a VM. */
  operatorsAddress(vm: string): string {
    return this.listenersOf(vm).operators;
  }

  /** Starts or restarts a VM; does nothing if it runs. */
  startVm(name: string): Promise<void> {
    return this.#vm(name).start(() => ({
      ...this.#linkPolicy(name),
      ...this.#options.policy?.(name),
    }));
  }

  #linkPolicy(name: string): VmOptions["policy"] {
    const links = this.#links;
    return links && {
      clock: links.createClock(name),
      logger: this.#residency.logger(name),
      peerAddress: (to) => links.peerAddress(name, to),
    };
  }

  /** Stops a VM with a planned stop. */
  stopVm(name: string): Promise<void> {
    return this.#vm(name).stop(this.callersAddress(name));
  }

  /** Crashes a VM. */
  crashVm(name: string): Promise<void> {
    return this.#vm(name).crash();
  }

  /**
   * Simulates a pause of the process of a VM; returns a function that resumes
   * it.
   */
  pauseVm(name: string): () => void {
    this.#vm(name).recordFault("freeze");
    const resume = this.links.pause(name);
    return () => {
      resume();
      this.#vm(name).recordFault("thaw");
    };
  }

  /** Records the bundle by which each running VM routes. */
  recordTables(): void {
    for (const [name, { vm }] of this.#vms) {
      if (!vm || this.#links?.isPaused(name)) continue;
      this.history.record({
        kind: "tableObserved",
        vm: name,
        hasLease: vm.hasLease,
        version: vm.bundle?.version ?? 0,
        digest: vm.bundle?.digest ?? "",
      });
    }
  }

  /** Records the claims that each running VM stores. */
  recordClaims(): void {
    for (const [name, { vm }] of this.#vms) {
      if (vm) this.#residency.recordClaims(name, vm.storedClaims);
    }
  }

  /** Starts a fake target. */
  async addTarget(
    options:
      & Pick<FakeTargetOptions, "name" | "service" | "dataCentre">
      & Partial<FakeTargetOptions>,
  ): Promise<FakeTarget> {
    const host = this.#nextTargetHost++;
    const target = new FakeTarget({
      address: `${this.#network}.${100 + (host % 150)}:${
        firstTargetPort + Math.floor(host / 150)
      }`,
      announceAddresses: this.vmNames.map((vm) =>
        this.#links?.targetsAddress(vm) ?? this.listenersOf(vm).targets
      ),
      untilDelivered: (ip) => this.#links?.whenTargetsReachable(ip),
      secret: this.#secret,
      history: this.history,
      ...options,
    });
    this.#targets.set(options.name, target);
    await target.start();
    return target;
  }

  /**
   * Signs and rolls the next bundle; `changes` replaces parts of its content.
   */
  async roll(changes: Readonly<Record<string, unknown>> = {}): Promise<number> {
    this.#bundleVersion += 1;
    const signed = this.signBundle(this.#bundleVersion, changes);
    for (let attempt = 0; attempt < 100; attempt += 1) {
      const status = await this.sendBundle(signed, this.vmNames[0]!);
      if (status === 200) return this.#bundleVersion;
      if (status !== 503) throw new Error(`roll failed, status ${status}`);
      await pause(100);
    }
    throw new Error("no control leader accepted the bundle");
  }

  /** Creates a signed bundle of the deployment. */
  signBundle(
    version: number,
    changes: Readonly<Record<string, unknown>> = {},
  ): SignedBundle {
    const document = {
      version,
      operators: [{ name: "operator", publicKey: this.#operator.publicKey }],
      dataCentres: this.#options.dataCentres,
      ...this.#options.content,
      ...changes,
    };
    return signBundle({ document, signatures: [] }, {
      operator: "operator",
      privateKey: this.#operator.privateKey,
    });
  }

  /** Sends a signed bundle to a VM; returns the status of the response. */
  sendBundle(signed: SignedBundle, vm: string): Promise<number> {
    return postBundle(this.operatorsAddress(vm), signed);
  }

  /** Requests the control leader's status of the deployment through a VM. */
  status(vm = this.#firstRunningVm()): Promise<ControlStatus> {
    return readStatus(this.operatorsAddress(vm));
  }

  /** Waits until a VM reports to the load balancer that it accepts callers. */
  async untilReady(vm: string): Promise<void> {
    const until = performance.now() + conditionTimeoutMilliseconds;
    while (performance.now() < until) {
      if (await isReady(this.operatorsAddress(vm))) return;
      await pause(50);
    }
    throw new Error(`${vm} did not become ready`);
  }

  /** Waits until no range, VM or target has changed for 2 s. */
  async untilStable(): Promise<ControlStatus> {
    let last = await this.status();
    for (let attempt = 0; attempt < maximumStableAttempts; attempt += 1) {
      await pause(stableMilliseconds);
      const status = await this.status();
      if (status.tableVersion === last.tableVersion) return status;
      last = status;
    }
    throw new Error(`the table did not become stable: ${JSON.stringify(last)}`);
  }

  /** Waits until the status satisfies a condition. */
  async until(
    condition: (status: ControlStatus) => boolean,
    timeoutMilliseconds = conditionTimeoutMilliseconds,
  ): Promise<ControlStatus> {
    const until = performance.now() + timeoutMilliseconds;
    let last: unknown;
    while (performance.now() < until) {
      try {
        const status = await this.status();
        if (condition(status)) return status;
        last = status;
      } catch (failure) {
        last = (failure as Error).message;
      }
      await pause(50);
    }
    throw new Error(
      `the deployment did not satisfy the condition in time: ${
        JSON.stringify(last)
      }`,
    );
  }

  /** Stops everything and removes the folders. */
  async stop(): Promise<void> {
    for (const target of this.#targets.values()) target.kill();
    await Promise.all(this.vmNames.map((name) => this.crashVm(name)));
    await this.caller.close();
    this.#links?.close();
    await rm(this.#folder, { recursive: true, force: true });
  }

  async #prepareVms(): Promise<void> {
    const { vms } = this.#options;
    const names = Object.keys(vms);
    names.forEach((name, index) => {
      const process = new VmProcess({
        name,
        ip: `${this.#network}.${index + 1}`,
        settingsFile: join(this.#folder, `${name}.ini`),
        history: this.history,
      });
      this.#vms.set(name, process);
    });
    if (this.#options.withLinks) this.#links = await this.#openLinks();
    await writeFile(join(this.#folder, "vm.secret"), this.#secret);
    await writeFile(join(this.#folder, "target.secret"), this.#secret);
    await Promise.all(names.map(async (name) =>
      await writeFile(
        this.#vm(name).settingsFile,
        settingsText({
          ...this.#options,
          name,
          operator: this.#operator.publicKey,
          listeners: this.listenersOf(name),
          peers: Object.fromEntries(
            names.map((to) => [to, this.#peerAddress(name, to)]),
          ),
        }),
      )
    ));
  }

  #openLinks(): Promise<DeploymentLinks> {
    return DeploymentLinks.open({
      vms: this.vmNames.map((name) => ({
        name,
        ip: this.#vm(name).ip,
        ...this.listenersOf(name),
      })),
      onForwarded: (request, vm) =>
        this.#residency.recordForwarded(request, vm),
    });
  }

  /** Returns the listeners of a VM, bypassing the links. */
  listenersOf(vm: string): Listeners {
    return listenersAt(this.#vm(vm).ip);
  }

  #peerAddress(from: string, to: string): string {
    return this.#links?.peerAddress(from, to) ?? this.listenersOf(to).peers;
  }

  #regionOf(vm: string): string {
    const { dataCentres, vms } = this.#options;
    return dataCentres.find((each) => each.name === vms[vm])!.region;
  }

  #firstRunningVm(): string {
    const running = [...this.#vms].find(([, each]) => each.vm);
    if (!running) throw new Error("no VM is running");
    return running[0];
  }

  #vm(name: string): VmProcess {
    const process = this.#vms.get(name);
    if (!process) throw new Error(`there is no VM "${name}"`);
    return process;
  }
}

function namesOf(descriptions: unknown): readonly string[] {
  const each = (descriptions ?? []) as readonly { readonly name: string }[];
  return each.map(({ name }) => name);
}

import { randomBytes, randomInt } from "node:crypto";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { createOperatorKey, signBundle } from "@kingcupglade/bundle";
import type { SignedBundle } from "@kingcupglade/bundle";
import { FakeCaller, FakeTarget, History } from "@kingcupglade/fakes";
import type { FakeTargetOptions } from "@kingcupglade/fakes";
import { readSettings, Vm } from "kingcupglade";
import type { ControlStatus, VmOptions } from "kingcupglade";
import { request } from "undici";

const port = {
  callers: 8100,
  targets: 8200,
  peers: 8300,
  operators: 8400,
  service: 8500,
} as const;

const quietMilliseconds = 2000;
const maximumQuietAttempts = 20;
/** A busy machine may make the VMs elect a leader several times. */
const reachMilliseconds = 120_000;

/** A data centre of a deployment. */
export interface DataCentreDescription {
  readonly name: string;
  readonly region: string;
}

/** Options of {@link Deployment.start}. */
export interface DeploymentOptions {
  readonly dataCentres: readonly DataCentreDescription[];
  /** Data centre of each VM, by VM name. */
  readonly vms: Readonly<Record<string, string>>;
  /** VMs that form the first replica set. */
  readonly voters: readonly string[];
  /** VMs with a data folder. @default the voters */
  readonly withDisk?: readonly string[];
  /** Bundle without version, operators and data centres. */
  readonly content: Readonly<Record<string, unknown>>;
  /** Further settings of the control section. */
  readonly control?: Readonly<Record<string, number>>;
  /** @default "silent" */
  readonly logLevel?: string;
  /** Decisions of a VM replaced for a measurement. */
  readonly policy?: (vm: string) => VmOptions["policy"];
}

interface RunningVm {
  readonly settingsFile: string;
  readonly address: string;
  vm: Vm | undefined;
}

/** VMs and fake targets on loopback, in this process. */
export class Deployment {
  readonly history = new History();
  readonly caller = new FakeCaller({ history: this.history });
  readonly #options: DeploymentOptions;
  readonly #folder: string;
  readonly #network: string;
  readonly #secret = randomBytes(24).toString("hex");
  readonly #operator = createOperatorKey();
  readonly #vms = new Map<string, RunningVm>();
  readonly #targets = new Map<string, FakeTarget>();
  #bundleVersion = 0;
  #nextTargetHost = 1;

  protected constructor(options: DeploymentOptions, folder: string) {
    this.#options = options;
    this.#folder = folder;
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
    await deployment.#writeSettings();
    return deployment;
  }

  /** Starts every VM. */
  async startAll(): Promise<void> {
    await Promise.all(this.vmNames.map((name) => this.startVm(name)));
  }

  /** Folder of the settings files and the data folders. */
  get folder(): string {
    return this.#folder;
  }

  /** The secret that VMs and targets present. */
  get secret(): string {
    return this.#secret;
  }

  /** Bundle without version, operators and data centres. */
  get content(): Readonly<Record<string, unknown>> {
    return this.#options.content;
  }

  /** Names of the VMs. */
  get vmNames(): readonly string[] {
    return [...this.#vms.keys()];
  }

  /** Names of the VMs that run now. */
  get runningVms(): readonly string[] {
    return [...this.#vms].filter(([, each]) => each.vm).map(([name]) => name);
  }

  /** The targets by name. */
  get targets(): ReadonlyMap<string, FakeTarget> {
    return this.#targets;
  }

  /** Data centre of the VM that has an IP. */
  dataCentreOf(ip: string): DataCentreDescription | undefined {
    const vm = [...this.#vms].find(([, each]) => each.address === ip)?.[0];
    const name = vm && this.#options.vms[vm];
    return this.#options.dataCentres.find((each) => each.name === name);
  }

  /** Callers' listener of a VM. */
  callersAddress(vm: string): string {
    return `${this.#required(vm).address}:${port.callers}`;
  }

  /** Operators' listener of a VM. */
  operatorsAddress(vm: string): string {
    return `${this.#required(vm).address}:${port.operators}`;
  }

  /** Starts a VM, or starts it anew. */
  async startVm(name: string): Promise<void> {
    const running = this.#required(name);
    const settings = await readSettings(running.settingsFile);
    running.vm = await Vm.start({
      settings,
      onFailure: () => {},
      policy: {
        localAddress: running.address,
        ...this.#options.policy?.(name),
      },
    });
    this.history.record({
      kind: "fault",
      subject: "vm",
      name,
      fault: "restart",
    });
  }

  /** Stops a VM as planned. */
  async stopVm(name: string): Promise<void> {
    const running = this.#required(name);
    this.history.record({
      kind: "stopping",
      subject: "vm",
      name,
      address: this.callersAddress(name),
    });
    await running.vm?.stop();
    running.vm = undefined;
    this.history.record({ kind: "stopped", subject: "vm", name });
  }

  /** Ends a VM at once. */
  async crashVm(name: string): Promise<void> {
    const running = this.#required(name);
    const { vm } = running;
    running.vm = undefined;
    this.history.record({ kind: "fault", subject: "vm", name, fault: "crash" });
    await vm?.crash();
  }

  /** Records the bundle that each running VM routes by. */
  observe(): void {
    for (const [name, { vm }] of this.#vms) {
      if (!vm) continue;
      this.history.record({
        kind: "tableSeen",
        vm: name,
        hasLease: vm.hasLease,
        version: vm.bundle?.version ?? 0,
        digest: vm.bundle?.digest ?? "",
      });
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
        port.service + Math.floor(host / 150)
      }`,
      announceTo: [...this.#vms.values()].map((vm) =>
        `${vm.address}:${port.targets}`
      ),
      secret: this.#secret,
      history: this.history,
      ...options,
    });
    this.#targets.set(options.name, target);
    await target.start();
    return target;
  }

  /** Signs and rolls the next bundle; `changes` replace parts of its content. */
  async roll(changes: Readonly<Record<string, unknown>> = {}): Promise<number> {
    this.#bundleVersion += 1;
    const signed = this.signBundle(this.#bundleVersion, changes);
    for (let attempt = 0; attempt < 100; attempt += 1) {
      const status = await this.sendBundle(signed, this.vmNames[0]!);
      if (status === 200) return this.#bundleVersion;
      if (status !== 503) throw new Error(`the roll was answered ${status}`);
      await pause(100);
    }
    throw new Error("no control leader took the bundle");
  }

  /** A signed bundle of the deployment. */
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

  /** Sends a signed bundle to a VM; returns the answer's status. */
  async sendBundle(signed: SignedBundle, vm: string): Promise<number> {
    const answer = await request(`http://${this.operatorsAddress(vm)}/bundle`, {
      method: "POST",
      body: JSON.stringify(signed),
    });
    await answer.body.dump();
    return answer.statusCode;
  }

  /** The deployment as the control leader sees it. */
  async status(vm = this.#firstRunning()): Promise<ControlStatus> {
    const { statusCode, body } = await request(
      `http://${this.operatorsAddress(vm)}/status`,
    );
    const document = await body.json();
    if (statusCode !== 200) throw new Error(JSON.stringify(document));
    return document as ControlStatus;
  }

  /** Waits until a VM tells the balancer that it takes callers. */
  async untilReady(vm: string): Promise<void> {
    for (let attempt = 0; attempt < 400; attempt += 1) {
      const { statusCode, body } = await request(
        `http://${this.operatorsAddress(vm)}/ready`,
      );
      await body.dump();
      if (statusCode === 200) return;
      await pause(50);
    }
    throw new Error(`${vm} did not become ready`);
  }

  /** Waits until no range, VM or target has changed for two seconds. */
  async untilQuiet(): Promise<ControlStatus> {
    let last = await this.status();
    for (let attempt = 0; attempt < maximumQuietAttempts; attempt += 1) {
      await pause(quietMilliseconds);
      const status = await this.status();
      if (status.tableVersion === last.tableVersion) return status;
      last = status;
    }
    throw new Error(`the table still changes: ${JSON.stringify(last)}`);
  }

  /** Waits until the status satisfies a condition. */
  async until(
    condition: (status: ControlStatus) => boolean,
    timeoutMilliseconds = reachMilliseconds,
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
      `the deployment did not reach the state: ${JSON.stringify(last)}`,
    );
  }

  /** Stops everything and removes the folders. */
  async stop(): Promise<void> {
    for (const target of this.#targets.values()) target.kill();
    await Promise.all(this.vmNames.map((name) => this.crashVm(name)));
    await this.caller.close();
    await rm(this.#folder, { recursive: true, force: true });
  }

  async #writeSettings(): Promise<void> {
    const { vms } = this.#options;
    const names = Object.keys(vms);
    names.forEach((name, index) =>
      this.#vms.set(name, {
        settingsFile: join(this.#folder, `${name}.ini`),
        address: `${this.#network}.${index + 1}`,
        vm: undefined,
      })
    );
    await writeFile(join(this.#folder, "vm.secret"), this.#secret);
    await writeFile(join(this.#folder, "target.secret"), this.#secret);
    await Promise.all(names.map(async (name) =>
      await writeFile(
        this.#required(name).settingsFile,
        this.#settingsText(name),
      )
    ));
  }

  #settingsText(name: string): string {
    const { vms, dataCentres, voters, withDisk } = this.#options;
    const { address } = this.#required(name);
    const dataCentre = dataCentres.find((each) => each.name === vms[name])!;
    const disk = (withDisk ?? voters).includes(name);
    return [
      "[vm]",
      `name = ${name}`,
      `dataCentre = ${dataCentre.name}`,
      `region = ${dataCentre.region}`,
      ...(disk ? [`dataFolder = ${name}`] : []),
      "[listen]",
      `callers = ${address}:${port.callers}`,
      `targets = ${address}:${port.targets}`,
      `peers = ${address}:${port.peers}`,
      `operators = ${address}:${port.operators}`,
      "[control]",
      `voters = ${voters.join(", ")}`,
      ...Object.entries(this.#options.control ?? {}).map(([key, value]) =>
        `${key} = ${value}`
      ),
      "[peers]",
      ...[...this.#vms].map(([vm, each]) =>
        `${vm} = ${each.address}:${port.peers}`
      ),
      "[operators]",
      `operator = ${this.#operator.publicKey}`,
      "[security]",
      "vmSecretFile = vm.secret",
      "targetSecretFile = target.secret",
      "[log]",
      `level = ${this.#options.logLevel ?? "silent"}`,
      "",
    ].join("\n");
  }

  #firstRunning(): string {
    const running = [...this.#vms].find(([, each]) => each.vm);
    if (!running) throw new Error("no VM is running");
    return running[0];
  }

  #required(vm: string): RunningVm {
    const running = this.#vms.get(vm);
    if (!running) throw new Error(`there is no VM "${vm}"`);
    return running;
  }
}

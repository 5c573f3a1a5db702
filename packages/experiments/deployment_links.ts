import { PausableClock } from "./pausable_clock.ts";
import { Link } from "./link.ts";
import { Network } from "./network.ts";

const port = { callers: 8110, targets: 8210, peers: 8600 } as const;
const callers = "callers";
const targets = "targets";
const forwardedRequestPattern =
  / \/forward\/\S* HTTP\/1\.1\r\n(?:[^\r\n]+\r\n)*?x-request: ([^\r\n]+)/gi;

/** A VM of a deployment with the addresses that its links connect to. */
export interface LinkedVm {
  readonly name: string;
  readonly ip: string;
  /** The listeners, as IP:PORT. */
  readonly callers: string;
  readonly targets: string;
  readonly peers: string;
}

/** Options of {@link DeploymentLinks.open}. */
export interface DeploymentLinksOptions {
  readonly vms: readonly LinkedVm[];
  /** Called when a caller's request is forwarded to `vm` by another VM. */
  readonly onForwarded: (request: string, vm: string) => void;
}

/**
 * The links between the VMs of a deployment, from callers and targets to the
 * VMs, and the clocks of the VMs. Links can be cut in either direction, and a
 * pause of the process of a VM can be simulated.
 */
export class DeploymentLinks {
  readonly #vms: readonly LinkedVm[];
  readonly #network = new Network();
  readonly #clocks = new Map<string, PausableClock>();
  #links: readonly Link[] = [];

  protected constructor(vms: readonly LinkedVm[]) {
    this.#vms = vms;
  }

  /** Opens a link for each pair of VMs, and for callers and targets. */
  static async open(options: DeploymentLinksOptions): Promise<DeploymentLinks> {
    const links = new DeploymentLinks(options.vms);
    links.#links = await Promise.all(
      options.vms.flatMap((vm) => links.#openLinksTo(vm, options)),
    );
    return links;
  }

  /** Returns the address at which a VM reaches the peer listener of another. */
  peerAddress(from: string, to: string): string {
    const index = this.#vms.findIndex((each) => each.name === to);
    const vm = this.#vm(to);
    return from === to
      ? vm.peers
      : `${this.#vm(from).ip}:${port.peers + index}`;
  }

  /** Returns the address at which callers reach a VM. */
  callersAddress(vm: string): string {
    return `${this.#vm(vm).ip}:${port.callers}`;
  }

  /** Returns the address at which targets reach a VM. */
  targetsAddress(vm: string): string {
    return `${this.#vm(vm).ip}:${port.targets}`;
  }

  /** Creates the clock of a VM that starts. */
  createClock(vm: string): PausableClock {
    const clock = new PausableClock();
    this.#clocks.set(vm, clock);
    return clock;
  }

  /** Whether a VM is paused. */
  isPaused(vm: string): boolean {
    return this.#clocks.get(vm)?.isPaused ?? false;
  }

  /**
   * Cuts the links from some VMs to others; returns a function that restores
   * them.
   */
  cut(from: readonly string[], to: readonly string[]): () => void {
    const restores = from.flatMap((source) =>
      to.filter((each) => each !== source).map((each) =>
        this.#network.cut(source, each)
      )
    );
    return () => restores.forEach((restore) => restore());
  }

  /**
   * Pauses a VM: stops its clock and holds what it sends and receives. Returns
   * a function that resumes it.
   */
  pause(vm: string): () => void {
    const clock = this.#clocks.get(vm)!;
    const others = [...this.#vms.map((each) => each.name), callers, targets];
    const restores = [this.cut([vm], others), this.cut(others, [vm])];
    clock.pause();
    return () => {
      clock.resume();
      restores.forEach((restore) => restore());
    };
  }

  /**
   * Resolves when the VM with an IP address can reach targets; returns
   * undefined if it already can.
   */
  whenTargetsReachable(ip: string): Promise<void> | undefined {
    const vm = this.#vms.find((each) => each.ip === ip);
    return vm && this.#network.whenOpen(vm.name, targets);
  }

  /** Closes every link. */
  close(): void {
    for (const link of this.#links) link.close();
  }

  #openLinksTo(
    vm: LinkedVm,
    options: DeploymentLinksOptions,
  ): readonly Promise<Link>[] {
    const network = this.#network;
    const to = vm.name;
    const others = this.#vms.filter((each) => each !== vm);
    return [
      ...others.map(({ name: from }) =>
        Link.open({
          network,
          from,
          to,
          listenAt: this.peerAddress(from, to),
          address: vm.peers,
          onBytes: (bytes) => reportForwarded(bytes, to, options),
        })
      ),
      Link.open({
        network,
        from: callers,
        to,
        listenAt: this.callersAddress(to),
        address: vm.callers,
      }),
      Link.open({
        network,
        from: targets,
        to,
        listenAt: this.targetsAddress(to),
        address: vm.targets,
      }),
    ];
  }

  #vm(name: string): LinkedVm {
    return this.#vms.find((each) => each.name === name)!;
  }
}

function reportForwarded(
  bytes: Buffer,
  vm: string,
  options: DeploymentLinksOptions,
): void {
  for (
    const [, request] of bytes.toString("latin1").matchAll(
      forwardedRequestPattern,
    )
  ) {
    options.onForwarded(request!, vm);
  }
}

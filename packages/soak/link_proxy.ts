import { connect, createServer } from "node:net";
import type { Server, Socket } from "node:net";
import { MonotonicClock, StallDetector } from "@kingcupglade/tasks";
import { LinkFaultKind } from "./link_contact.ts";
import type { LinkDisturbance } from "./link_contact.ts";

const observationIntervalMilliseconds = 25;

/** Direction of what a connection carries. */
export const LinkFlow = {
  requests: "requests",
  responses: "responses",
} as const;
export type LinkFlow = typeof LinkFlow[keyof typeof LinkFlow];

/** A VM that connects to others, and the IP from which it does. */
export interface LinkedVm {
  readonly name: string;
  readonly ip: string;
}

/** A VM that others connect to, and the IP at which they do. */
export interface ProxiedVm extends LinkedVm {
  readonly proxyIp: string;
}

/** The connections that one VM opens to another, and how they are disturbed. */
export class Link {
  readonly source: string;
  readonly destination: string;
  readonly connections = new Set<LinkConnection>();
  /** Delay of either direction, in milliseconds. */
  delayMilliseconds = 0;
  /** Number of faults that hold the bytes of a direction. */
  readonly holds = { [LinkFlow.requests]: 0, [LinkFlow.responses]: 0 };
  /** Number of faults that leave new connections without a response. */
  mutes = 0;

  constructor(source: string, destination: string) {
    this.source = source;
    this.destination = destination;
  }

  /** Forwards what was held and may pass. */
  release(): void {
    for (const each of this.connections) each.release();
  }
}

/** Bytes of one direction of a connection, and its end, in order. */
class Passage {
  readonly #link: Link;
  readonly #flow: LinkFlow;
  #onTheirWay: (() => void)[] = [];
  #held: (() => void)[] = [];

  constructor(link: Link, flow: LinkFlow) {
    this.#link = link;
    this.#flow = flow;
  }

  pass(action: () => void): void {
    const { delayMilliseconds } = this.#link;
    if (delayMilliseconds === 0 && this.#onTheirWay.length === 0) {
      return this.#arrive(action);
    }
    this.#onTheirWay.push(action);
    setTimeout(() => {
      const next = this.#onTheirWay.shift();
      if (next) this.#arrive(next);
    }, delayMilliseconds);
  }

  release(): void {
    if (this.#isHeld) return;
    for (const action of this.#held.splice(0)) action();
  }

  drop(): void {
    this.#onTheirWay = [];
    this.#held = [];
  }

  get #isHeld(): boolean {
    return this.#link.holds[this.#flow] > 0;
  }

  #arrive(action: () => void): void {
    if (this.#isHeld || this.#held.length > 0) this.#held.push(action);
    else action();
  }
}

/** A connection through a proxy. */
export class LinkConnection {
  readonly #link: Link;
  readonly #sides: readonly Socket[];
  readonly #passages: readonly Passage[];
  #isSilent: boolean;

  constructor(
    link: Link,
    caller: Socket,
    address: { host: string; port: number },
  ) {
    this.#link = link;
    this.#isSilent = link.mutes > 0;
    const server = connect({ ...address, noDelay: true, allowHalfOpen: true });
    this.#sides = [caller, server];
    this.#passages = [
      this.#forward(caller, server, LinkFlow.requests),
      this.#forward(server, caller, LinkFlow.responses),
    ];
    link.connections.add(this);
  }

  release(): void {
    for (const each of this.#passages) each.release();
  }

  /** Carries nothing any more, and does not end either. */
  silence(): void {
    this.#isSilent = true;
    for (const each of this.#passages) each.drop();
  }

  reset(): void {
    for (const each of this.#sides) each.resetAndDestroy();
    this.#link.connections.delete(this);
  }

  destroy(): void {
    for (const each of this.#sides) each.destroy();
  }

  #forward(from: Socket, to: Socket, flow: LinkFlow): Passage {
    const passage = new Passage(this.#link, flow);
    const pass = (action: () => void) => {
      if (!this.#isSilent) passage.pass(action);
    };
    from.on("data", (chunk: Buffer) =>
      pass(() => {
        if (!to.destroyed) to.write(chunk);
      }));
    from.on("end", () => pass(() => to.end()));
    // The other side learns of the failure as the connection closes.
    from.on("error", () => {});
    from.on("close", () =>
      pass(() => {
        to.destroy();
        this.#link.connections.delete(this);
      }));
    return passage;
  }
}

/** Chooses links. */
export type LinkFilter = (link: Link) => boolean;

/**
 * The links through which VMs reach some of them, as proxies on loopback
 * addresses, and the faults that these had.
 */
export class LinkNetwork {
  readonly disturbances: LinkDisturbance[] = [];
  /** Lengths of the stalls of this process, in which no link carried anything. */
  readonly stalls: number[] = [];
  readonly #links: readonly Link[];
  readonly #names: ReadonlyMap<string, string>;
  readonly #servers: Server[] = [];
  readonly #connections = new Set<LinkConnection>();
  readonly #stallTimer: NodeJS.Timeout;

  constructor(vms: {
    readonly callers: readonly LinkedVm[];
    readonly called: readonly ProxiedVm[];
  }) {
    const all = [...vms.callers, ...vms.called];
    this.#names = new Map(all.map(({ ip, name }) => [ip, name]));
    this.#links = all.flatMap((source) =>
      vms.called.filter((each) => each.name !== source.name)
        .map(({ name }) => new Link(source.name, name))
    );
    const detector = new StallDetector({
      clock: new MonotonicClock(),
      onStall: (milliseconds) => this.#recordStall(milliseconds),
    });
    this.#stallTimer = setInterval(
      () => detector.observe(),
      observationIntervalMilliseconds,
    );
  }

  /** Opens the proxy of a VM; its connections end at the same port of the VM. */
  async open({ name, ip, proxyIp }: ProxiedVm, port: number): Promise<void> {
    const options = { noDelay: true, allowHalfOpen: true };
    const server = createServer(options, (caller) => {
      const source = this.#names.get(caller.remoteAddress ?? "");
      const link = this.#links.find((each) =>
        each.source === source && each.destination === name
      );
      // Another process would make faults miss what they are meant for.
      if (!link) return caller.destroy();
      this.#connections.add(
        new LinkConnection(link, caller, { host: ip, port }),
      );
    });
    this.#servers.push(server);
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(port, proxyIp, resolve);
    });
  }

  close(): void {
    clearInterval(this.#stallTimer);
    for (const each of this.#servers) each.close();
    for (const each of this.#connections) each.destroy();
  }

  /** Drops, for ever, what the connections that are open now carry. */
  silence(filter: LinkFilter): void {
    this.#disturb(LinkFaultKind.silence, filter, (link) => {
      for (const each of link.connections) each.silence();
    });
  }

  /** Resets the connections that are open now. */
  reset(filter: LinkFilter): void {
    this.#disturb(LinkFaultKind.reset, filter, (link) => {
      for (const each of [...link.connections]) each.reset();
    });
  }

  /** Holds what links carry until the returned function is called. */
  hold(
    filter: (link: Link, flow: LinkFlow) => boolean,
  ): () => void {
    const flows = Object.values(LinkFlow);
    const held = new Map(
      this.#links.map((
        link,
      ) => [link, flows.filter((flow) => filter(link, flow))]),
    );
    const count = (link: Link, by: number) => {
      for (const flow of held.get(link) ?? []) link.holds[flow] += by;
    };
    return this.#disturbFor(
      LinkFaultKind.cut,
      (link) => held.get(link)!.length > 0,
      (link) => count(link, 1),
      (link) => {
        count(link, -1);
        link.release();
      },
    );
  }

  /** Leaves new connections unanswered until the returned function is called. */
  mute(filter: LinkFilter): () => void {
    return this.#disturbFor(
      LinkFaultKind.cut,
      filter,
      (link) => link.mutes += 1,
      (link) => link.mutes -= 1,
    );
  }

  /** Delays what links carry until the returned function is called. */
  delay(filter: LinkFilter, milliseconds: number): () => void {
    return this.#disturbFor(
      LinkFaultKind.delay,
      filter,
      (link) => link.delayMilliseconds += milliseconds,
      (link) => link.delayMilliseconds -= milliseconds,
    );
  }

  // While this process does not run, its links are slow.
  #recordStall(milliseconds: number): void {
    this.stalls.push(Math.round(milliseconds));
    const begun = this.#disturb(LinkFaultKind.delay, () => true, () => {});
    for (const each of begun) each.from -= milliseconds;
  }

  #disturb(
    kind: LinkFaultKind,
    filter: LinkFilter,
    action: (link: Link) => void,
  ): LinkDisturbance[] {
    const from = performance.now();
    const links = this.#links.filter(filter);
    for (const link of links) action(link);
    const begun = links.map(({ source, destination }) => ({
      kind,
      source,
      destination,
      from,
      to: from,
    }));
    this.disturbances.push(...begun);
    return begun;
  }

  #disturbFor(
    kind: LinkFaultKind,
    filter: LinkFilter,
    begin: (link: Link) => void,
    end: (link: Link) => void,
  ): () => void {
    const begun = this.#disturb(kind, filter, begin);
    for (const each of begun) each.to = Infinity;
    return () => {
      for (const link of this.#links.filter(filter)) end(link);
      const to = performance.now();
      for (const each of begun) each.to = to;
    };
  }
}

import { Agent } from "node:http";
import { sendAttempt } from "./attempt_sender.ts";
import { ConfigurationHistory } from "./configuration_history.ts";
import type { RouteService, SentChange } from "./configuration_history.ts";
import { callControl } from "./control_call.ts";
import { delay } from "./fault_injector.ts";
import type { InvariantMonitor } from "./invariant_monitor.ts";
import type { CalledGateway } from "./load_generator.ts";

const defaultRouteCount = 40;
const changeIntervalMilliseconds = 300;
const resendMilliseconds = 100;
const maximumAttempts = 20;
const removedShare = 0.4;
/** Interval of the requests to a gateway that still has the older version. */
const probeIntervalMilliseconds = 100;
/** A gateway is asked for so long at most. */
const maximumProbeMilliseconds = 12_000;
/** Ages of a change at which every gateway is asked. */
const judgedMilliseconds = [2010, 2300, 2600];
const maximumBodyBytes = 1000;
const positionCount = 65_536;
/** Targets send short bodies to requests whose numbers differ by this. */
const idStep = 84;

/** Options of {@link LinkChanges}. */
export interface LinkChangesOptions {
  readonly gateways: readonly CalledGateway[];
  /** IP:PORT of every control VM. */
  readonly control: readonly string[];
  readonly services: readonly string[];
  readonly monitor: InvariantMonitor;
  readonly random: () => number;
  /** Number of routes that are changed in turn. @default 40 */
  readonly routeCount?: number | undefined;
}

/**
 * Adds, moves and removes routes, and asks every gateway for each of them from
 * its acknowledgement until the gateway has it, and when it must have it.
 */
export class LinkChanges {
  readonly history = new ConfigurationHistory();
  readonly #options: LinkChangesOptions;
  readonly #agents = new Map<string, Agent>();
  readonly #pending = new Set<Promise<void>>();
  readonly #services = new Map<string, RouteService>();
  #acknowledged: (() => void)[] = [];
  #nextId = 1;
  #version = 1;
  #isStopped = false;
  #run: Promise<unknown> | undefined;

  constructor(options: LinkChangesOptions) {
    this.#options = options;
  }

  /** Sends the first configuration until it is acknowledged, or throws. */
  async applyFirst(timeoutMilliseconds: number): Promise<void> {
    const { services } = this.#options;
    const version = this.#version;
    const body = {
      upsert: {
        services: services.map((name) => ({
          name,
          maxConnections: 100,
          version,
        })),
        routes: services.map((service) =>
          createRoute(`steady-${service}`, service, version)
        ),
        limits: {
          maxHeaderBytes: 16_384,
          maxBodyBytes: maximumBodyBytes,
          headerTimeoutS: 3,
          idleTimeoutS: 15,
          version,
        },
      },
    };
    const until = performance.now() + timeoutMilliseconds;
    while (!await this.#patch(body)) {
      if (performance.now() > until) throw new Error("control did not start");
    }
  }

  start(): void {
    const { gateways } = this.#options;
    this.#run = Promise.all([
      this.#changeRoutes(),
      ...gateways.map((each) => this.#askSteadily(each)),
    ]);
  }

  /** Resolves at the next acknowledgement. */
  nextAcknowledgement(): Promise<void> {
    return new Promise((resolve) => this.#acknowledged.push(resolve));
  }

  /** Ends the changes; resolves when all have been judged. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    await this.#run;
    await Promise.all(this.#pending);
    for (const each of this.#agents.values()) each.destroy();
  }

  async #changeRoutes(): Promise<void> {
    const { routeCount = defaultRouteCount } = this.#options;
    for (let count = 0; !this.#isStopped; count += 1) {
      const route = `changed-${count % routeCount}`;
      const change = this.#changeRoute(route).finally(() =>
        this.#pending.delete(change)
      );
      this.#pending.add(change);
      await delay(changeIntervalMilliseconds);
    }
  }

  async #changeRoute(route: string): Promise<void> {
    const { services, random, gateways } = this.#options;
    const before = this.#services.get(route) ?? null;
    const others = services.filter((each) => each !== before);
    const service = before !== null && random() < removedShare
      ? null
      : others[Math.floor(random() * others.length)]!;
    this.#version += 1;
    const version = this.#version;
    const body = service === null
      ? { remove: { routes: [{ name: route, version }] } }
      : { upsert: { routes: [createRoute(route, service, version)] } };
    const sentAt = performance.now();
    const change: SentChange = { route, version, service, sentAt };
    this.#services.set(route, service);
    this.history.recordChange(change);
    if (!await this.#patch(body)) return;
    change.acknowledgedAt = performance.now();
    for (const resolve of this.#acknowledged.splice(0)) resolve();
    await Promise.all(gateways.map((each) => this.#follow(each, change)));
  }

  async #patch(change: unknown): Promise<boolean> {
    const { control, random } = this.#options;
    const body = JSON.stringify(change);
    const first = Math.floor(random() * control.length);
    for (let attempt = 0; attempt < maximumAttempts; attempt += 1) {
      const address = control[(first + attempt) % control.length]!;
      const { status } = await callControl(address, { method: "PATCH", body });
      if (status === 200) return true;
      await delay(resendMilliseconds);
    }
    return false;
  }

  async #follow(gateway: CalledGateway, change: SentChange): Promise<void> {
    const at = change.acknowledgedAt!;
    const age = () => performance.now() - at;
    const untilNew = async () => {
      while (age() < maximumProbeMilliseconds) {
        const startedAt = performance.now();
        if (await this.#probe(gateway, change.route) === change.service) break;
        await delay(startedAt + probeIntervalMilliseconds - performance.now());
      }
    };
    await Promise.all([
      untilNew(),
      ...judgedMilliseconds.map(async (milliseconds) => {
        await delay(milliseconds - age());
        await this.#probe(gateway, change.route);
      }),
    ]);
  }

  /** Returns the service that ran a request; null for none. */
  async #probe(
    gateway: CalledGateway,
    route: string,
  ): Promise<RouteService | undefined> {
    const sentAt = performance.now();
    const { status, service } = await this.#ask(gateway, route);
    this.history.recordProbe({
      gateway: gateway.name,
      routes: [route],
      outerService: null,
      sentAt,
      endedAt: performance.now(),
      status,
      service,
    });
    if (status === 404) return null;
    return status === 200 ? service : undefined;
  }

  async #ask(
    { address }: CalledGateway,
    route: string,
  ): Promise<{ readonly status: number; readonly service: string }> {
    const { monitor, random } = this.#options;
    const id = `l${idStep * this.#nextId++ + 1}`;
    monitor.recordProbe(id, address);
    const agent = this.#agents.get(address) ?? new Agent({ keepAlive: true });
    this.#agents.set(address, agent);
    const { status, body, isDelimited } = await sendAttempt({
      id,
      gateway: address,
      kind: { path: `/${route}/1`, method: "GET", isIdempotent: true },
      position: Math.floor(random() * positionCount),
      agent,
    });
    if (status !== 0) monitor.recordResponse(id, { status, body, isDelimited });
    return { status, service: monitor.targetOf(id).split("-")[0]! };
  }

  // Keeps requests on their way to every target from every gateway.
  async #askSteadily(gateway: CalledGateway): Promise<void> {
    const { services } = this.#options;
    for (let count = 0; !this.#isStopped; count += 1) {
      const service = services[count % services.length]!;
      await this.#ask(gateway, `steady-${service}`);
    }
  }
}

function createRoute(name: string, service: string, version: number) {
  return {
    name,
    host: "jigs.example",
    pathPrefix: `/${name}/`,
    routeType: "safe",
    timeoutS: 1.4,
    targetLatencyS: 0.5,
    priority: 1,
    service,
    maxAttempts: 2,
    version,
  };
}

import { ConfigurationHistory } from "./configuration_history.ts";
import { callControl } from "./control_call.ts";
import type { ControlResponse } from "./control_call.ts";
import { delay } from "./fault_injector.ts";
import { runRouteOperator } from "./route_operator.ts";
import type { RoutePlace } from "./route_operator.ts";

const updateIntervalMilliseconds = 400;
const readTimeoutMilliseconds = 10_000;

/** Places whose routes the operators add, move, replace and remove. */
const places: readonly RoutePlace[] = [
  ...["added-1", "added-2", "added-3", "added-4", "added-5"].map((name) => ({
    pathPrefix: `/${name}/`,
    names: [name],
  })),
  ...["nested-1", "nested-2"].map((name) => ({
    pathPrefix: `/lookup/${name}/`,
    names: [name],
    outerService: "catalogue",
  })),
  ...["replaced-1", "replaced-2", "replaced-3", "replaced-4"].map((name) => ({
    pathPrefix: `/${name}/`,
    names: [`${name}a`, `${name}b`],
  })),
];
const placeServices = ["catalogue", "stock"];
const placeOperatorCount = 2;

/**
 * An operator that updates a route repeatedly and reads it back at the end, and
 * two that change the routes of the same places at the same time.
 */
export class Operator {
  readonly places = places;
  readonly history = new ConfigurationHistory();
  readonly #control: readonly string[];
  readonly #random: () => number;
  #routeChanges: Promise<readonly (readonly string[])[]> | undefined;
  #version = 1;
  #acknowledgedVersion = 0;
  #isStopped = false;
  #areRouteChangesStopped = false;
  #updates: Promise<void> | undefined;

  constructor(options: {
    readonly control: readonly string[];
    /** @default Math.random */
    readonly random?: () => number;
  }) {
    this.#control = options.control;
    this.#random = options.random ?? Math.random;
  }

  /** Sends the initial configuration until it is acknowledged, or throws. */
  async applyInitialConfiguration(timeoutMilliseconds: number): Promise<void> {
    const until = performance.now() + timeoutMilliseconds;
    while (!await this.#sendUpdate(createInitialConfiguration(this.#version))) {
      if (performance.now() > until) {
        throw new Error(
          "the initial configuration was not acknowledged in time",
        );
      }
      await delay(100);
    }
    this.#acknowledgedVersion = this.#version;
  }

  start(): void {
    this.#updates = this.#updateRoutes();
    const versions = new Map<string, number>();
    const changedAt = new Map<RoutePlace, number>();
    this.#routeChanges = Promise.all(
      Array.from({ length: placeOperatorCount }, () =>
        runRouteOperator({
          places,
          services: placeServices,
          history: this.history,
          versions,
          changedAt,
          send: (body) => this.#sendToOne(body),
          createRoute: ({ name, pathPrefix, service }, version) => ({
            ...createRoute(name, service, version),
            pathPrefix,
          }),
          random: this.#random,
          isStopped: () => this.#isStopped || this.#areRouteChangesStopped,
        })),
    );
  }

  /**
   * Ends the changes of places; returns what was wrong with the responses to
   * them.
   */
  async stopRouteChanges(): Promise<readonly string[]> {
    this.#areRouteChangesStopped = true;
    return (await this.#routeChanges)?.flat() ?? [];
  }

  async #sendToOne(body: string): Promise<number> {
    const { length } = this.#control;
    const address = this.#control[Math.floor(this.#random() * length)]!;
    return (await callControl(address, { method: "PATCH", body })).status;
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Reads the configuration and returns violations for lost updates. */
  async findLostUpdates(): Promise<readonly string[]> {
    this.stop();
    await this.#updates;
    const until = performance.now() + readTimeoutMilliseconds;
    while (performance.now() < until) {
      const response = await this.#sendRequest("GET", undefined);
      if (response.status !== 200) continue;
      const { routes } = JSON.parse(response.body) as {
        readonly routes: readonly { name: string; version: number }[];
      };
      const versions = new Map(
        routes.map(({ name, version }) => [name, version]),
      );
      const version = versions.get("lookup") ?? 0;
      return [
        ...(version >= this.#acknowledgedVersion ? [] : [
          `version ${this.#acknowledgedVersion} of the route was acknowledged, but version ${version} is current`,
        ]),
        ...this.history.findLostChanges(versions),
      ];
    }
    return ["no control VM returned the configuration in time"];
  }

  async #updateRoutes(): Promise<void> {
    while (!this.#isStopped) {
      this.#version += 1;
      const version = this.#version;
      const change = {
        upsert: { routes: [createRoute("lookup", "catalogue", version)] },
      };
      if (await this.#sendUpdate(change)) this.#acknowledgedVersion = version;
      await delay(updateIntervalMilliseconds);
    }
  }

  async #sendUpdate(change: unknown): Promise<boolean> {
    return (await this.#sendRequest("PATCH", JSON.stringify(change))).status ===
      200;
  }

  /** Sends a request to the control VMs in turn until one responds with 200. */
  async #sendRequest(
    method: string,
    body: string | undefined,
  ): Promise<ControlResponse> {
    for (const address of this.#control) {
      const response = await callControl(address, { method, body });
      if (response.status === 200) return response;
    }
    return { status: 0, body: "" };
  }
}

/** Routes of this prefix need a key once there are workspaces. */
const guardedPrefix = "guarded-";

function createRoute(name: string, service: string, version: number) {
  return {
    name,
    public: !name.startsWith(guardedPrefix),
    host: "jigs.example",
    pathPrefix: `/${name}/`,
    routeType: name.endsWith("reserve") ? "unsafe" : "safe",
    timeoutS: 1.4,
    targetLatencyS: 0.5,
    priority: 1,
    service,
    maxAttempts: 2,
    version,
  };
}

function createInitialConfiguration(version: number) {
  return {
    upsert: {
      services: [
        { name: "catalogue", maxConnections: 100, version },
        { name: "stock", maxConnections: 100, sharded: true, version },
      ],
      routes: [
        createRoute("lookup", "catalogue", version),
        createRoute("reserve", "catalogue", version),
        createRoute("stock", "stock", version),
        createRoute("guarded-lookup", "catalogue", version),
        createRoute("guarded-reserve", "catalogue", version),
        createRoute("guarded-stock", "stock", version),
      ],
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 1000,
        headerTimeoutS: 3,
        idleTimeoutS: 15,
        version,
      },
    },
  };
}

import { createServer } from "node:http";
import type { Server } from "node:http";
import { Agent, request } from "undici";
import { BareProxy } from "./bare_proxy.ts";
import { runLoad } from "./load.ts";
import type { LoadResult } from "./load.ts";
import { startSingleGateway } from "./single_gateway.ts";

const connections = 64;
const connectionsPerTarget = 110;
const responseBody = Buffer.from(JSON.stringify({ whole: true }));
const announceIntervalMilliseconds = 300;
const port = { target: 9100, proxy: 9101 } as const;
const host = "127.0.0.1";
const announcement = {
  target: "order-1",
  boot: "boot-1",
  service: "order-desk",
  dataCentre: "recife-a",
  address: `http://${host}:${port.target}`,
  slots: connections,
  connections: connectionsPerTarget,
  coldSlots: connections,
  condition: "serving",
} as const;

/**
 * How requests reach the target: directly, through the bare proxy or through a
 * gateway.
 */
export const Path = {
  direct: "direct",
  bare: "bare",
  gateway: "gateway",
} as const;
export type Path = typeof Path[keyof typeof Path];

/** Throughput of a path while every connection is busy. */
export interface Saturation {
  readonly perSecond: number;
  /** CPU time of the process per request. */
  readonly cpuMicroseconds: number;
}

/**
 * A target, a bare proxy and a gateway in front of it, and callers whose
 * connections stay open between measurements, all in this process.
 */
export class SpeedBench {
  readonly #urls: Readonly<Record<Path, string>>;
  readonly #agents: Readonly<Record<Path, Agent>> = {
    direct: new Agent({ connections }),
    bare: new Agent({ connections }),
    gateway: new Agent({ connections }),
  };
  readonly #stop: () => Promise<void>;

  protected constructor(options: {
    readonly urls: Readonly<Record<Path, string>>;
    readonly stop: () => Promise<void>;
  }) {
    this.#urls = options.urls;
    this.#stop = options.stop;
  }

  /** Starts the target and both proxies. */
  static async start(): Promise<SpeedBench> {
    const target = await startTarget();
    const proxy = new BareProxy({
      target: `http://${host}:${port.target}`,
      connections: connectionsPerTarget,
    });
    await proxy.listen(host, port.proxy);
    const gateway = await startSingleGateway({
      announcements: [announcement],
      announceIntervalMilliseconds: announceIntervalMilliseconds,
    });
    return new SpeedBench({
      urls: {
        direct: `http://${host}:${port.target}/orders/1`,
        bare: `http://${host}:${port.proxy}/orders/1`,
        gateway: `http://${gateway.host}:${gateway.port}/orders/1`,
      },
      stop: async () => {
        await gateway.stop();
        await proxy.close();
        target.close();
        target.closeAllConnections();
      },
    });
  }

  /** Keeps every connection of a path busy for a number of seconds. */
  async saturate(path: Path, seconds: number): Promise<Saturation> {
    const startedAt = performance.now();
    const until = startedAt + seconds * 1000;
    const usedBefore = process.cpuUsage();
    let answered = 0;
    await Promise.all(Array.from({ length: connections }, async () => {
      while (performance.now() < until) {
        if (await this.#send(path) === "answered") answered += 1;
      }
    }));
    const used = process.cpuUsage(usedBefore);
    return {
      perSecond: answered / ((performance.now() - startedAt) / 1000),
      cpuMicroseconds: (used.user + used.system) / answered,
    };
  }

  /**
   * Sends open-loop load over a path: start times do not depend on responses.
   */
  async runAtRate(
    path: Path,
    options: {
      readonly perSecond: number;
      readonly seconds: number;
      readonly seed: number;
    },
  ): Promise<LoadResult> {
    return await runLoad({
      ...options,
      startsOnTime: true,
      send: () => this.#send(path),
    });
  }

  /** Stops everything. */
  async stop(): Promise<void> {
    await Promise.all(
      Object.values(this.#agents).map((each) => each.destroy()),
    );
    await this.#stop();
  }

  async #send(path: Path): Promise<string> {
    const { statusCode, body } = await request(this.#urls[path], {
      dispatcher: this.#agents[path],
      headers: { "x-tenant": "kennels", "x-request": "1" },
    });
    await body.dump();
    return statusCode === 200 ? "answered" : String(statusCode);
  }
}

function startTarget(): Promise<Server> {
  const server = createServer((incoming, response) => {
    incoming.resume();
    const exchange = incoming.headers["kingcupglade-exchange"];
    response.writeHead(200, {
      "content-length": responseBody.length,
      ...(exchange === undefined ? {} : { "kingcupglade-exchange": exchange }),
    });
    response.end(responseBody);
  });
  return new Promise((resolve) =>
    server.listen(
      { host, port: port.target, backlog: 1024 },
      () => resolve(server),
    )
  );
}

import { StandInPath } from "@kingcupglade/platform";
import { pause } from "./faults.ts";

const changeMilliseconds = 400;
const answerMilliseconds = 1000;
const readingMilliseconds = 10_000;

interface Answer {
  readonly status: number;
  readonly body: string;
}

/** An operator that rolls a route again and again, and reads it back. */
export class Operator {
  readonly #control: readonly string[];
  #version = 1;
  #acknowledged = 0;
  #isStopped = false;
  #running: Promise<void> | undefined;

  constructor(options: { readonly control: readonly string[] }) {
    this.#control = options.control;
  }

  /** Sends the first configuration until it is acknowledged. */
  async establish(milliseconds: number): Promise<void> {
    const until = performance.now() + milliseconds;
    while (!await this.#send(firstConfiguration(this.#version))) {
      if (performance.now() > until) {
        throw new Error("the first configuration is not acknowledged");
      }
      await pause(100);
    }
    this.#acknowledged = this.#version;
  }

  start(): void {
    this.#running = this.#roll();
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** What a reading at the end shows to be lost. */
  async finish(): Promise<readonly string[]> {
    this.stop();
    await this.#running;
    const until = performance.now() + readingMilliseconds;
    while (performance.now() < until) {
      const answer = await this.#call("GET", undefined);
      if (answer.status !== 200) continue;
      const { routes } = JSON.parse(answer.body) as {
        readonly routes: readonly { name: string; version: number }[];
      };
      const version = routes.find(({ name }) => name === "lookup")?.version ??
        0;
      return version >= this.#acknowledged
        ? []
        : [`version ${this.#acknowledged} is acknowledged, ${version} stands`];
    }
    return ["no configuration can be read"];
  }

  async #roll(): Promise<void> {
    while (!this.#isStopped) {
      this.#version += 1;
      const version = this.#version;
      const change = {
        upsert: { routes: [routeOf("lookup", "catalogue", version)] },
      };
      if (await this.#send(change)) this.#acknowledged = version;
      await pause(changeMilliseconds);
    }
  }

  async #send(change: unknown): Promise<boolean> {
    return (await this.#call("PATCH", JSON.stringify(change))).status === 200;
  }

  /** Asks one control VM after the other until one answers. */
  async #call(method: string, body: string | undefined): Promise<Answer> {
    for (const address of this.#control) {
      try {
        const response = await fetch(
          `http://${address}${StandInPath.configuration}`,
          {
            method,
            signal: AbortSignal.timeout(answerMilliseconds),
            ...(body !== undefined && { body }),
          },
        );
        if (response.status === 200) {
          return { status: 200, body: await response.text() };
        }
      } catch {
        // This VM is down; the next one is asked.
      }
    }
    return { status: 0, body: "" };
  }
}

function routeOf(name: string, service: string, version: number) {
  return {
    name,
    host: "jigs.example",
    pathPrefix: `/${name}/`,
    routeType: name === "reserve" ? "unsafe" : "safe",
    timeoutS: 1.4,
    targetLatencyS: 0.5,
    priority: 1,
    service,
    maxAttempts: 2,
    version,
  };
}

function firstConfiguration(version: number) {
  return {
    upsert: {
      services: [
        { name: "catalogue", maxConnections: 100, version },
        { name: "stock", maxConnections: 100, sharded: true, version },
      ],
      routes: [
        routeOf("lookup", "catalogue", version),
        routeOf("reserve", "catalogue", version),
        routeOf("stock", "stock", version),
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

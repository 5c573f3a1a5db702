import { Agent, request as send } from "node:http";
import { clientHeaders, namesLimit } from "@kingcupglade/platform";
import { delay } from "./fault_injector.ts";
import { crashingPath } from "./soak_target.ts";
import type { InvariantMonitor } from "./invariant_monitor.ts";

const callerCount = 10;
const thinkTimeMilliseconds = 20;
const deadlineMilliseconds = 1500;
const positionCount = 65_536;

/** Kinds of request: path, method and whether the request is idempotent. */
const requestKinds = [
  { path: "/lookup/1", method: "GET", isIdempotent: true },
  { path: "/reserve/1", method: "POST", isIdempotent: false },
  { path: "/stock/1", method: "GET", isIdempotent: true },
] as const;

/** A request that ends each target that runs it. */
const crashingKind = {
  path: crashingPath,
  method: "GET",
  isIdempotent: true,
} as const;
const crashingIntervalMilliseconds = 600;

/** Options of {@link LoadGenerator}. */
export interface LoadGeneratorOptions {
  /** IP:PORT of every gateway. */
  readonly gateways: readonly string[];
  readonly monitor: InvariantMonitor;
  /** Name of the only target that names a limit. */
  readonly limitedTarget: string;
  readonly random: () => number;
}

/**
 * Sends requests as several concurrent callers, which reuse their connections
 * until a gateway closes them.
 */
export class LoadGenerator {
  readonly #options: LoadGeneratorOptions;
  readonly #agent = new Agent({ keepAlive: true });
  #callers: Promise<void>[] = [];
  #isStopped = false;
  #nextId = 1;

  constructor(options: LoadGeneratorOptions) {
    this.#options = options;
  }

  /** Waits until each gateway serves each kind of request, or throws. */
  async waitUntilServed(timeoutMilliseconds: number): Promise<void> {
    const until = performance.now() + timeoutMilliseconds;
    for (const gateway of this.#options.gateways) {
      for (const kind of requestKinds) {
        while (await this.#sendRequest(gateway, kind) !== 200) {
          if (performance.now() > until) {
            throw new Error(
              `gateway ${gateway} did not serve ${kind.path} in time`,
            );
          }
          await delay(thinkTimeMilliseconds);
        }
      }
    }
  }

  start(): void {
    this.#callers = Array.from(
      { length: callerCount },
      () => this.#runCaller(),
    );
    this.#callers.push(this.#runCrashingCaller());
  }

  async stop(): Promise<void> {
    this.#isStopped = true;
    await Promise.all(this.#callers);
    this.#agent.destroy();
  }

  async #runCaller(): Promise<void> {
    const { gateways, random } = this.#options;
    while (!this.#isStopped) {
      const gateway = gateways[Math.floor(random() * gateways.length)]!;
      await this.#sendRequest(
        gateway,
        requestKinds[Math.floor(random() * requestKinds.length)]!,
      );
      await delay(thinkTimeMilliseconds);
    }
  }

  async #runCrashingCaller(): Promise<void> {
    const { gateways, random } = this.#options;
    while (!this.#isStopped) {
      const gateway = gateways[Math.floor(random() * gateways.length)]!;
      await this.#sendRequest(gateway, crashingKind);
      await delay(crashingIntervalMilliseconds);
    }
  }

  /** Sends a request; resolves with the response status, or 0 on failure. */
  #sendRequest(
    gateway: string,
    kind: (typeof requestKinds)[number] | typeof crashingKind,
  ): Promise<number> {
    const { monitor, random, limitedTarget } = this.#options;
    const [host, port] = gateway.split(":");
    const id = `r${this.#nextId++}`;
    monitor.recordRequest(id, kind.isIdempotent, gateway);
    return new Promise((resolve) => {
      const request = send({
        host,
        port,
        agent: this.#agent,
        method: kind.method,
        path: kind.path,
        headers: clientHeaders({
          id,
          host: "jigs.example",
          deadlineMilliseconds,
          position: Math.floor(random() * positionCount),
        }),
      }, (response) => {
        const chunks: Buffer[] = [];
        response.on("data", (chunk) => chunks.push(chunk));
        response.on("error", () => resolve(0));
        response.on("end", () => {
          const status = response.statusCode ?? 0;
          monitor.recordResponse(id, {
            status,
            body: Buffer.concat(chunks).toString(),
            ...(namesLimit(response.headers) && { limitedTarget }),
          });
          resolve(status);
        });
      });
      const timer = setTimeout(() => request.destroy(), deadlineMilliseconds);
      request.once("close", () => clearTimeout(timer));
      request.once("error", () => resolve(0));
      request.end();
    });
  }
}

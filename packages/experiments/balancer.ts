import { Agent, request } from "undici";
import type { Deployment } from "./deployment.ts";
import type { RandomSource } from "./random_source.ts";

const probeIntervalMilliseconds = 100;
const probeTimeoutMilliseconds = 300;
/** Consecutive unanswered probes after which a VM receives no callers. */
const maximumMissedProbes = 2;

/** Simulates the platform's load balancer: probes the readiness of every VM. */
export class Balancer {
  readonly #deployment: Deployment;
  readonly #agent = new Agent({ connections: 1 });
  readonly #ready = new Set<string>();
  /** VMs that reported that they are not ready, or refused the connection. */
  readonly #unready = new Set<string>();
  readonly #probing = new Set<string>();
  readonly #missedProbes = new Map<string, number>();
  readonly #timer: NodeJS.Timeout;

  constructor(deployment: Deployment) {
    this.#deployment = deployment;
    this.#timer = setInterval(
      () => this.#probeAll(),
      probeIntervalMilliseconds,
    );
    this.#probeAll();
  }

  /**
   * Returns the callers' listener of a random ready VM. If none is ready, for
   * example because an overloaded machine answers no probe in time, falls back
   * to the VMs that are not known to be unready, then to all.
   */
  pick(random: RandomSource): string {
    const { vmNames } = this.#deployment;
    const notUnready = vmNames.filter((each) => !this.#unready.has(each));
    const candidateLists = [[...this.#ready], notUnready, vmNames];
    const names = candidateLists.find((each) => each.length > 0)!;
    return this.#deployment.callersAddress(random.pick(names));
  }

  /** Waits until every VM has reported that it is ready. */
  async untilAllReady(): Promise<void> {
    while (this.#ready.size < this.#deployment.vmNames.length) {
      await new Promise((resolve) =>
        setTimeout(resolve, probeIntervalMilliseconds)
      );
    }
  }

  /** Stops probing. */
  async stop(): Promise<void> {
    clearInterval(this.#timer);
    await this.#agent.destroy();
  }

  #probeAll(): void {
    for (const vm of this.#deployment.vmNames) {
      // A late response to an earlier probe must not overwrite a newer one.
      if (!this.#probing.has(vm)) void this.#probe(vm);
    }
  }

  async #probe(vm: string): Promise<void> {
    this.#probing.add(vm);
    try {
      const address = this.#deployment.operatorsAddress(vm);
      const { statusCode, body } = await request(`http://${address}/ready`, {
        dispatcher: this.#agent,
        signal: AbortSignal.timeout(probeTimeoutMilliseconds),
      });
      await body.dump();
      if (statusCode === 200) this.#markReady(vm);
      else this.#markUnready(vm);
    } catch (failure) {
      if (isConnectionRefused(failure)) this.#markUnready(vm);
      else this.#countMissedProbe(vm);
    } finally {
      this.#probing.delete(vm);
    }
  }

  #markReady(vm: string): void {
    this.#ready.add(vm);
    this.#unready.delete(vm);
    this.#missedProbes.delete(vm);
  }

  #markUnready(vm: string): void {
    this.#ready.delete(vm);
    this.#unready.add(vm);
  }

  #countMissedProbe(vm: string): void {
    const misses = (this.#missedProbes.get(vm) ?? 0) + 1;
    this.#missedProbes.set(vm, misses);
    if (misses >= maximumMissedProbes) this.#ready.delete(vm);
  }
}

function isConnectionRefused(failure: unknown): boolean {
  return failure instanceof Error && "code" in failure &&
    failure.code === "ECONNREFUSED";
}

import { Agent, request } from "undici";
import type { Deployment } from "./deployment.ts";
import type { RandomSource } from "./random_source.ts";

const pollMilliseconds = 100;
const pollTimeoutMilliseconds = 300;

/** A stand-in for the platform's balancer: asks every VM whether it is ready. */
export class Balancer {
  readonly #deployment: Deployment;
  readonly #agent = new Agent({ connections: 1 });
  readonly #ready = new Set<string>();
  readonly #timer: NodeJS.Timeout;

  constructor(deployment: Deployment) {
    this.#deployment = deployment;
    this.#timer = setInterval(() => this.#poll(), pollMilliseconds);
    this.#poll();
  }

  /** Callers' listener of a VM that is ready; of any VM when none is. */
  pick(random: RandomSource): string {
    const names = this.#ready.size > 0
      ? [...this.#ready]
      : this.#deployment.vmNames;
    return this.#deployment.callersAddress(random.pick(names));
  }

  /** Waits until it knows that every VM is ready. */
  async untilAllReady(): Promise<void> {
    while (this.#ready.size < this.#deployment.vmNames.length) {
      await new Promise((resolve) => setTimeout(resolve, pollMilliseconds));
    }
  }

  /** Stops asking. */
  async stop(): Promise<void> {
    clearInterval(this.#timer);
    await this.#agent.destroy();
  }

  #poll(): void {
    for (const vm of this.#deployment.vmNames) void this.#check(vm);
  }

  async #check(vm: string): Promise<void> {
    try {
      const address = this.#deployment.operatorsAddress(vm);
      const { statusCode, body } = await request(`http://${address}/ready`, {
        dispatcher: this.#agent,
        signal: AbortSignal.timeout(pollTimeoutMilliseconds),
      });
      await body.dump();
      if (statusCode === 200) this.#ready.add(vm);
      else this.#ready.delete(vm);
    } catch {
      this.#ready.delete(vm);
    }
  }
}

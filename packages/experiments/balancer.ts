import { Agent, request } from "undici";
import type { Deployment } from "./deployment.ts";
import type { RandomSource } from "./random_source.ts";

const pollMilliseconds = 100;
const pollTimeoutMilliseconds = 300;
/** Questions without an answer, in a row, after which a VM gets no callers. */
const mostMisses = 2;

/** A stand-in for the platform's balancer: asks every VM whether it is ready. */
export class Balancer {
  readonly #deployment: Deployment;
  readonly #agent = new Agent({ connections: 1 });
  readonly #ready = new Set<string>();
  /** VMs that said that they are not ready, or where nothing listens. */
  readonly #refusing = new Set<string>();
  readonly #asked = new Set<string>();
  readonly #misses = new Map<string, number>();
  readonly #timer: NodeJS.Timeout;

  constructor(deployment: Deployment) {
    this.#deployment = deployment;
    this.#timer = setInterval(() => this.#poll(), pollMilliseconds);
    this.#poll();
  }

  /**
   * Callers' listener of a VM that is ready. When none is, as on a machine that
   * answers nothing in time, of one that did not say that it is not ready.
   */
  pick(random: RandomSource): string {
    const { vmNames } = this.#deployment;
    const silent = vmNames.filter((each) => !this.#refusing.has(each));
    const choices = [[...this.#ready], silent, vmNames];
    const names = choices.find((each) => each.length > 0)!;
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
    for (const vm of this.#deployment.vmNames) {
      // A late answer to an earlier question must not count after a newer one.
      if (!this.#asked.has(vm)) void this.#check(vm);
    }
  }

  async #check(vm: string): Promise<void> {
    this.#asked.add(vm);
    try {
      const address = this.#deployment.operatorsAddress(vm);
      const { statusCode, body } = await request(`http://${address}/ready`, {
        dispatcher: this.#agent,
        signal: AbortSignal.timeout(pollTimeoutMilliseconds),
      });
      await body.dump();
      if (statusCode === 200) this.#noteReady(vm);
      else this.#noteRefusal(vm);
    } catch (failure) {
      if (isRefused(failure)) this.#noteRefusal(vm);
      else this.#noteMiss(vm);
    } finally {
      this.#asked.delete(vm);
    }
  }

  #noteReady(vm: string): void {
    this.#ready.add(vm);
    this.#refusing.delete(vm);
    this.#misses.delete(vm);
  }

  #noteRefusal(vm: string): void {
    this.#ready.delete(vm);
    this.#refusing.add(vm);
  }

  #noteMiss(vm: string): void {
    const misses = (this.#misses.get(vm) ?? 0) + 1;
    this.#misses.set(vm, misses);
    if (misses >= mostMisses) this.#ready.delete(vm);
  }
}

function isRefused(failure: unknown): boolean {
  return failure instanceof Error && "code" in failure &&
    failure.code === "ECONNREFUSED";
}

import { Agent } from "node:http";
import { sendAttempt } from "./attempt_sender.ts";
import type { RequestKind } from "./attempt_sender.ts";
import { AttemptEnd } from "./attempt_monitor.ts";
import type { AttemptMonitor } from "./attempt_monitor.ts";
import { delay } from "./fault_injector.ts";
import { callAndLeave } from "./leaving_caller.ts";
import { crashingPath } from "./soak_target.ts";
import type { InvariantMonitor } from "./invariant_monitor.ts";

const callerCount = 10;
const thinkTimeMilliseconds = 20;
/** Callers that keep one connection to one gateway, for each gateway. */
const connectedCallerCount = 1;
const connectedThinkTimeMilliseconds = 60;
/** Callers of a stopping gateway, which ask again at once, for each kind. */
const persistentCallerCount = 4;
/** Callers that leave before they get a response. */
const leavingCallerCount = 6;
/** Callers that send a request to a gateway as it is paused, and leave. */
const pausedCallerCount = 12;
const positionCount = 65_536;

/** Kinds of request, in equal shares. */
const requestKinds: readonly RequestKind[] = [
  { path: "/lookup/1", method: "GET", isIdempotent: true },
  { path: "/reserve/1", method: "POST", isIdempotent: false },
  { path: "/stock/1", method: "GET", isIdempotent: true },
];

/** A request that a gateway answers itself, at once. */
const unknownKind: RequestKind = {
  path: "/unknown/1",
  method: "GET",
  isIdempotent: true,
};

/** A request that ends each target that runs it. */
const crashingKind: RequestKind = {
  path: crashingPath,
  method: "GET",
  isIdempotent: true,
};
const crashingIntervalMilliseconds = 600;

/** A gateway that callers send requests to. */
export interface CalledGateway {
  readonly name: string;
  /** IP:PORT. */
  readonly address: string;
}

/** Options of {@link LoadGenerator}. */
export interface LoadGeneratorOptions {
  readonly gateways: readonly CalledGateway[];
  readonly monitor: InvariantMonitor;
  readonly attempts: AttemptMonitor;
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
  readonly #agents = new Set<Agent>();
  readonly #agent = this.#createAgent();
  readonly #callers = new Set<Promise<void>>();
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
        while (await this.#sendRequest({ gateway, kind }) !== 200) {
          if (performance.now() > until) {
            throw new Error(
              `${gateway.name} did not serve ${kind.path} in time`,
            );
          }
          await delay(thinkTimeMilliseconds);
        }
      }
    }
  }

  start(): void {
    for (let index = 0; index < callerCount; index += 1) {
      this.#addCaller(this.#runCaller());
    }
    for (const gateway of this.#options.gateways) {
      for (let index = 0; index < connectedCallerCount; index += 1) {
        this.#addCaller(this.#runConnectedCaller(gateway));
      }
    }
    for (let index = 0; index < leavingCallerCount; index += 1) {
      this.#addCaller(this.#runLeavingCaller());
    }
    this.#addCaller(this.#runCrashingCaller());
  }

  /** Sends requests to a gateway without a pause until it refuses them. */
  pressUntilGone(name: string): void {
    const gateway = this.#options.gateways.find((each) => each.name === name);
    if (!gateway) return;
    for (let index = 0; index < persistentCallerCount; index += 1) {
      for (const kinds of [requestKinds, [unknownKind]]) {
        this.#addCaller(this.#runPersistentCaller(gateway, kinds));
      }
    }
  }

  /** Sends requests to a gateway, whose callers leave soon. */
  callAndLeave(name: string): void {
    const gateway = this.#options.gateways.find((each) => each.name === name);
    if (!gateway) return;
    for (let index = 0; index < pausedCallerCount; index += 1) {
      this.#addCaller(this.#callAndLeave(gateway));
    }
  }

  async stop(): Promise<void> {
    this.#isStopped = true;
    await Promise.all(this.#callers);
    for (const agent of this.#agents) agent.destroy();
  }

  #addCaller(caller: Promise<void>): void {
    this.#callers.add(caller);
    void caller.then(() => this.#callers.delete(caller));
  }

  async #runCaller(): Promise<void> {
    const { gateways } = this.#options;
    while (!this.#isStopped) {
      await this.#sendRequest({
        gateway: this.#select(gateways),
        kind: this.#select(requestKinds),
      });
      await delay(thinkTimeMilliseconds);
    }
  }

  async #runConnectedCaller(gateway: CalledGateway): Promise<void> {
    const agent = this.#createAgent();
    while (!this.#isStopped) {
      const kind = this.#select(requestKinds);
      await this.#sendRequest({ gateway, kind, agent });
      await delay(connectedThinkTimeMilliseconds);
    }
  }

  async #runPersistentCaller(
    gateway: CalledGateway,
    kinds: readonly RequestKind[],
  ): Promise<void> {
    const agent = this.#createAgent();
    let isRefused = false;
    while (!this.#isStopped && !isRefused) {
      await this.#sendRequest({
        gateway,
        kind: this.#select(kinds),
        agent,
        onEnd: (end) => isRefused = end === AttemptEnd.refused,
      });
    }
    agent.destroy();
    this.#agents.delete(agent);
  }

  async #runLeavingCaller(): Promise<void> {
    while (!this.#isStopped) {
      await this.#callAndLeave(this.#select(this.#options.gateways));
      await delay(thinkTimeMilliseconds);
    }
  }

  #callAndLeave(gateway: CalledGateway): Promise<void> {
    const { monitor, random } = this.#options;
    const id = `r${this.#nextId++}`;
    return callAndLeave({ id, gateway, monitor, random });
  }

  async #runCrashingCaller(): Promise<void> {
    while (!this.#isStopped) {
      const gateway = this.#select(this.#options.gateways);
      await this.#sendRequest({ gateway, kind: crashingKind });
      await delay(crashingIntervalMilliseconds);
    }
  }

  #createAgent(): Agent {
    const agent = new Agent({ keepAlive: true });
    this.#agents.add(agent);
    return agent;
  }

  #select<Item>(items: readonly Item[]): Item {
    return items[Math.floor(this.#options.random() * items.length)]!;
  }

  /** Sends a request; resolves with the response status, or 0 on failure. */
  async #sendRequest({ gateway, kind, agent = this.#agent, onEnd }: {
    readonly gateway: CalledGateway;
    readonly kind: RequestKind;
    readonly agent?: Agent;
    readonly onEnd?: (end: AttemptEnd) => void;
  }): Promise<number> {
    const { monitor, attempts, random, limitedTarget } = this.#options;
    const id = `r${this.#nextId++}`;
    monitor.recordRequest(id, kind.isIdempotent, gateway.address);
    const sentAt = performance.now();
    const outcome = await sendAttempt({
      id,
      gateway: gateway.address,
      kind,
      position: Math.floor(random() * positionCount),
      agent,
    });
    const { end, status, body, isReused } = outcome;
    attempts.record({
      id,
      gateway: gateway.name,
      sentAt,
      endedAt: performance.now(),
      end,
      isReused,
      hasArrived: monitor.hasArrived(id),
    });
    onEnd?.(end);
    if (end === AttemptEnd.answered) {
      monitor.recordResponse(id, {
        status,
        body,
        isDelimited: outcome.isDelimited,
        ...(outcome.namesLimit && { limitedTarget }),
      });
    }
    return status;
  }
}

import { setTimeout as pause } from "node:timers/promises";
import type { CallerResponse } from "@kingcupglade/fakes";
import type { Balancer } from "./balancer.ts";
import type { Deployment } from "./deployment.ts";
import { RandomSource } from "./random_source.ts";

const resendPauseMilliseconds = 25;
/** Number of `unknown` responses after which a caller stops resending. */
const maximumUnknownResponses = 4;
const unknownPauseMilliseconds = 200;

/** Options of a {@link CallerPool}. */
export interface CallerPoolOptions {
  readonly deployment: Deployment;
  readonly balancer: Balancer;
  readonly seed: number;
  /** Number of callers, each of which has one request in progress at a time. */
  readonly callers: number;
  readonly tenants: readonly string[];
  /** Path before the key. */
  readonly pathPrefix: string;
  readonly keys: readonly string[];
  /** Time after which a caller abandons a request. @default 8000 */
  readonly requestTimeoutMilliseconds?: number;
  /** Pause between two requests of a caller. @default 5 */
  readonly pauseMilliseconds?: number;
}

/** Counts of requests and responses so far. */
export interface CallerTotals {
  /** Requests, without resends. */
  readonly requests: number;
  readonly answered: number;
  /** `not-run` responses, including those to resends. */
  readonly notRun: number;
  /** Requests abandoned after too many `unknown` responses. */
  readonly unknown: number;
  /** Connections that ended without a response. */
  readonly cut: number;
  /** Requests abandoned after `requestTimeoutMilliseconds`. */
  readonly timedOut: number;
  /** Longest time from the first attempt of a request to its response. */
  readonly maximumMilliseconds: number;
}

/**
 * Callers that look up and reserve keys until stopped, and resend with the same
 * Idempotency-Key until they are answered.
 */
export class CallerPool {
  readonly #options: Required<CallerPoolOptions>;
  readonly #running: Promise<void>;
  #stopped = false;
  #totals: CallerTotals = {
    requests: 0,
    answered: 0,
    notRun: 0,
    unknown: 0,
    cut: 0,
    timedOut: 0,
    maximumMilliseconds: 0,
  };

  constructor(options: CallerPoolOptions) {
    this.#options = {
      requestTimeoutMilliseconds: 8000,
      pauseMilliseconds: 5,
      ...options,
    };
    this.#running = Promise.all(
      Array.from(
        { length: options.callers },
        (_, index) => this.#runCaller(index),
      ),
    ).then(() => undefined);
  }

  /** Counts of requests and responses so far. */
  get totals(): CallerTotals {
    return this.#totals;
  }

  /** Resets the longest time. */
  resetMaximum(): void {
    this.#totals = { ...this.#totals, maximumMilliseconds: 0 };
  }

  /** Stops the callers after their current requests. */
  async stop(): Promise<void> {
    this.#stopped = true;
    await this.#running;
  }

  async #runCaller(caller: number): Promise<void> {
    const { seed, pauseMilliseconds } = this.#options;
    const random = new RandomSource(seed * 1000 + caller);
    for (let count = 0; !this.#stopped; count += 1) {
      await this.#sendUntilAnswered(random, `caller-${caller}-${count}`);
      await pause(pauseMilliseconds);
    }
  }

  async #sendUntilAnswered(random: RandomSource, id: string): Promise<void> {
    const { tenants, keys, requestTimeoutMilliseconds } = this.#options;
    const startedAt = performance.now();
    const key = random.pick(keys);
    const content = { key, tenant: random.pick(tenants), id };
    const method = random.pick(["GET", "POST"]);
    this.#add({ requests: 1 });
    let unknownResponses = 0;
    while (performance.now() - startedAt < requestTimeoutMilliseconds) {
      const { outcome } = await this.#send(random, { ...content, method });
      if (outcome === "answered") {
        this.#add({ answered: 1 });
        return this.#recordDuration(performance.now() - startedAt);
      }
      if (outcome === "unknown") {
        unknownResponses += 1;
        if (unknownResponses === maximumUnknownResponses) {
          return this.#add({ unknown: 1 });
        }
        await pause(unknownPauseMilliseconds);
      } else this.#add(outcome === "not-run" ? { notRun: 1 } : { cut: 1 });
      await pause(resendPauseMilliseconds);
    }
    this.#add({ timedOut: 1 });
    this.#recordDuration(performance.now() - startedAt);
  }

  #send(
    random: RandomSource,
    content: {
      readonly key: string;
      readonly tenant: string;
      readonly id: string;
      readonly method: string;
    },
  ): Promise<CallerResponse> {
    const { deployment, balancer, pathPrefix } = this.#options;
    const { key, tenant, id, method } = content;
    return deployment.caller.send({
      vm: balancer.pick(random),
      method,
      path: `${pathPrefix}${key}`,
      tenant,
      key,
      ...(method === "POST" ? { idempotencyKey: id } : {}),
    });
  }

  #add(counts: Partial<CallerTotals>): void {
    const totals: Record<string, number> = { ...this.#totals };
    for (const [name, count] of Object.entries(counts)) {
      totals[name] = totals[name]! + count;
    }
    this.#totals = totals as unknown as CallerTotals;
  }

  #recordDuration(milliseconds: number): void {
    const { maximumMilliseconds } = this.#totals;
    this.#totals = {
      ...this.#totals,
      maximumMilliseconds: Math.max(maximumMilliseconds, milliseconds),
    };
  }
}

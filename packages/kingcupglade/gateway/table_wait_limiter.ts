import type { RoutingTask } from "../control/routing_task.ts";

/** Options of a {@link TableWaitLimiter}. */
export interface TableWaitLimiterOptions {
  readonly routing: Pick<RoutingTask, "waitForRenewal">;
  /** Maximum requests waiting in total. @default 4096 */
  readonly maximumRequests?: number;
  /** Maximum requests waiting for one range or service. @default 512 */
  readonly maximumPerKey?: number;
}

/** Lets a limited number of requests wait for a new routing table. */
export class TableWaitLimiter {
  readonly #options: Required<TableWaitLimiterOptions>;
  readonly #countsByKey = new Map<string, number>();
  #total = 0;

  constructor(options: TableWaitLimiterOptions) {
    this.#options = {
      maximumRequests: 4096,
      maximumPerKey: 512,
      ...options,
    };
  }

  /** Number of waiting requests. */
  get size(): number {
    return this.#total;
  }

  /**
   * Waits for the next table, at most the given time; resolves with false at
   * once when too many requests are waiting.
   */
  async wait(key: string, milliseconds: number): Promise<boolean> {
    const { routing, maximumRequests, maximumPerKey } = this.#options;
    const waitingForKey = this.#countsByKey.get(key) ?? 0;
    if (this.#total >= maximumRequests || waitingForKey >= maximumPerKey) {
      return false;
    }
    this.#increment(key);
    await routing.waitForRenewal(milliseconds);
    this.#decrement(key);
    return true;
  }

  #increment(key: string): void {
    this.#total += 1;
    this.#countsByKey.set(key, (this.#countsByKey.get(key) ?? 0) + 1);
  }

  #decrement(key: string): void {
    this.#total -= 1;
    const remaining = (this.#countsByKey.get(key) ?? 1) - 1;
    if (remaining === 0) this.#countsByKey.delete(key);
    else this.#countsByKey.set(key, remaining);
  }
}

import type { RoutingTask } from "../control/routing_task.ts";

/** Options of a {@link WaitingRoom}. */
export interface WaitingRoomOptions {
  readonly routing: Pick<RoutingTask, "nextTable">;
  /** @default 4096 */
  readonly maximumRequests?: number;
  /** Most requests that wait for one range or service. @default 512 */
  readonly maximumPerSubject?: number;
}

/** Holds requests until the routing table changes, within bounds. */
export class WaitingRoom {
  readonly #options: Required<WaitingRoomOptions>;
  readonly #waiting = new Map<string, number>();
  #total = 0;

  constructor(options: WaitingRoomOptions) {
    this.#options = {
      maximumRequests: 4096,
      maximumPerSubject: 512,
      ...options,
    };
  }

  /** Requests that wait now. */
  get size(): number {
    return this.#total;
  }

  /** Waits for the next table; false at once when too many wait already. */
  async wait(subject: string, milliseconds: number): Promise<boolean> {
    const { routing, maximumRequests, maximumPerSubject } = this.#options;
    const others = this.#waiting.get(subject) ?? 0;
    if (this.#total >= maximumRequests || others >= maximumPerSubject) {
      return false;
    }
    this.#enter(subject);
    await routing.nextTable(milliseconds);
    this.#leave(subject);
    return true;
  }

  #enter(subject: string): void {
    this.#total += 1;
    this.#waiting.set(subject, (this.#waiting.get(subject) ?? 0) + 1);
  }

  #leave(subject: string): void {
    this.#total -= 1;
    const left = (this.#waiting.get(subject) ?? 1) - 1;
    if (left === 0) this.#waiting.delete(subject);
    else this.#waiting.set(subject, left);
  }
}

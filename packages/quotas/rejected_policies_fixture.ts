import {
  callTimeoutMilliseconds,
  electionMilliseconds,
  gatewayName,
  SimulatedPolicy,
} from "./simulated_policy_fixture.ts";
import type { SimulatedUse } from "./simulated_policy_fixture.ts";
import { SlidingCount } from "./sliding_count.ts";

const always: SimulatedUse = { send: () => true, release: () => {} };

/** Every gateway may use the same part of a limit; nothing is exchanged. */
export class EqualShares extends SimulatedPolicy {
  readonly #counts = new Map<string, SlidingCount>();

  override request(
    { gateway, workspace }: {
      readonly gateway: number;
      readonly workspace: string;
    },
    decide: (use: SimulatedUse | undefined) => void,
  ): void {
    const { network, gateways, settings } = this.options;
    const id = `${gateway}/${workspace}`;
    const count = this.#counts.get(id) ??
      new SlidingCount(settings.windowMilliseconds);
    this.#counts.set(id, count);
    const now = network.schedule.now();
    const total = this.total(workspace);
    const share = Math.floor(total / gateways) +
      (gateway < total % gateways ? 1 : 0);
    if (count.total(now) >= share) return decide(undefined);
    count.add(now);
    decide(always);
  }

  override limitsChanged(): void {}

  override loseLeader(): void {}

  override restart(gateway: number): void {
    for (const id of [...this.#counts.keys()]) {
      if (id.startsWith(`${gateway}/`)) this.#counts.delete(id);
    }
  }
}

/** A gateway counts all requests of a workspace and is asked for each. */
export class OneManager extends SimulatedPolicy {
  readonly #counts = new Map<string, SlidingCount>();
  /** Managers that were replaced, and when the next may admit anything. */
  readonly #replacedAt = new Map<string, number>();

  override request(
    { gateway, workspace }: {
      readonly gateway: number;
      readonly workspace: string;
    },
    decide: (use: SimulatedUse | undefined) => void,
  ): void {
    const { network, settings } = this.options;
    const self = gatewayName(gateway);
    const manager = this.#manager(workspace);
    if (manager === self) {
      return decide(this.#take(workspace) ? always : undefined);
    }
    let isDecided = false;
    const settle = (use: SimulatedUse | undefined) => {
      if (!isDecided) decide(use);
      isDecided = true;
    };
    network.send(self, manager, [workspace], () => {
      const isTaken = this.#take(workspace);
      network.send(
        manager,
        self,
        [isTaken],
        () => settle(isTaken ? always : undefined),
      );
    });
    network.at(self, callTimeoutMilliseconds, () => {
      if (isDecided) return;
      settle(undefined);
      // The next manager knows nothing of the last window.
      if (network.isolated.has(manager) && !this.#replacedAt.has(workspace)) {
        this.#replacedAt.set(
          workspace,
          network.schedule.now() + electionMilliseconds +
            settings.windowMilliseconds,
        );
        this.#counts.delete(workspace);
      }
    });
  }

  override limitsChanged(): void {}

  override loseLeader(): void {}

  override restart(): void {}

  #manager(workspace: string): string {
    const offset = this.#replacedAt.has(workspace) ? 1 : 0;
    return gatewayName((workspace.length + offset) % this.options.gateways);
  }

  #take(workspace: string): boolean {
    const { network, settings } = this.options;
    const now = network.schedule.now();
    if (now < (this.#replacedAt.get(workspace) ?? 0)) return false;
    const count = this.#counts.get(workspace) ??
      new SlidingCount(settings.windowMilliseconds);
    this.#counts.set(workspace, count);
    if (count.total(now) >= this.total(workspace)) return false;
    count.add(now);
    return true;
  }
}

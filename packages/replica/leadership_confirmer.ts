import { quorumContactAt } from "@kingcupglade/consensus";
import type { ConsensusState } from "@kingcupglade/consensus";
import type { Clock } from "@kingcupglade/tasks";

/** Minimum interval between rounds; short, as targets wait only one second. */
const roundIntervalMilliseconds = 150;

interface Waiter {
  readonly requestedAt: number;
  readonly resolve: (isConfirmed: boolean) => void;
}

/** Options of {@link LeadershipConfirmer}. */
export interface LeadershipConfirmerOptions {
  readonly clock: Clock;
  readonly state: () => ConsensusState;
  /** Sends a heartbeat to every other replica. */
  readonly sendHeartbeats: () => void;
}

/** Confirms leadership with rounds of heartbeats to the quorum. */
export class LeadershipConfirmer {
  readonly #options: LeadershipConfirmerOptions;
  readonly #waiters = new Set<Waiter>();
  #timer: NodeJS.Timeout | undefined;
  #roundStartedAt = -Infinity;

  constructor(options: LeadershipConfirmerOptions) {
    this.#options = options;
  }

  /**
   * Resolves with whether a majority responded within the timeout to a round
   * that started after this call.
   */
  confirm(timeoutMilliseconds: number): Promise<boolean> {
    const requestedAt = this.#options.clock.now();
    return new Promise((resolve) => {
      const finish = (isConfirmed: boolean) => {
        clearTimeout(timer);
        this.#waiters.delete(waiter);
        resolve(isConfirmed);
      };
      const waiter: Waiter = { requestedAt, resolve: finish };
      const timer = setTimeout(() => finish(false), timeoutMilliseconds);
      this.#waiters.add(waiter);
      this.#schedule(requestedAt);
    });
  }

  /** Resolves the confirmations that the latest quorum contact covers. */
  resolveConfirmed(): void {
    if (this.#waiters.size === 0) return;
    const { state, clock } = this.#options;
    const contactAt = quorumContactAt(state(), clock.now());
    for (const { requestedAt, resolve } of this.#waiters) {
      if (contactAt >= requestedAt) resolve(true);
    }
  }

  /** Stops starting rounds. */
  stop(): void {
    clearTimeout(this.#timer);
  }

  // Confirmations requested within one interval share a round.
  #schedule(now: number): void {
    if (this.#timer) return;
    const delayMilliseconds = this.#roundStartedAt + roundIntervalMilliseconds -
      now;
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      this.#roundStartedAt = this.#options.clock.now();
      this.#options.sendHeartbeats();
      this.resolveConfirmed();
    }, Math.max(0, delayMilliseconds));
  }
}

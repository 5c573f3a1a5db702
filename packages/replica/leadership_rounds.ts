import { quorumContactAt } from "@kingcupglade/consensus";
import type { ConsensusState } from "@kingcupglade/consensus";
import type { Clock } from "@kingcupglade/tasks";

/** Rounds that confirm the lead are this far apart; targets wait a second. */
const confirmIntervalMilliseconds = 150;

interface Waiter {
  readonly since: number;
  readonly resolve: (isConfirmed: boolean) => void;
}

/** Options of {@link LeadershipRounds}. */
export interface LeadershipRoundsOptions {
  readonly clock: Clock;
  readonly state: () => ConsensusState;
  /** Sends a heartbeat to every replica. */
  readonly begin: () => void;
}

/** Rounds of messages by which a leader learns that it still leads. */
export class LeadershipRounds {
  readonly #options: LeadershipRoundsOptions;
  readonly #waiters = new Set<Waiter>();
  #timer: NodeJS.Timeout | undefined;
  #begunAt = -Infinity;

  constructor(options: LeadershipRoundsOptions) {
    this.#options = options;
  }

  /** Resolves with whether a round that began after this call was answered. */
  confirm(timeoutMilliseconds: number): Promise<boolean> {
    const since = this.#options.clock.now();
    return new Promise((resolve) => {
      const finish = (isConfirmed: boolean) => {
        clearTimeout(timer);
        this.#waiters.delete(waiter);
        resolve(isConfirmed);
      };
      const waiter: Waiter = { since, resolve: finish };
      const timer = setTimeout(() => finish(false), timeoutMilliseconds);
      this.#waiters.add(waiter);
      this.#schedule(since);
    });
  }

  /** Looks at what has been answered. */
  note(): void {
    if (this.#waiters.size === 0) return;
    const { state, clock } = this.#options;
    const contactAt = quorumContactAt(state(), clock.now());
    for (const { since, resolve } of this.#waiters) {
      if (contactAt >= since) resolve(true);
    }
  }

  /** Begins no more rounds. */
  stop(): void {
    clearTimeout(this.#timer);
  }

  // Those that wait within one interval share a round.
  #schedule(now: number): void {
    if (this.#timer) return;
    const pause = this.#begunAt + confirmIntervalMilliseconds - now;
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      this.#begunAt = this.#options.clock.now();
      this.#options.begin();
      this.note();
    }, Math.max(0, pause));
  }
}

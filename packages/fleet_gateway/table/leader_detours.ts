import { setTimeout as pause } from "node:timers/promises";
import type { WatchAnswer } from "@kingcupglade/fleet_control";
import type { LeaderPath } from "./leader_path.ts";

/** Options of {@link LeaderDetours}. */
export interface LeaderDetoursOptions {
  /** Asks on a path whether its leader leads. */
  readonly ask: (path: LeaderPath) => Promise<WatchAnswer>;
  /**
   * Returns the time that a leader has to respond by itself from when it is named
   * first, in milliseconds.
   */
  readonly delayMilliseconds: (leader: string) => number;
  /** Whether the leader is no longer searched. */
  readonly hasEnded: () => boolean;
}

/**
 * Asks a leader that does not respond by itself through the control VMs that name
 * it, as only the path to it may be cut.
 */
export class LeaderDetours {
  /** The first path on which a leader has responded. */
  readonly found: Promise<LeaderPath>;
  readonly #options: LeaderDetoursOptions;
  /** Resolve when a leader has had its time to respond, by its address. */
  readonly #due = new Map<string, Promise<void>>();
  /** Control VMs through which a leader is being asked. */
  readonly #asked = new Set<string>();
  #resolve!: (path: LeaderPath) => void;

  constructor(options: LeaderDetoursOptions) {
    this.#options = options;
    this.found = new Promise((resolve) => this.#resolve = resolve);
  }

  /** Handles that the VM at the address `through` names a leader. */
  async tryPath(through: string, leader: string): Promise<void> {
    const { ask, delayMilliseconds, hasEnded } = this.#options;
    if (through === leader || this.#asked.has(through)) return;
    this.#asked.add(through);
    const due = this.#due.get(leader) ?? pause(delayMilliseconds(leader));
    this.#due.set(leader, due);
    try {
      await due;
      if (hasEnded()) return;
      const path = { leader, through };
      if ((await ask(path)).kind === "leads") this.#resolve(path);
    } catch {
      // The VM does not respond; it is asked again when it names a leader again.
    } finally {
      this.#asked.delete(through);
    }
  }
}

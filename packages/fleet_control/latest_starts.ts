import type { Departure } from "@kingcupglade/fleet";
import type { HeldTargets } from "./held_targets.ts";
import type { FleetReplica } from "./leader_session.ts";

/** What a leader knows of an entry of the log whose start is not certain. */
interface LatestStart {
  /** Latest start that the entry can be meant for, which it names. */
  readonly bornAt: number;
  /** Latest start that is known to have left. */
  certain: number;
}

/**
 * Departures for which this leader named the latest possible start in the log.
 * To later leaders they apply up to that start. This leader can tell an
 * incarnation that started afterwards on a clock that is behind.
 */
export class LatestStarts {
  readonly #replica: FleetReplica;
  readonly #held: HeldTargets;
  readonly #starts = new Map<string, LatestStart>();

  constructor({ replica, held }: {
    readonly replica: FleetReplica;
    readonly held: HeldTargets;
  }) {
    this.#replica = replica;
    this.#held = held;
  }

  /** Adds the start that the entry of a target is going to name. */
  add(target: string, bornAt: number): void {
    const { departures } = this.#replica.state;
    const certain = this.certainOf(target)?.bornAt ?? -Infinity;
    for (const [name, start] of this.#starts) {
      const stored = departures.get(name);
      const isCurrent = stored && stored.bornAt <= start.bornAt;
      if (!isCurrent && !this.#held.has(name)) this.#starts.delete(name);
    }
    this.#starts.set(target, { bornAt, certain });
  }

  /** Start that an entry has to name to apply to a start that has left. */
  namedFor(target: string, bornAt: number): number {
    const stored = this.#replica.state.departures.get(target);
    const certain = this.certainOf(target);
    return stored && certain && certain.bornAt < bornAt
      ? Math.max(stored.bornAt, bornAt)
      : bornAt;
  }

  /** Records that a start is known to have left. */
  confirm(target: string, bornAt: number): void {
    const start = this.#starts.get(target);
    if (start) start.certain = Math.max(start.certain, bornAt);
  }

  /** Departure of a target in the log, up to the start that is certain. */
  certainOf(target: string): Departure | undefined {
    const stored = this.#replica.state.departures.get(target);
    const start = this.#starts.get(target);
    return stored && start && stored.bornAt <= start.bornAt
      ? { ...stored, bornAt: start.certain }
      : stored;
  }
}

import type { Clock } from "@kingcupglade/tasks";

/** Targets that left have ended after this long, and their names may be reused. */
const heldMilliseconds = 60_000;

/** A target that is held; times on the leader's clock, in milliseconds. */
export interface HeldTarget {
  readonly since: number;
  until: number;
  /** Whether the log has an entry for it. */
  isRecorded: boolean;
}

/**
 * Targets that left without a known start. While one is held, no incarnation of
 * its name is used: an unheard one may be the one that left, and times of day of
 * different VMs do not tell.
 */
export class HeldTargets {
  readonly #clock: Clock;
  readonly #targets = new Map<string, HeldTarget>();

  constructor({ clock }: { readonly clock: Clock }) {
    this.#clock = clock;
  }

  /** Holds a target, or holds it for longer. */
  hold(target: string): HeldTarget {
    const now = this.#clock.now();
    for (const [name, { until }] of this.#targets) {
      if (until <= now) this.#targets.delete(name);
    }
    const held = this.#targets.get(target) ??
      { since: now, until: now, isRecorded: false };
    held.until = now + heldMilliseconds;
    this.#targets.set(target, held);
    return held;
  }

  has(target: string): boolean {
    return this.#clock.now() < (this.#targets.get(target)?.until ?? -Infinity);
  }

  release(target: string): void {
    this.#targets.delete(target);
  }
}

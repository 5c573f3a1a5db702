import { Clock } from "@kingcupglade/tasks";

/** The process's monotonic clock, which stands still for a VM that is held. */
export class HeldClock extends Clock {
  #heldAt: number | undefined;

  override now(): number {
    return this.#heldAt ?? performance.now();
  }

  /** Whether it stands still. */
  get isHeld(): boolean {
    return this.#heldAt !== undefined;
  }

  /** Stands still from now on. */
  hold(): void {
    this.#heldAt ??= performance.now();
  }

  /** Goes on, with a jump over the time in between. */
  release(): void {
    this.#heldAt = undefined;
  }
}

import { Clock } from "@kingcupglade/tasks";

/** The process's monotonic clock, which stops while a VM is paused. */
export class PausableClock extends Clock {
  #pausedAt: number | undefined;

  override now(): number {
    return this.#pausedAt ?? performance.now();
  }

  /** Whether the clock is stopped. */
  get isPaused(): boolean {
    return this.#pausedAt !== undefined;
  }

  /** Stops the clock. */
  pause(): void {
    this.#pausedAt ??= performance.now();
  }

  /** Restarts the clock, which then jumps ahead to the current time. */
  resume(): void {
    this.#pausedAt = undefined;
  }
}

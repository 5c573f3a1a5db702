/** Tracks the directions between processes that are cut. */
export class Network {
  readonly #cuts = new Map<string, number>();
  readonly #waiting = new Map<string, (() => void)[]>();

  /**
   * Cuts the direction between two processes; returns a function that restores
   * it.
   */
  cut(from: string, to: string): () => void {
    const direction = directionOf(from, to);
    this.#cuts.set(direction, (this.#cuts.get(direction) ?? 0) + 1);
    return () => this.#restore(direction);
  }

  /** Resolves when the direction is restored; returns undefined if not cut. */
  whenOpen(from: string, to: string): Promise<void> | undefined {
    const direction = directionOf(from, to);
    if (!this.#cuts.has(direction)) return undefined;
    return new Promise((resolve) => {
      const waiting = this.#waiting.get(direction) ?? [];
      this.#waiting.set(direction, [...waiting, resolve]);
    });
  }

  #restore(direction: string): void {
    const remaining = this.#cuts.get(direction)! - 1;
    if (remaining > 0) {
      this.#cuts.set(direction, remaining);
      return;
    }
    this.#cuts.delete(direction);
    const waiting = this.#waiting.get(direction) ?? [];
    this.#waiting.delete(direction);
    for (const resolve of waiting) resolve();
  }
}

function directionOf(from: string, to: string): string {
  return `${from}>${to}`;
}

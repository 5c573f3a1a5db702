/** Which ways between processes are cut now. */
export class Network {
  readonly #cuts = new Map<string, number>();
  readonly #waiting = new Map<string, (() => void)[]>();

  /** Cuts the way from one process to another; returns what heals it. */
  cut(from: string, to: string): () => void {
    const way = wayOf(from, to);
    this.#cuts.set(way, (this.#cuts.get(way) ?? 0) + 1);
    return () => this.#heal(way);
  }

  /** Resolves when the way is open; undefined when it is open now. */
  whenOpen(from: string, to: string): Promise<void> | undefined {
    const way = wayOf(from, to);
    if (!this.#cuts.has(way)) return undefined;
    return new Promise((resolve) => {
      const waiting = this.#waiting.get(way) ?? [];
      this.#waiting.set(way, [...waiting, resolve]);
    });
  }

  #heal(way: string): void {
    const left = this.#cuts.get(way)! - 1;
    if (left > 0) {
      this.#cuts.set(way, left);
      return;
    }
    this.#cuts.delete(way);
    const waiting = this.#waiting.get(way) ?? [];
    this.#waiting.delete(way);
    for (const resolve of waiting) resolve();
  }
}

function wayOf(from: string, to: string): string {
  return `${from}>${to}`;
}

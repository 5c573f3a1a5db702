/** A duration that differs by less from the one told before is not told. */
const leastChange = 0.15;
/** Told again after this long, as a report may have been lost. */
const repeatMilliseconds = 10_000;

/** Which durations of targets are worth telling, as most stay as they are. */
export class ChangedDurations {
  readonly #told = new Map<
    string,
    { readonly milliseconds: number; readonly at: number }
  >();

  /** The rows that differ from what was told, which are told from now on. */
  take<Row extends { readonly target: string; readonly milliseconds: number }>(
    rows: readonly Row[],
    now: number,
  ): readonly Row[] {
    const changed = rows.filter(({ target, milliseconds }) => {
      const told = this.#told.get(target);
      return told === undefined || now - told.at > repeatMilliseconds ||
        Math.abs(milliseconds - told.milliseconds) >
          told.milliseconds * leastChange;
    });
    for (const { target, milliseconds } of changed) {
      this.#told.set(target, { milliseconds, at: now });
    }
    return changed;
  }

  /** Has everything told again, as another leader asks. */
  clear(): void {
    this.#told.clear();
  }

  /** Forgets a target that is gone. */
  forget(target: string): void {
    this.#told.delete(target);
  }
}

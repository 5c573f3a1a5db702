/** Changes by a smaller share of the reported duration are not reported. */
const minimumChangeShare = 0.15;
/** Unchanged durations are repeated after this, in case a report was lost. */
const repeatIntervalMilliseconds = 10_000;

/**
 * Selects which targets' mean durations a gateway reports to the leader: only
 * those that changed, because most do not.
 */
export class ChangedDurations {
  readonly #reported = new Map<
    string,
    { readonly milliseconds: number; readonly at: number }
  >();

  /**
   * Returns the rows that are new, differ from the last report or are due to be
   * repeated, and records them as reported.
   */
  take<
    Row extends { readonly target: string; readonly milliseconds: number },
  >(
    rows: readonly Row[],
    now: number,
  ): readonly Row[] {
    const changed = rows.filter(({ target, milliseconds }) => {
      const reported = this.#reported.get(target);
      return reported === undefined ||
        now - reported.at > repeatIntervalMilliseconds ||
        Math.abs(milliseconds - reported.milliseconds) >
          reported.milliseconds * minimumChangeShare;
    });
    for (const { target, milliseconds } of changed) {
      this.#reported.set(target, { milliseconds, at: now });
    }
    return changed;
  }

  /** Causes all durations to be reported again, which a new leader needs. */
  clear(): void {
    this.#reported.clear();
  }

  /** Discards the last report on a target that was removed. */
  forget(target: string): void {
    this.#reported.delete(target);
  }
}

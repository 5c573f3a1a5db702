import type { BorrowerRecorder } from "./borrower_recorder.ts";
import { boundFor, boundOf } from "./borrowers.ts";
import type { Borrowers } from "./borrowers.ts";
import { withHeadroom } from "./workspace_loans.ts";

/** A bound is too high if less than this share of it is held. */
const usedShare = 1 / 4;
/** Time after which a bound that is too high is lowered. */
const unusedMilliseconds = 30_000;
/**
 * Bounds from which on a higher one is recorded before the demand has reached
 * the present one. Smaller ones are mostly passed by chance.
 */
const minimumAdvanced = 8;

/** What the {@link LoanBounds} need of the record. */
export type BoundRecorder = Pick<
  BorrowerRecorder,
  "committed" | "mayLend" | "bound" | "raise" | "reduce"
>;

/** Bounds on the allowances of pairs of borrower and workspace. */
export class LoanBounds {
  readonly #recorder: BoundRecorder;
  /** The record that earlier leaders have left. */
  readonly #before: Borrowers;
  /** Since when less than the share is held, by borrower and workspace. */
  readonly #unusedSince = new Map<string, Map<string, number>>();

  constructor(recorder: BoundRecorder) {
    this.#recorder = recorder;
    this.#before = recorder.committed;
  }

  /**
   * Returns what may be lent of an allowance, and asks for a higher bound if the
   * demand calls for it.
   */
  limit(
    { id, workspace, allowance, demand, total }: {
      readonly id: string;
      readonly workspace: string;
      readonly allowance: number;
      readonly demand: number;
      readonly total: number;
    },
  ): number {
    // What a borrower without a record reports is not renewed either.
    if (!this.#recorder.mayLend(id)) return 0;
    const bound = this.#recorder.bound(id, workspace, total);
    if (allowance <= bound) return allowance;
    const wanted = withHeadroom(demand);
    const isShort = demand > bound ||
      (wanted > bound && bound >= minimumAdvanced);
    if (isShort) {
      const needed = Math.min(allowance, wanted);
      this.#recorder.raise(id, workspace, boundFor(needed, total));
    }
    return bound;
  }

  /**
   * Returns the largest sum that borrowers may hold by loans of earlier leaders,
   * beyond what is known of them.
   *
   * @param known Returns what is known that a borrower may hold.
   */
  unknown(
    workspace: string,
    { total, borrowers, known }: {
      readonly total: number;
      readonly borrowers: Iterable<string>;
      readonly known: (id: string) => number;
    },
  ): number {
    let sum = 0;
    for (const id of borrowers) {
      const bound = boundOf(total, this.#before.get(id)?.get(workspace));
      sum += Math.max(0, bound - known(id));
    }
    return Math.ceil(sum);
  }

  /** Asks for lower bounds of what is not used; called periodically. */
  review(
    now: number,
    { total, outstanding }: {
      readonly total: (workspace: string) => number;
      readonly outstanding: (id: string, workspace: string) => number;
    },
  ): void {
    const { committed } = this.#recorder;
    for (const id of this.#unusedSince.keys()) {
      if (!committed.has(id)) this.#unusedSince.delete(id);
    }
    for (const [id, bounds] of committed) {
      if (bounds.size === 0) continue;
      const before = this.#unusedSince.get(id);
      const unused = new Map<string, number>();
      for (const [workspace, bound] of bounds) {
        const held = outstanding(id, workspace);
        if (held >= bound * usedShare) continue;
        const since = before?.get(workspace) ?? now;
        unused.set(workspace, since);
        if (now - since < unusedMilliseconds) continue;
        const lower = boundFor(held, total(workspace));
        if (lower < bound) {
          this.#recorder.reduce([id, workspace, lower], now);
        }
      }
      this.#unusedSince.set(id, unused);
    }
  }
}

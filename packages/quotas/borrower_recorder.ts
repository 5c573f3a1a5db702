import { boundOf, gatewayOf } from "./borrowers.ts";
import type { BorrowerChange, Borrowers, BoundRow } from "./borrowers.ts";

/**
 * Shortest time between two entries that gateways wait for. Borrowers that appear
 * together, as after a start of the fleet, are recorded by one.
 */
const urgentIntervalMilliseconds = 100;
/** Time for which a removal or a lower bound waits for others. */
const removalDelayMilliseconds = 10_000;

/** Result of a proposal. */
export const ProposalResult = {
  committed: "committed",
  /** It was not committed and never will be. */
  rejected: "rejected",
  /** The leader was replaced before it knew. */
  unknown: "unknown",
} as const;
export type ProposalResult = typeof ProposalResult[keyof typeof ProposalResult];

/** Options of a {@link BorrowerRecorder}. */
export interface BorrowerRecorderOptions {
  /** Returns the record that is committed and applied at this VM. */
  readonly committed: () => Borrowers;
  /** Whether there is anything to lend; otherwise nothing is recorded. */
  readonly isNeeded: () => boolean;
  /** Commits a change, and calls `done` once its result is known. */
  readonly propose: (
    change: BorrowerChange,
    done: (result: ProposalResult) => void,
  ) => void;
  /** Called with the gateways that may be lent more than before. */
  readonly onExtended: (gateways: ReadonlySet<string>) => void;
}

/**
 * Records in the replicated log who may hold loans, during one term as leader.
 * One entry is proposed at a time; what is asked for meanwhile is in the next.
 */
export class BorrowerRecorder {
  readonly #options: BorrowerRecorderOptions;
  readonly #additions = new Set<string>();
  readonly #removals = new Set<string>();
  /** Bounds that are asked for, by pair of borrower and workspace. */
  readonly #raises = new Map<string, BoundRow>();
  readonly #reductions = new Map<string, BoundRow>();
  /** When the oldest of the removals and reductions was asked for. */
  #removalsSince: number | undefined;
  /**
   * Borrowers that a proposed entry removes: nothing may be lent to them until
   * another entry has added them again.
   */
  readonly #withdrawn = new Set<string>();
  /** Lower bounds in an entry that is proposed; they hold from then on. */
  readonly #reducing = new Map<string, BoundRow>();
  #isProposing = false;
  #proposedAt = -Infinity;

  constructor(options: BorrowerRecorderOptions) {
    this.#options = options;
  }

  /** The recorded borrowers. */
  get committed(): Borrowers {
    return this.#options.committed();
  }

  /** Whether allowances may be lent to a borrower. */
  mayLend(id: string): boolean {
    return this.committed.has(id) && !this.#withdrawn.has(id);
  }

  /**
   * Returns the largest allowance that may be lent to a borrower that
   * {@link mayLend} permits.
   */
  bound(id: string, workspace: string, total: number): number {
    const key = pairKey(id, workspace);
    const reduced = this.#reducing.get(key) ?? this.#reductions.get(key);
    const recorded = this.committed.get(id)?.get(workspace) ?? 0;
    return Math.floor(
      boundOf(total, Math.min(recorded, reduced?.[2] ?? recorded)),
    );
  }

  /** Asks for a higher bound, and ends a reduction not yet proposed. */
  raise(id: string, workspace: string, bound: number): void {
    const key = pairKey(id, workspace);
    this.#reductions.delete(key);
    const recorded = this.committed.get(id)?.get(workspace) ?? 0;
    if (recorded >= bound && !this.#reducing.has(key)) return;
    this.#raises.set(key, [id, workspace, bound]);
  }

  /**
   * Asks for a lower bound, which holds at once: the borrower must not hold more.
   */
  reduce(
    [id, workspace, bound]: BoundRow,
    now: number,
  ): void {
    const key = pairKey(id, workspace);
    if (this.#raises.has(key) || this.#reducing.has(key)) return;
    this.#reductions.set(key, [id, workspace, bound]);
    this.#removalsSince ??= now;
  }

  /** Asks for a record of a borrower, and ends a removal not yet proposed. */
  add(id: string): void {
    this.#removals.delete(id);
    if (!this.mayLend(id)) this.#additions.add(id);
  }

  /** Asks for the removal of a borrower whose loans have lapsed. */
  remove(id: string, now: number): void {
    this.#additions.delete(id);
    if (!this.mayLend(id)) return;
    this.#removals.add(id);
    this.#removalsSince ??= now;
  }

  /** Proposes an entry if one is due. */
  tick(now: number): void {
    if (this.#isProposing || !this.#options.isNeeded()) return;
    if (!this.#isUrgent(now) && !this.#isRemovalDue(now)) return;
    const change = this.#takeChange();
    const { add, remove, bounds = [] } = change;
    if (add.length + remove.length + bounds.length === 0) return;
    this.#isProposing = true;
    this.#proposedAt = now;
    this.#options.propose(change, (result) => this.#end(change, result));
  }

  #isUrgent(now: number): boolean {
    return this.#additions.size + this.#raises.size > 0 &&
      now - this.#proposedAt >= urgentIntervalMilliseconds;
  }

  #isRemovalDue(now: number): boolean {
    return this.#removals.size + this.#reductions.size > 0 &&
      now - (this.#removalsSince ?? now) >= removalDelayMilliseconds;
  }

  #takeChange(): BorrowerChange {
    const add = [...this.#additions].filter((id) => !this.mayLend(id));
    const remove = [...this.#removals];
    const raises = [...this.#raises.values()].filter(([id, workspace, bound]) =>
      this.mayLend(id) && !remove.includes(id) &&
      bound > (this.committed.get(id)?.get(workspace) ?? 0)
    );
    const reductions = [...this.#reductions].filter(([, [id]]) =>
      this.mayLend(id) && !remove.includes(id)
    );
    this.#additions.clear();
    this.#removals.clear();
    this.#raises.clear();
    this.#reductions.clear();
    this.#removalsSince = undefined;
    for (const id of remove) this.#withdrawn.add(id);
    for (const [key, row] of reductions) this.#reducing.set(key, row);
    const bounds = [...raises, ...reductions.map(([, row]) => row)];
    return { add, remove, ...(bounds.length > 0 && { bounds }) };
  }

  #end(
    { add, remove, bounds = [] }: BorrowerChange,
    result: ProposalResult,
  ): void {
    // A later leader may commit the entry, so that removals and reductions still
    // hold, and this VM leads no more.
    if (result === ProposalResult.unknown) return;
    this.#isProposing = false;
    for (const id of remove) this.#withdrawn.delete(id);
    this.#reducing.clear();
    if (result === ProposalResult.committed) {
      const extended = [...add, ...bounds.map(([id]) => id)];
      this.#options.onExtended(new Set(extended.map(gatewayOf)));
    }
  }
}

function pairKey(id: string, workspace: string): string {
  return `${id}\n${workspace}`;
}

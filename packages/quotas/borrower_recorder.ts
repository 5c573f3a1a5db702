import { gatewayOf } from "./borrowers.ts";
import type { BorrowerChange, Borrowers } from "./borrowers.ts";

/**
 * Shortest time between two entries that gateways wait for. Borrowers that appear
 * together, as after a start of the fleet, are recorded by one.
 */
const urgentIntervalMilliseconds = 100;
/** Time for which a removal waits for others; nothing depends on it. */
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
  /** When the oldest of the removals was asked for. */
  #removalsSince: number | undefined;
  /**
   * Borrowers that a proposed entry removes: nothing may be lent to them until
   * another entry has added them again.
   */
  readonly #withdrawn = new Set<string>();
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
    if (change.add.length + change.remove.length === 0) return;
    this.#isProposing = true;
    this.#proposedAt = now;
    this.#options.propose(change, (result) => this.#end(change, result));
  }

  #isUrgent(now: number): boolean {
    return this.#additions.size > 0 &&
      now - this.#proposedAt >= urgentIntervalMilliseconds;
  }

  #isRemovalDue(now: number): boolean {
    return this.#removals.size > 0 &&
      now - (this.#removalsSince ?? now) >= removalDelayMilliseconds;
  }

  #takeChange(): BorrowerChange {
    const add = [...this.#additions].filter((id) => !this.mayLend(id));
    const remove = [...this.#removals];
    this.#additions.clear();
    this.#removals.clear();
    this.#removalsSince = undefined;
    for (const id of remove) this.#withdrawn.add(id);
    return { add, remove };
  }

  #end({ add, remove }: BorrowerChange, result: ProposalResult): void {
    // A later leader may commit the entry, so that the removals still hold, and
    // this VM leads no more.
    if (result === ProposalResult.unknown) return;
    this.#isProposing = false;
    for (const id of remove) this.#withdrawn.delete(id);
    if (result === ProposalResult.committed) {
      this.#options.onExtended(new Set(add.map(gatewayOf)));
    }
  }
}

import { ProposalResult } from "./borrower_recorder.ts";
import type { BorrowerRecorder } from "./borrower_recorder.ts";
import { changeBorrowers } from "./borrowers.ts";
import type { BorrowerChange, Borrowers } from "./borrowers.ts";
import type { QuotaLender } from "./quota_lender.ts";
import type { SimulatedNetwork } from "./simulated_network_fixture.ts";

/** Longest time until an entry is committed. */
const commitMilliseconds = 20;

/** Leader of one term, which may go on after it was replaced. */
export class SimulatedLeader {
  readonly name: string;
  readonly lender: QuotaLender;
  readonly recorder: BorrowerRecorder;
  /** Committed as far as it knows. */
  borrowers: Borrowers;
  /** Ends the wait of a gateway's watch. */
  readonly waiters = new Map<string, () => void>();
  readonly wokenAt = new Map<string, number>();
  /** When a quorum last confirmed it; undefined while it is confirmed. */
  confirmedAt: number | undefined;

  constructor(
    name: string,
    borrowers: Borrowers,
    create: (leader: SimulatedLeader) => {
      readonly recorder: BorrowerRecorder;
      readonly lender: QuotaLender;
    },
  ) {
    this.name = name;
    this.borrowers = borrowers;
    const { recorder, lender } = create(this);
    this.recorder = recorder;
    this.lender = lender;
  }
}

/** An entry that is not committed yet. */
export interface Proposal {
  readonly leader: SimulatedLeader;
  readonly change: BorrowerChange;
  readonly done: (result: ProposalResult) => void;
}

/** The replicated log of the control VMs, of one leader after the other. */
export class SimulatedLog {
  readonly #network: SimulatedNetwork;
  readonly #current: () => SimulatedLeader;
  #proposals: Proposal[] = [];
  #stalledUntil = 0;
  /** The committed record. */
  borrowers: Borrowers = new Map();
  /** When entries were committed. */
  readonly committedAt: number[] = [];

  constructor(
    network: SimulatedNetwork,
    current: () => SimulatedLeader,
  ) {
    this.#network = network;
    this.#current = current;
  }

  /** Commits no entry for a time. */
  stall(milliseconds: number): void {
    this.#stalledUntil = this.#network.schedule.now() + milliseconds;
  }

  propose(proposal: Proposal): void {
    // No VM takes an entry of a leader that was replaced.
    if (proposal.leader !== this.#current()) return;
    this.#proposals.push(proposal);
    const delay = 2 + this.#network.random() * (commitMilliseconds - 2);
    this.#commitAfter(delay, proposal);
  }

  /**
   * Ends a term: the next leader commits what reached it, and the former one does
   * not learn of it.
   */
  endTerm(): void {
    for (const { change } of this.#proposals) {
      if (this.#network.random() < 0.5) this.#apply(change);
    }
    this.#proposals = [];
  }

  #commitAfter(milliseconds: number, proposal: Proposal): void {
    this.#network.at(proposal.leader.name, milliseconds, () => {
      const { leader } = proposal;
      // A leader that is cut off, or about to be replaced, has no quorum.
      const mayCommit = this.#proposals.includes(proposal) &&
        leader.confirmedAt === undefined &&
        !this.#network.isolated.has(leader.name);
      if (!mayCommit) return;
      const left = this.#stalledUntil - this.#network.schedule.now();
      if (left > 0) this.#commitAfter(left, proposal);
      else this.#commit(proposal);
    });
  }

  #commit(proposal: Proposal): void {
    this.#proposals = this.#proposals.filter((each) => each !== proposal);
    this.#apply(proposal.change);
    proposal.leader.borrowers = this.borrowers;
    proposal.done(ProposalResult.committed);
  }

  #apply(change: BorrowerChange): void {
    this.borrowers = changeBorrowers(this.borrowers, change);
    this.committedAt.push(this.#network.schedule.now());
  }
}

import { configurationOf, lastIndex } from "./log.ts";
import type {
  ConsensusEffect,
  ConsensusMessage,
  ConsensusState,
  ContactResponse,
  LogEntry,
} from "./types.ts";

type Mutable<T> = { -readonly [K in keyof T]: T[K] };

type WithoutHeader<M> = M extends ConsensusMessage ? Omit<M, "from" | "term">
  : never;

/** A message whose sender and term are filled in by the draft. */
export type OutgoingMessage = WithoutHeader<ConsensusMessage>;

/** The mutable state of one step, and the effects collected so far. */
export class Draft {
  readonly state: Mutable<ConsensusState>;
  readonly effects: ConsensusEffect[] = [];
  readonly now: number;

  constructor(state: ConsensusState, now: number) {
    this.state = { ...state };
    this.now = now;
  }

  /** Sends a message in the current term. */
  send(message: OutgoingMessage): void {
    this.sendInTerm(message, this.state.term);
  }

  /** Sends a message in a term that may differ from the current one. */
  sendInTerm(message: OutgoingMessage, term: number): void {
    this.effects.push({
      kind: "send",
      message: this.#addHeader(message, term),
      awaitsSync: this.#awaitsSync(message.kind),
    });
  }

  /**
   * Sends a response after the pending sync, and `contact` immediately if the
   * response has to wait.
   */
  sendWithContact(
    message: OutgoingMessage,
    contact: Omit<ContactResponse, "from" | "term">,
  ): void {
    const { term } = this.state;
    this.effects.push({
      kind: "send",
      message: this.#addHeader(message, term),
      awaitsSync: true,
      interim: this.#addHeader(contact, term),
    });
  }

  #addHeader(message: OutgoingMessage, term: number): ConsensusMessage {
    return { ...message, from: this.state.self, term } as ConsensusMessage;
  }

  // A leader synced its term before it received votes, so its entries may be
  // sent before its own sync. A single voter needs no votes from others, so it
  // has to wait for the sync.
  #awaitsSync(kind: ConsensusMessage["kind"]): boolean {
    switch (kind) {
      case "appendRequest":
      case "snapshotRequest":
        return configurationOf(this.state).voters.length < 2;
      case "preVoteRequest":
      case "preVoteResponse":
      case "timeoutNow":
        return false;
      default:
        return true;
    }
  }

  /** Persists the term and the vote. */
  persistHardState(): void {
    this.#persist([]);
  }

  /** Replaces the log from the first given entry's index on, and persists it. */
  persistEntries(entries: readonly LogEntry[]): void {
    const first = entries[0];
    if (!first) return;
    const keptCount = first.index - this.state.snapshot.index - 1;
    this.state.entries = [
      ...this.state.entries.slice(0, keptCount),
      ...entries,
    ];
    this.state.syncedIndex = Math.min(this.state.syncedIndex, first.index - 1);
    this.#persist(entries);
  }

  /** Advances the commit index and emits the newly committed entries. */
  commitTo(index: number): void {
    const newCommitIndex = Math.min(index, lastIndex(this.state));
    if (newCommitIndex <= this.state.commitIndex) return;
    const offset = this.state.snapshot.index;
    const entries = this.state.entries.slice(
      this.state.commitIndex - offset,
      newCommitIndex - offset,
    );
    this.state.commitIndex = newCommitIndex;
    this.effects.push({ kind: "commit", entries });
  }

  #persist(entries: readonly LogEntry[]): void {
    this.effects.push({
      kind: "persist",
      hardState: { term: this.state.term, votedFor: this.state.votedFor },
      entries,
    });
  }
}

import type { Draft } from "./draft.ts";
import { becomeFollower, scheduleElection } from "./election.ts";
import { lastIndex, termAt } from "./log.ts";
import type {
  AppendRequest,
  AppendResponse,
  IncomingSnapshot,
  Snapshot,
  SnapshotRequest,
} from "./types.ts";

/** Stores the leader's entries and answers once they are synced. */
export function receiveAppendRequest(
  draft: Draft,
  message: AppendRequest,
): void {
  if (message.term < draft.state.term) return refuseOldTerm(draft, message);
  followLeader(draft, message);
  const { state } = draft;
  const { previousIndex } = message;
  if (
    previousIndex > state.snapshot.index &&
    termAt(state, previousIndex) !== message.previousTerm
  ) {
    return respond(draft, message, {
      accepted: false,
      index: Math.min(previousIndex - 1, lastIndex(state)),
    });
  }
  const fresh = message.entries.filter((entry) =>
    entry.index > state.snapshot.index &&
    termAt(state, entry.index) !== entry.term
  );
  const first = fresh[0];
  if (first) {
    draft.persistEntries(
      message.entries.filter((entry) => entry.index >= first.index),
    );
  }
  const matched = Math.max(
    state.snapshot.index,
    previousIndex + message.entries.length,
  );
  const answer = {
    kind: "appendResponse",
    to: message.from,
    accepted: true,
    index: matched,
    sentAt: message.sentAt,
  } as const;
  if (first) draft.send(answer);
  else sendWithContact(draft, answer);
  draft.commitTo(Math.min(message.commitIndex, matched));
}

/** Gathers a snapshot; replaces the log by it when it is whole. */
export function receiveSnapshotRequest(
  draft: Draft,
  message: SnapshotRequest,
): void {
  if (message.term < draft.state.term) return refuseOldTerm(draft, message);
  followLeader(draft, message);
  const { state } = draft;
  if (message.snapshot.index > state.commitIndex) {
    const incoming = gatherSnapshot(state.incoming, message);
    state.incoming = incoming;
    if (incoming.received < message.totalBytes) {
      return draft.send({
        kind: "snapshotResponse",
        to: message.from,
        snapshotIndex: incoming.index,
        received: incoming.received,
        sentAt: message.sentAt,
      });
    }
    const data = concatenate(incoming);
    state.incoming = null;
    installSnapshot(draft, { ...message.snapshot, data });
  }
  respond(draft, message, { accepted: true, index: state.commitIndex });
}

function gatherSnapshot(
  known: IncomingSnapshot | null,
  message: SnapshotRequest,
): IncomingSnapshot {
  const { index, term, data } = message.snapshot;
  const continues = known?.index === index && known.term === term;
  const incoming = continues ? known : { index, term, parts: [], received: 0 };
  if (message.offset !== incoming.received) return incoming;
  return {
    ...incoming,
    parts: [...incoming.parts, data],
    received: incoming.received + data.length,
  };
}

function concatenate({ parts, received }: IncomingSnapshot): Uint8Array {
  const whole = new Uint8Array(received);
  let offset = 0;
  for (const part of parts) {
    whole.set(part, offset);
    offset += part.length;
  }
  return whole;
}

function installSnapshot(draft: Draft, snapshot: Snapshot): void {
  const { state } = draft;
  const keepsTail = termAt(state, snapshot.index) === snapshot.term;
  state.entries = keepsTail
    ? state.entries.slice(snapshot.index - state.snapshot.index)
    : [];
  state.snapshot = snapshot;
  state.commitIndex = snapshot.index;
  state.syncedIndex = Math.max(
    snapshot.index,
    keepsTail ? state.syncedIndex : 0,
  );
  draft.effects.push({ kind: "persistSnapshot", snapshot });
  draft.effects.push({ kind: "restore", snapshot });
}

// The disk may be behind with what came before. To be followed takes no sync:
// a replica that restarts with a stored term votes for nobody for as long as
// one that has just heard its leader.
function sendWithContact(
  draft: Draft,
  answer: Omit<AppendResponse, "from" | "term">,
): void {
  const { to, sentAt } = answer;
  if (!draft.state.hasStoredTerm) return draft.send(answer);
  draft.sendWithContact(answer, { kind: "contactResponse", to, sentAt });
}

function followLeader(
  draft: Draft,
  message: AppendRequest | SnapshotRequest,
): void {
  const { state } = draft;
  if (message.term > state.term || state.leader !== message.from) {
    becomeFollower(draft, message.term, message.from);
  }
  state.leaderHeardAt = draft.now;
  scheduleElection(draft);
}

function refuseOldTerm(
  draft: Draft,
  message: AppendRequest | SnapshotRequest,
): void {
  respond(draft, message, { accepted: false, index: 0 });
}

function respond(
  draft: Draft,
  message: AppendRequest | SnapshotRequest,
  answer: { readonly accepted: boolean; readonly index: number },
): void {
  draft.send({
    kind: "appendResponse",
    to: message.from,
    ...answer,
    sentAt: message.sentAt,
  });
}

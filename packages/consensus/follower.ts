import type { Draft } from "./draft.ts";
import { becomeFollower, scheduleElection } from "./election.ts";
import { lastIndex, termAt } from "./log.ts";
import type { AppendRequest, SnapshotRequest } from "./types.ts";

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
  respond(draft, message, { accepted: true, index: matched });
  draft.commitTo(Math.min(message.commitIndex, matched));
}

/** Replaces the log by a snapshot and answers once it is stored. */
export function receiveSnapshotRequest(
  draft: Draft,
  message: SnapshotRequest,
): void {
  if (message.term < draft.state.term) return refuseOldTerm(draft, message);
  followLeader(draft, message);
  const { state } = draft;
  const { snapshot } = message;
  if (snapshot.index > state.commitIndex) {
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
  respond(draft, message, { accepted: true, index: state.commitIndex });
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

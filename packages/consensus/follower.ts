import type { Draft, OutgoingMessage } from "./draft.ts";
import { becomeFollower, scheduleElection } from "./election.ts";
import { lastIndex, termAt } from "./log.ts";
import type {
  AppendRequest,
  IncomingSnapshot,
  Snapshot,
  SnapshotRequest,
} from "./types.ts";

/** Persists the leader's entries and responds once they are synced. */
export function receiveAppendRequest(
  draft: Draft,
  message: AppendRequest,
): void {
  if (message.term < draft.state.term) return rejectStaleTerm(draft, message);
  followLeader(draft, message);
  const { state } = draft;
  const { previousIndex } = message;
  if (
    previousIndex > state.snapshot.index &&
    termAt(state, previousIndex) !== message.previousTerm
  ) {
    return sendAppendResponse(draft, message, {
      accepted: false,
      index: Math.min(previousIndex - 1, lastIndex(state)),
    });
  }
  const missingEntries = message.entries.filter((entry) =>
    entry.index > state.snapshot.index &&
    termAt(state, entry.index) !== entry.term
  );
  const firstMissing = missingEntries[0];
  if (firstMissing) {
    draft.persistEntries(
      message.entries.filter((entry) => entry.index >= firstMissing.index),
    );
  }
  const matchIndex = Math.max(
    state.snapshot.index,
    previousIndex + message.entries.length,
  );
  sendAppendResponse(draft, message, { accepted: true, index: matchIndex });
  draft.commitTo(Math.min(message.commitIndex, matchIndex));
}

/**
 * Collects the parts of a snapshot, and replaces the log with the snapshot once
 * it is complete.
 */
export function receiveSnapshotRequest(
  draft: Draft,
  message: SnapshotRequest,
): void {
  if (message.term < draft.state.term) return rejectStaleTerm(draft, message);
  followLeader(draft, message);
  const { state } = draft;
  if (message.snapshot.index > state.commitIndex) {
    const incoming = appendSnapshotPart(state.incoming, message);
    state.incoming = incoming;
    if (incoming.received < message.totalBytes) {
      return sendResponse(draft, {
        kind: "snapshotResponse",
        to: message.from,
        snapshotIndex: incoming.index,
        received: incoming.received,
        sentAt: message.sentAt,
      });
    }
    const data = concatenateParts(incoming);
    state.incoming = null;
    installSnapshot(draft, { ...message.snapshot, data });
  }
  sendAppendResponse(draft, message, {
    accepted: true,
    index: state.commitIndex,
  });
}

function appendSnapshotPart(
  current: IncomingSnapshot | null,
  message: SnapshotRequest,
): IncomingSnapshot {
  const { index, term, data } = message.snapshot;
  const isContinuation = current?.index === index && current.term === term;
  const incoming = isContinuation
    ? current
    : { index, term, parts: [], received: 0 };
  if (message.offset !== incoming.received) return incoming;
  return {
    ...incoming,
    parts: [...incoming.parts, data],
    received: incoming.received + data.length,
  };
}

function concatenateParts({ parts, received }: IncomingSnapshot): Uint8Array {
  const bytes = new Uint8Array(received);
  let offset = 0;
  for (const part of parts) {
    bytes.set(part, offset);
    offset += part.length;
  }
  return bytes;
}

function installSnapshot(draft: Draft, snapshot: Snapshot): void {
  const { state } = draft;
  const keepsLogSuffix = termAt(state, snapshot.index) === snapshot.term;
  state.entries = keepsLogSuffix
    ? state.entries.slice(snapshot.index - state.snapshot.index)
    : [];
  state.snapshot = snapshot;
  state.commitIndex = snapshot.index;
  state.syncedIndex = Math.max(
    snapshot.index,
    keepsLogSuffix ? state.syncedIndex : 0,
  );
  draft.effects.push({ kind: "persistSnapshot", snapshot });
  draft.effects.push({ kind: "restore", snapshot });
}

// Earlier writes may still be waiting for the disk, so an immediate
// `contactResponse` confirms that the leader is followed. This needs no sync:
// after a restart with a stored term, a replica refuses votes for as long as
// one that has just had contact with its leader.
function sendResponse(
  draft: Draft,
  message: OutgoingMessage & { readonly sentAt: number },
): void {
  const persistsInStep = draft.effects.some((each) =>
    each.kind === "persist" || each.kind === "persistSnapshot"
  );
  if (persistsInStep || !draft.state.hasStoredTerm) return draft.send(message);
  const { to, sentAt } = message;
  draft.sendWithContact(message, { kind: "contactResponse", to, sentAt });
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

function rejectStaleTerm(
  draft: Draft,
  message: AppendRequest | SnapshotRequest,
): void {
  sendAppendResponse(draft, message, { accepted: false, index: 0 });
}

function sendAppendResponse(
  draft: Draft,
  message: AppendRequest | SnapshotRequest,
  result: { readonly accepted: boolean; readonly index: number },
): void {
  sendResponse(draft, {
    kind: "appendResponse",
    to: message.from,
    ...result,
    sentAt: message.sentAt,
  });
}

import type { Draft } from "./draft.ts";
import {
  configurationOf,
  entriesBetween,
  lastIndex,
  lastTerm,
  termAt,
} from "./log.ts";
import { Role } from "./types.ts";
import type {
  AppendResponse,
  ConsensusState,
  ContactResponse,
  LogEntry,
  Progress,
  ReplicaId,
  SnapshotResponse,
} from "./types.ts";

/** Sends each replica what it lacks; with `heartbeat`, to all of them. */
export function replicate(
  draft: Draft,
  options: { readonly heartbeat: boolean },
): void {
  const { state, now } = draft;
  const progress = new Map<ReplicaId, Progress>();
  for (const to of otherReplicas(state)) {
    const known = state.progress.get(to) ?? newProgress(state, now);
    const due = options.heartbeat || isSendDue(state, known, now);
    progress.set(to, due ? sendTo(draft, to, known) : known);
  }
  state.progress = progress;
}

/** Takes in what a replica answers to entries or to a whole snapshot. */
export function noteAppendResponse(
  state: Draft["state"],
  message: AppendResponse,
): void {
  const known = state.progress.get(message.from);
  if (state.role !== Role.leader || !known) return;
  const hasForgotten = known.hasForgotten || lacksAcknowledged(known, message);
  const match = matchAfter(known, message, hasForgotten);
  const answers = answersLatest(known, message.sentAt);
  state.progress = new Map(state.progress).set(message.from, {
    ...known,
    match,
    hasForgotten,
    next: answers
      ? nextAfter(known, message, match)
      : Math.max(known.next, match + 1),
    answeredAt: Math.max(known.answeredAt, message.sentAt),
    followedAt: Math.max(known.followedAt, message.sentAt),
    waitingSince: answers ? null : known.waitingSince,
  });
}

/** Takes in that a replica follows while its disk is busy. */
export function noteContactResponse(
  state: Draft["state"],
  message: ContactResponse,
): void {
  const known = state.progress.get(message.from);
  if (state.role !== Role.leader || !known) return;
  state.progress = new Map(state.progress).set(message.from, {
    ...known,
    followedAt: Math.max(known.followedAt, message.sentAt),
  });
}

/** Takes in how much of the snapshot a replica has. */
export function noteSnapshotResponse(
  state: Draft["state"],
  message: SnapshotResponse,
): void {
  const known = state.progress.get(message.from);
  if (state.role !== Role.leader || !known) return;
  const sending = {
    index: message.snapshotIndex,
    received: message.received,
  };
  state.progress = new Map(state.progress).set(message.from, {
    ...known,
    sending,
    answeredAt: Math.max(known.answeredAt, message.sentAt),
    followedAt: Math.max(known.followedAt, message.sentAt),
    waitingSince: null,
  });
}

// The answer to an earlier message says nothing of what was sent since.
function answersLatest(known: Progress, sentAt: number): boolean {
  return known.waitingSince === null || sentAt >= known.waitingSince;
}

function nextAfter(
  known: Progress,
  message: AppendResponse,
  match: number,
): number {
  return message.accepted
    ? Math.max(match, message.index) + 1
    : Math.max(match, Math.min(known.next - 1, message.index)) + 1;
}

// Links deliver in order, so that a refusal of a later message than the one
// acknowledged last shows a loss, not a crossing.
function lacksAcknowledged(known: Progress, message: AppendResponse): boolean {
  return !message.accepted && message.index < known.match &&
    message.sentAt > known.answeredAt;
}

// What a replica on a rolled-back disk holds is counted for no commit.
function matchAfter(
  known: Progress,
  message: AppendResponse,
  hasForgotten: boolean,
): number {
  if (hasForgotten) return 0;
  return message.accepted ? Math.max(known.match, message.index) : known.match;
}

function otherReplicas(state: ConsensusState): readonly ReplicaId[] {
  const { voters, learners } = configurationOf(state);
  return [...voters, ...learners].filter((each) => each !== state.self);
}

// A replica that joins under a leader has not been heard yet; one that was
// there before has its whole timeout to answer.
function newProgress(state: ConsensusState, now: number): Progress {
  const heardAt = state.leadingSince === now ? now : -Infinity;
  return {
    match: 0,
    next: lastIndex(state),
    answeredAt: heardAt,
    followedAt: heardAt,
    waitingSince: null,
    sending: { index: 0, received: 0 },
    hasForgotten: false,
  };
}

function isWaiting(
  state: ConsensusState,
  known: Progress,
  now: number,
): boolean {
  return known.waitingSince !== null &&
    now - known.waitingSince < state.options.resendMilliseconds;
}

function isSendDue(
  state: ConsensusState,
  known: Progress,
  now: number,
): boolean {
  return known.next <= lastIndex(state) && !isWaiting(state, known, now);
}

function sendTo(draft: Draft, to: ReplicaId, known: Progress): Progress {
  const { state, now } = draft;
  if (isWaiting(state, known, now)) return sendHeartbeat(draft, to, known);
  const previousTerm = termAt(state, known.next - 1);
  if (previousTerm === null) return sendSnapshot(draft, to, known);
  const entries = nextBatch(state, known.next);
  draft.send({
    kind: "appendRequest",
    to,
    previousIndex: known.next - 1,
    previousTerm,
    entries,
    commitIndex: state.commitIndex,
    sentAt: now,
  });
  return entries.length > 0 ? { ...known, waitingSince: now } : known;
}

function nextBatch(state: ConsensusState, first: number): readonly LogEntry[] {
  const { maximumBatchEntries, maximumBatchBytes } = state.options;
  const entries = entriesBetween(state, first, first + maximumBatchEntries - 1);
  let bytes = 0;
  const fitting = entries.findIndex((entry) => {
    bytes += entry.payload.length;
    return bytes > maximumBatchBytes;
  });
  return fitting < 0 ? entries : entries.slice(0, Math.max(1, fitting));
}

function sendSnapshot(draft: Draft, to: ReplicaId, known: Progress): Progress {
  const { state, now } = draft;
  const { snapshot, options } = state;
  const { index, received } = known.sending;
  const offset = index === snapshot.index ? received : 0;
  const end = offset + options.maximumBatchBytes;
  draft.send({
    kind: "snapshotRequest",
    to,
    snapshot: { ...snapshot, data: snapshot.data.subarray(offset, end) },
    offset,
    totalBytes: snapshot.data.length,
    sentAt: now,
  });
  return { ...known, waitingSince: now };
}

// Carries no entries, and a position that the leader's log always holds.
function sendHeartbeat(draft: Draft, to: ReplicaId, known: Progress): Progress {
  const { state, now } = draft;
  const previousTerm = termAt(state, known.next - 1);
  draft.send({
    kind: "appendRequest",
    to,
    previousIndex: previousTerm === null ? lastIndex(state) : known.next - 1,
    previousTerm: previousTerm ?? lastTerm(state),
    entries: [],
    commitIndex: previousTerm === null ? 0 : state.commitIndex,
    sentAt: now,
  });
  return known;
}

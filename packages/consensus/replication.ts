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

/**
 * Sends pending entries or snapshot parts to each replica that lacks them. With
 * `heartbeat`, sends a message to every replica.
 */
export function replicate(
  draft: Draft,
  options: { readonly heartbeat: boolean },
): void {
  const { state, now } = draft;
  const progressByReplica = new Map<ReplicaId, Progress>();
  for (const to of otherReplicas(state)) {
    const progress = state.progress.get(to) ?? createProgress(state, now);
    const isDue = options.heartbeat || isSendDue(state, progress, now);
    progressByReplica.set(to, isDue ? sendNext(draft, to, progress) : progress);
  }
  state.progress = progressByReplica;
}

/** Records a replica's response to entries or to a complete snapshot. */
export function recordAppendResponse(
  state: Draft["state"],
  message: AppendResponse,
): void {
  const progress = state.progress.get(message.from);
  if (state.role !== Role.leader || !progress) return;
  const hasForgotten = progress.hasForgotten ||
    lacksAcknowledgedEntries(progress, message);
  const match = matchIndexAfter(progress, message, hasForgotten);
  const isLatestAnswered = answersLatestRequest(progress, message.sentAt);
  state.progress = new Map(state.progress).set(message.from, {
    ...progress,
    match,
    hasForgotten,
    next: isLatestAnswered
      ? nextIndexAfter(progress, message, match)
      : Math.max(progress.next, match + 1),
    answeredAt: Math.max(progress.answeredAt, message.sentAt),
    followedAt: Math.max(progress.followedAt, message.sentAt),
    waitingSince: isLatestAnswered ? null : progress.waitingSince,
  });
}

/** Records that a replica follows this leader while its disk is busy. */
export function recordContactResponse(
  state: Draft["state"],
  message: ContactResponse,
): void {
  const progress = state.progress.get(message.from);
  if (state.role !== Role.leader || !progress) return;
  state.progress = new Map(state.progress).set(message.from, {
    ...progress,
    followedAt: Math.max(progress.followedAt, message.sentAt),
  });
}

/** Records how much of the snapshot a replica has received. */
export function recordSnapshotResponse(
  state: Draft["state"],
  message: SnapshotResponse,
): void {
  const progress = state.progress.get(message.from);
  if (state.role !== Role.leader || !progress) return;
  const sending = {
    index: message.snapshotIndex,
    received: message.received,
  };
  state.progress = new Map(state.progress).set(message.from, {
    ...progress,
    sending,
    answeredAt: Math.max(progress.answeredAt, message.sentAt),
    followedAt: Math.max(progress.followedAt, message.sentAt),
    waitingSince: null,
  });
}

// A response to an earlier message gives no information about later ones.
function answersLatestRequest(progress: Progress, sentAt: number): boolean {
  return progress.waitingSince === null || sentAt >= progress.waitingSince;
}

function nextIndexAfter(
  progress: Progress,
  message: AppendResponse,
  match: number,
): number {
  return message.accepted
    ? Math.max(match, message.index) + 1
    : Math.max(match, Math.min(progress.next - 1, message.index)) + 1;
}

// Links deliver in order, so a rejection of a message that was sent after the
// last acknowledged one indicates data loss, not reordering.
function lacksAcknowledgedEntries(
  progress: Progress,
  message: AppendResponse,
): boolean {
  return !message.accepted && message.index < progress.match &&
    message.sentAt > progress.answeredAt;
}

// Entries on a disk that was rolled back do not count towards a commit.
function matchIndexAfter(
  progress: Progress,
  message: AppendResponse,
  hasForgotten: boolean,
): number {
  if (hasForgotten) return 0;
  return message.accepted
    ? Math.max(progress.match, message.index)
    : progress.match;
}

function otherReplicas(state: ConsensusState): readonly ReplicaId[] {
  const { voters, learners } = configurationOf(state);
  return [...voters, ...learners].filter((each) => each !== state.self);
}

// A replica that joins during a leader's term has had no contact yet; one that
// was present when the term began has the full timeout to respond.
function createProgress(state: ConsensusState, now: number): Progress {
  const contactAt = state.leadingSince === now ? now : -Infinity;
  return {
    match: 0,
    next: lastIndex(state),
    answeredAt: contactAt,
    followedAt: contactAt,
    waitingSince: null,
    sending: { index: 0, received: 0 },
    hasForgotten: false,
  };
}

function isPaused(
  state: ConsensusState,
  progress: Progress,
  now: number,
): boolean {
  return progress.waitingSince !== null &&
    now - progress.waitingSince < state.options.resendMilliseconds;
}

function isSendDue(
  state: ConsensusState,
  progress: Progress,
  now: number,
): boolean {
  return progress.next <= lastIndex(state) && !isPaused(state, progress, now);
}

function sendNext(draft: Draft, to: ReplicaId, progress: Progress): Progress {
  const { state, now } = draft;
  if (isPaused(state, progress, now)) return sendHeartbeat(draft, to, progress);
  const previousTerm = termAt(state, progress.next - 1);
  if (previousTerm === null) return sendSnapshot(draft, to, progress);
  const entries = nextBatch(state, progress.next);
  draft.send({
    kind: "appendRequest",
    to,
    previousIndex: progress.next - 1,
    previousTerm,
    entries,
    commitIndex: state.commitIndex,
    sentAt: now,
  });
  return entries.length > 0 ? { ...progress, waitingSince: now } : progress;
}

function nextBatch(state: ConsensusState, first: number): readonly LogEntry[] {
  const { maximumBatchEntries, maximumBatchBytes } = state.options;
  const entries = entriesBetween(state, first, first + maximumBatchEntries - 1);
  let bytes = 0;
  const fittingCount = entries.findIndex((entry) => {
    bytes += entry.payload.length;
    return bytes > maximumBatchBytes;
  });
  return fittingCount < 0
    ? entries
    : entries.slice(0, Math.max(1, fittingCount));
}

function sendSnapshot(
  draft: Draft,
  to: ReplicaId,
  progress: Progress,
): Progress {
  const { state, now } = draft;
  const { snapshot, options } = state;
  const { index, received } = progress.sending;
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
  return { ...progress, waitingSince: now };
}

// Sends no entries, and a previous index whose term the leader's log contains.
function sendHeartbeat(
  draft: Draft,
  to: ReplicaId,
  progress: Progress,
): Progress {
  const { state, now } = draft;
  const previousTerm = termAt(state, progress.next - 1);
  draft.send({
    kind: "appendRequest",
    to,
    previousIndex: previousTerm === null ? lastIndex(state) : progress.next - 1,
    previousTerm: previousTerm ?? lastTerm(state),
    entries: [],
    commitIndex: previousTerm === null ? 0 : state.commitIndex,
    sentAt: now,
  });
  return progress;
}

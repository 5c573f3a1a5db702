import type { Draft } from "./draft.ts";
import { becomeFollower } from "./election.ts";
import {
  configurationOf,
  entriesBetween,
  lastIndex,
  latestConfigurationEntry,
  termAt,
} from "./log.ts";
import { EntryKind, Role } from "./types.ts";
import type {
  AppendResponse,
  Configuration,
  ConsensusState,
  LogEntry,
  Progress,
  ReplicaId,
} from "./types.ts";

/** Takes the lead: replicates an empty entry of the new term. */
export function becomeLeader(draft: Draft): void {
  const { state, now } = draft;
  state.role = Role.leader;
  state.leader = state.self;
  state.leadingSince = now;
  state.transferTo = null;
  state.progress = new Map();
  draft.effects.push({ kind: "roleChanged", role: Role.leader });
  appendEntry(draft, { kind: EntryKind.empty, payload: new Uint8Array() });
  state.heartbeatDueAt = now + state.options.heartbeatMilliseconds;
  replicate(draft, { heartbeat: true });
}

/** Appends a proposal, or refuses it when this replica does not lead. */
export function propose(
  draft: Draft,
  request: { readonly payload: Uint8Array; readonly proposal: number },
): void {
  const accepts = draft.state.role === Role.leader &&
    draft.state.transferTo === null;
  const index = accepts
    ? appendEntry(draft, {
      kind: EntryKind.command,
      payload: request.payload,
    })
    : null;
  draft.effects.push({
    kind: "proposed",
    proposal: request.proposal,
    index,
    term: draft.state.term,
  });
}

/**
 * Appends a change of the replica set. It is dropped unless the previous one
 * is committed, this term has committed an entry, and one voter changes.
 */
export function proposeConfiguration(
  draft: Draft,
  configuration: Configuration,
): void {
  const { state } = draft;
  if (state.role !== Role.leader || !isConfigurationSettled(state)) return;
  const current = configurationOf(state);
  if (changedVoters(current, configuration) > 1) return;
  appendEntry(draft, {
    kind: EntryKind.configuration,
    payload: new Uint8Array(),
    configuration,
  });
}

/** Whether no change of the replica set is under way. */
export function isConfigurationSettled(state: ConsensusState): boolean {
  const pending = latestConfigurationEntry(state);
  return termAt(state, state.commitIndex) === state.term &&
    (pending === undefined || pending.index <= state.commitIndex);
}

function changedVoters(before: Configuration, after: Configuration): number {
  const removed = before.voters.filter((each) => !after.voters.includes(each));
  const added = after.voters.filter((each) => !before.voters.includes(each));
  return removed.length + added.length;
}

function appendEntry(
  draft: Draft,
  content: Pick<LogEntry, "kind" | "payload" | "configuration">,
): number {
  const index = lastIndex(draft.state) + 1;
  draft.persistEntries([{ ...content, index, term: draft.state.term }]);
  return index;
}

/** Sends each replica what it lacks; with `heartbeat`, to all of them. */
export function replicate(
  draft: Draft,
  options: { readonly heartbeat: boolean },
): void {
  const { state, now } = draft;
  const progress = new Map(state.progress);
  for (const to of otherReplicas(state)) {
    const known = progress.get(to) ?? newProgress(state, now);
    const due = options.heartbeat || isSendDue(state, known, now);
    progress.set(to, due ? sendTo(draft, to, known) : known);
  }
  state.progress = progress;
}

function otherReplicas(state: ConsensusState): readonly ReplicaId[] {
  const { voters, learners } = configurationOf(state);
  return [...voters, ...learners].filter((each) => each !== state.self);
}

function newProgress(state: ConsensusState, now: number): Progress {
  return {
    match: 0,
    next: lastIndex(state),
    answeredAt: now,
    waitingSince: null,
  };
}

function isSendDue(
  state: ConsensusState,
  known: Progress,
  now: number,
): boolean {
  if (known.next > lastIndex(state)) return false;
  return known.waitingSince === null ||
    now - known.waitingSince >= state.options.resendMilliseconds;
}

function sendTo(draft: Draft, to: ReplicaId, known: Progress): Progress {
  const { state, now } = draft;
  const waits = known.waitingSince !== null &&
    now - known.waitingSince < state.options.resendMilliseconds;
  const previousIndex = known.next - 1;
  const previousTerm = termAt(state, previousIndex);
  if (previousTerm === null && waits) {
    return sendProbe(draft, to, known);
  }
  if (previousTerm === null) {
    draft.send({
      kind: "snapshotRequest",
      to,
      snapshot: state.snapshot,
      sentAt: now,
    });
    return { ...known, waitingSince: now };
  }
  const last = waits ? previousIndex : Math.min(
    lastIndex(state),
    previousIndex + state.options.maximumBatchEntries,
  );
  const entries = entriesBetween(state, known.next, last);
  draft.send({
    kind: "appendRequest",
    to,
    previousIndex,
    previousTerm,
    entries,
    commitIndex: state.commitIndex,
    sentAt: now,
  });
  return entries.length > 0 ? { ...known, waitingSince: now } : known;
}

// A heartbeat to a replica that is still receiving a snapshot.
function sendProbe(draft: Draft, to: ReplicaId, known: Progress): Progress {
  const { snapshot } = draft.state;
  draft.send({
    kind: "appendRequest",
    to,
    previousIndex: snapshot.index,
    previousTerm: snapshot.term,
    entries: [],
    commitIndex: 0,
    sentAt: draft.now,
  });
  return known;
}

/** Takes in what a replica has stored. */
export function receiveAppendResponse(
  draft: Draft,
  message: AppendResponse,
): void {
  const { state } = draft;
  const known = state.progress.get(message.from);
  if (state.role !== Role.leader || !known) return;
  const match = message.accepted
    ? Math.max(known.match, message.index)
    : known.match;
  const next = message.accepted
    ? match + 1
    : Math.max(match, Math.min(known.next - 1, message.index)) + 1;
  state.progress = new Map(state.progress).set(message.from, {
    match,
    next,
    answeredAt: Math.max(known.answeredAt, message.sentAt),
    waitingSince: null,
  });
  advanceCommit(draft);
  replicate(draft, { heartbeat: false });
  continueTransfer(draft);
}

/** Takes in that the leader's own log is synced. */
export function receiveSynced(
  draft: Draft,
  synced: { readonly index: number; readonly term: number },
): void {
  const { state } = draft;
  if (termAt(state, synced.index) !== synced.term) return;
  state.syncedIndex = Math.max(state.syncedIndex, synced.index);
  if (state.role === Role.leader) advanceCommit(draft);
}

function advanceCommit(draft: Draft): void {
  const { state } = draft;
  const { voters } = configurationOf(state);
  const stored = voters.map((each) =>
    each === state.self
      ? state.syncedIndex
      : state.progress.get(each)?.match ?? 0
  ).sort((left, right) => right - left);
  const candidate = stored[Math.floor(stored.length / 2)] ?? 0;
  if (termAt(state, candidate) !== state.term) return;
  const before = state.commitIndex;
  draft.commitTo(candidate);
  if (state.commitIndex === before) return;
  // A leader that is no longer a voter serves until its removal is committed.
  if (!voters.includes(state.self) && isConfigurationSettled(state)) {
    becomeFollower(draft, state.term, null);
  } else {
    replicate(draft, { heartbeat: true });
  }
}

/**
 * The latest time at which a majority of the voters is known to have followed
 * this leader; minus infinity when it does not lead.
 */
export function quorumContactAt(
  state: ConsensusState,
  now: number,
): number {
  if (state.role !== Role.leader) return -Infinity;
  const { voters } = configurationOf(state);
  const contacts = voters.map((each) =>
    each === state.self
      ? now
      : state.progress.get(each)?.answeredAt ?? state.leadingSince
  ).sort((left, right) => right - left);
  return contacts[Math.floor(voters.length / 2)] ?? -Infinity;
}

/** Starts to hand the lead to the voter that has stored most. */
export function transferLeadership(draft: Draft): void {
  const { state, now } = draft;
  if (state.role !== Role.leader) return;
  const best = configurationOf(state).voters
    .filter((each) => each !== state.self)
    .map((each) => ({ each, progress: state.progress.get(each) }))
    .filter(({ progress }) =>
      progress !== undefined &&
      now - progress.answeredAt < state.options.electionMilliseconds
    )
    .sort((left, right) => right.progress!.match - left.progress!.match)[0];
  if (!best) return;
  state.transferTo = best.each;
  state.transferUntil = now + state.options.electionMilliseconds;
  continueTransfer(draft);
}

function continueTransfer(draft: Draft): void {
  const { state } = draft;
  if (state.role !== Role.leader || state.transferTo === null) return;
  const progress = state.progress.get(state.transferTo);
  if (progress?.match === lastIndex(state)) {
    draft.send({ kind: "timeoutNow", to: state.transferTo });
  }
}

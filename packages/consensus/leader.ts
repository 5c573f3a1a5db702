import type { Draft } from "./draft.ts";
import { becomeFollower } from "./election.ts";
import {
  configurationOf,
  lastIndex,
  latestConfigurationEntry,
  termAt,
} from "./log.ts";
import {
  recordAppendResponse,
  recordSnapshotResponse,
  replicate,
} from "./replication.ts";
import { EntryKind, Role } from "./types.ts";
import type {
  AppendResponse,
  Configuration,
  ConsensusState,
  LogEntry,
  ReplicaId,
  SnapshotResponse,
} from "./types.ts";

/** Becomes the leader and replicates an empty entry of the new term. */
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

/**
 * Appends a proposal, or rejects it if this replica is not the leader or is
 * transferring leadership.
 */
export function propose(
  draft: Draft,
  request: { readonly payload: Uint8Array; readonly proposal: number },
): void {
  const acceptsProposals = draft.state.role === Role.leader &&
    draft.state.transferTo === null;
  const index = acceptsProposals
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
 * Appends a configuration change. The change is ignored unless the previous
 * change is committed, an entry of the current term is committed, at most one
 * voter changes, and a new voter has caught up as a learner.
 */
export function proposeConfiguration(
  draft: Draft,
  configuration: Configuration,
): void {
  const { state } = draft;
  if (state.role !== Role.leader || !isConfigurationSettled(state)) return;
  const current = configurationOf(state);
  if (countChangedVoters(current, configuration) > 1) return;
  const added = configuration.voters.filter((each) =>
    !current.voters.includes(each)
  );
  if (!added.every((each) => isCaughtUp(state, each, draft.now))) return;
  appendEntry(draft, {
    kind: EntryKind.configuration,
    payload: new Uint8Array(),
    configuration,
  });
}

/**
 * Whether no configuration change is pending and an entry of the current term
 * is committed.
 */
export function isConfigurationSettled(state: ConsensusState): boolean {
  const latest = latestConfigurationEntry(state);
  return termAt(state, state.commitIndex) === state.term &&
    (latest === undefined || latest.index <= state.commitIndex);
}

/**
 * Whether a replica responded within one election timeout and lacks at most one
 * batch of entries.
 */
export function isCaughtUp(
  state: ConsensusState,
  replica: ReplicaId,
  now: number,
): boolean {
  if (replica === state.self) return true;
  const progress = state.progress.get(replica);
  if (!progress || progress.hasForgotten) return false;
  return now - progress.answeredAt < state.options.electionMilliseconds &&
    progress.match + state.options.maximumBatchEntries >= lastIndex(state) &&
    progress.match >= state.snapshot.index;
}

function countChangedVoters(
  before: Configuration,
  after: Configuration,
): number {
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

/** Records which entries a replica has stored and advances the commit index. */
export function receiveAppendResponse(
  draft: Draft,
  message: AppendResponse,
): void {
  recordAppendResponse(draft.state, message);
  if (draft.state.role !== Role.leader) return;
  advanceCommitIndex(draft);
  replicateIfLeader(draft);
  continueLeadershipTransfer(draft);
}

/** Records how much of the snapshot a replica has received, and sends more. */
export function receiveSnapshotResponse(
  draft: Draft,
  message: SnapshotResponse,
): void {
  recordSnapshotResponse(draft.state, message);
  replicateIfLeader(draft);
}

/** Sends pending entries if this replica is the leader. */
export function replicateIfLeader(draft: Draft): void {
  if (draft.state.role === Role.leader) replicate(draft, { heartbeat: false });
}

/** Records that the local log is synced up to an entry. */
export function receiveSynced(
  draft: Draft,
  synced: { readonly index: number; readonly term: number },
): void {
  const { state } = draft;
  state.hasStoredTerm = true;
  if (termAt(state, synced.index) !== synced.term) return;
  state.syncedIndex = Math.max(state.syncedIndex, synced.index);
  if (state.role === Role.leader) advanceCommitIndex(draft);
}

function advanceCommitIndex(draft: Draft): void {
  const { state } = draft;
  const { voters } = configurationOf(state);
  const matchIndexes = voters.map((each) =>
    each === state.self
      ? state.syncedIndex
      : state.progress.get(each)?.match ?? 0
  ).sort((left, right) => right - left);
  const majorityIndex = matchIndexes[Math.floor(matchIndexes.length / 2)] ?? 0;
  if (termAt(state, majorityIndex) !== state.term) return;

  draft.commitTo(majorityIndex);
  // A leader that is no longer a voter keeps leading until its removal is
  // committed.
  if (!voters.includes(state.self) && isConfigurationSettled(state)) {
    replicate(draft, { heartbeat: true });
    becomeFollower(draft, state.term, null);
  }
}

/**
 * Returns the latest time at which a majority of the voters is known to have
 * followed this leader, or `-Infinity` if this replica is not the leader.
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
      : state.progress.get(each)?.followedAt ?? state.leadingSince
  ).sort((left, right) => right - left);
  return contacts[Math.floor(voters.length / 2)] ?? -Infinity;
}

// Shortens the leader lease to tolerate clock drift: the lease is safe as long
// as the ratio of the clock rates of two VMs stays above this factor.
const clockDriftFactor = 0.9;

/**
 * Whether the leader lease holds, so that no other replica can be the leader: a
 * majority of the voters followed so recently that they still refuse votes, and
 * no successor was asked to start an election.
 */
export function holdsLeaderLease(state: ConsensusState, now: number): boolean {
  const maximumContactAge = state.options.electionMilliseconds *
    clockDriftFactor;
  return state.transferTo === null &&
    now - quorumContactAt(state, now) < maximumContactAge;
}

/**
 * Starts a leadership transfer to the responsive voter that has the most
 * entries.
 */
export function transferLeadership(draft: Draft): void {
  const { state, now } = draft;
  if (state.role !== Role.leader) return;
  const successor = configurationOf(state).voters
    .filter((each) => each !== state.self)
    .map((replica) => ({ replica, progress: state.progress.get(replica) }))
    .filter(({ progress }) =>
      progress !== undefined && !progress.hasForgotten &&
      now - progress.answeredAt < state.options.electionMilliseconds
    )
    .sort((left, right) => right.progress!.match - left.progress!.match)[0];
  if (!successor) return;
  state.transferTo = successor.replica;
  state.transferUntil = now + state.options.electionMilliseconds;
  continueLeadershipTransfer(draft);
}

function continueLeadershipTransfer(draft: Draft): void {
  const { state } = draft;
  if (state.role !== Role.leader || state.transferTo === null) return;
  const progress = state.progress.get(state.transferTo);
  if (progress?.match === lastIndex(state)) {
    draft.send({ kind: "timeoutNow", to: state.transferTo });
  }
}

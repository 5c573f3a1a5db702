import { Draft } from "./draft.ts";
import {
  becomeFollower,
  electionJitter,
  receivePreVoteRequest,
  receivePreVoteResponse,
  receiveVoteRequest,
  receiveVoteResponse,
  startElection,
  startPreVote,
} from "./election.ts";
import { receiveAppendRequest, receiveSnapshotRequest } from "./follower.ts";
import {
  propose,
  proposeConfiguration,
  quorumContactAt,
  receiveAppendResponse,
  receiveSnapshotResponse,
  receiveSynced,
  replicateIfLeader,
  transferLeadership,
} from "./leader.ts";
import { lastIndex } from "./log.ts";
import { recordContactResponse, replicate } from "./replication.ts";
import { resolveConsensusOptions, Role } from "./types.ts";
import type {
  Configuration,
  ConsensusEffect,
  ConsensusEvent,
  ConsensusMessage,
  ConsensusOptions,
  ConsensusState,
  HardState,
  LogEntry,
  ReplicaId,
  ResolvedConsensusOptions,
  Snapshot,
} from "./types.ts";

/** The persistent state with which a replica starts. */
export interface StoredReplica {
  readonly self: ReplicaId;
  readonly hardState: HardState;
  readonly snapshot: Snapshot;
  readonly entries: readonly LogEntry[];
}

/** Returns the empty snapshot of a log with the given initial configuration. */
export function emptySnapshot(configuration: Configuration): Snapshot {
  return { index: 0, term: 0, configuration, data: new Uint8Array() };
}

/** Returns the state of a replica that has just started. */
export function createConsensusState(
  stored: StoredReplica,
  start: { readonly now: number; readonly options?: ConsensusOptions },
): ConsensusState {
  const options = resolveConsensusOptions(start.options);
  const { electionMilliseconds, restartQuietMilliseconds } = options;
  return {
    self: stored.self,
    options,
    term: stored.hardState.term,
    votedFor: stored.hardState.votedFor,
    role: Role.follower,
    leader: null,
    snapshot: stored.snapshot,
    entries: stored.entries,
    commitIndex: stored.snapshot.index,
    syncedIndex: lastIndex(stored),
    votes: new Set(),
    progress: new Map(),
    electionDueAt: start.now + initialElectionDelay(stored, options),
    heartbeatDueAt: start.now,
    hasStoredTerm: stored.hardState.term > 0,
    // The replica may have responded to a leader just before it stopped, so it
    // refuses votes as if it had had contact with one.
    leaderHeardAt: stored.hardState.term > 0
      ? start.now - (electionMilliseconds - restartQuietMilliseconds)
      : -Infinity,
    leadingSince: -Infinity,
    transferTo: null,
    transferUntil: 0,
    incoming: null,
  };
}

// Jitter keeps replicas that restart simultaneously from starting elections at
// the same time.
function initialElectionDelay(
  stored: StoredReplica,
  options: ResolvedConsensusOptions,
): number {
  const { electionMilliseconds, restartQuietMilliseconds } = options;
  return restartQuietMilliseconds === electionMilliseconds
    ? electionMilliseconds
    : restartQuietMilliseconds *
      (1 + electionJitter(stored.self, stored.hardState.term));
}

/** Applies one event to the state and returns the new state and its effects. */
export function stepConsensus(
  state: ConsensusState,
  event: ConsensusEvent,
  now: number,
): {
  readonly state: ConsensusState;
  readonly effects: readonly ConsensusEffect[];
} {
  const draft = new Draft(state, now);
  applyEvent(draft, event);
  return { state: draft.state, effects: draft.effects };
}

/** Returns when the replica needs its next tick if no other event occurs. */
export function nextTickAt(state: ConsensusState, now: number): number {
  if (state.role !== Role.leader) return state.electionDueAt;
  const { electionMilliseconds } = state.options;
  return Math.min(
    state.heartbeatDueAt,
    quorumContactAt(state, now) + electionMilliseconds,
    state.transferTo === null ? Infinity : state.transferUntil,
  );
}

function applyEvent(draft: Draft, event: ConsensusEvent): void {
  switch (event.kind) {
    case "tick":
      return tick(draft);
    case "received":
      return receive(draft, event.message);
    case "synced":
      return receiveSynced(draft, event);
    case "propose":
      propose(draft, event);
      return replicateIfLeader(draft);
    case "proposeConfiguration":
      proposeConfiguration(draft, event.configuration);
      return replicateIfLeader(draft);
    case "compacted":
      return compact(draft, event.snapshot);
    case "transferLeadership":
      return transferLeadership(draft);
    case "confirmLeadership":
      return sendHeartbeats(draft);
  }
}

function tick(draft: Draft): void {
  if (draft.state.role === Role.leader) return tickLeader(draft);
  if (draft.now >= draft.state.electionDueAt) startPreVote(draft);
}

function tickLeader(draft: Draft): void {
  const { state, now } = draft;
  if (
    now - quorumContactAt(state, now) > state.options.electionMilliseconds
  ) {
    return becomeFollower(draft, state.term, null);
  }
  // Step down: the successor may still win the election that it was asked to
  // start.
  if (state.transferTo !== null && now > state.transferUntil) {
    return becomeFollower(draft, state.term, null);
  }
  if (now < state.heartbeatDueAt) return;
  sendHeartbeats(draft);
}

function sendHeartbeats(draft: Draft): void {
  const { state, now } = draft;
  if (state.role !== Role.leader) return;
  state.heartbeatDueAt = now + state.options.heartbeatMilliseconds;
  replicate(draft, { heartbeat: true });
}

function receive(draft: Draft, message: ConsensusMessage): void {
  switch (message.kind) {
    case "preVoteRequest":
      return receivePreVoteRequest(draft, message);
    case "preVoteResponse":
      return receivePreVoteResponse(draft, message);
    case "voteRequest":
      return receiveVoteRequest(draft, message);
    case "appendRequest":
      return receiveAppendRequest(draft, message);
    case "snapshotRequest":
      return receiveSnapshotRequest(draft, message);
  }
  if (message.term > draft.state.term) {
    return becomeFollower(draft, message.term, null);
  }
  if (message.term < draft.state.term) return;
  switch (message.kind) {
    case "voteResponse":
      return receiveVoteResponse(draft, message);
    case "appendResponse":
      return receiveAppendResponse(draft, message);
    case "contactResponse":
      return recordContactResponse(draft.state, message);
    case "snapshotResponse":
      return receiveSnapshotResponse(draft, message);
    case "timeoutNow":
      return startElection(draft, { transfer: true });
  }
}

function compact(draft: Draft, snapshot: Snapshot): void {
  const { state } = draft;
  if (
    snapshot.index <= state.snapshot.index || snapshot.index > state.commitIndex
  ) return;
  state.entries = state.entries.slice(snapshot.index - state.snapshot.index);
  state.snapshot = snapshot;
}

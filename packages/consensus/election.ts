import type { Draft } from "./draft.ts";
import { becomeLeader } from "./leader.ts";
import { configurationOf, lastIndex, lastTerm } from "./log.ts";
import { Role } from "./types.ts";
import type {
  ConsensusState,
  PreVoteRequest,
  PreVoteResponse,
  ReplicaId,
  VoteRequest,
  VoteResponse,
} from "./types.ts";

/** Schedules the next election attempt after one to two election timeouts. */
export function scheduleElection(draft: Draft): void {
  const { electionMilliseconds } = draft.state.options;
  const jitter = electionJitter(draft.state.self, draft.state.term);
  draft.state.electionDueAt = draft.now + electionMilliseconds * (1 + jitter);
}

// Retries after 0.2 to 1 election timeout: a voter that refused a pre-vote may
// have had contact with the lost leader slightly later than this replica, and
// two candidates may have split the votes.
function scheduleElectionRetry(draft: Draft): void {
  const { self, term, options } = draft.state;
  const fraction = 0.2 + 0.8 * electionJitter(self, term);
  draft.state.electionDueAt = draft.now +
    options.electionMilliseconds * fraction;
}

/** Becomes a follower, adopting `term` if it is newer. */
export function becomeFollower(
  draft: Draft,
  term: number,
  leader: ReplicaId | null,
): void {
  const wasLeader = draft.state.role === Role.leader;
  if (term > draft.state.term) {
    draft.state.term = term;
    draft.state.votedFor = null;
    draft.state.incoming = null;
    draft.persistHardState();
  }
  draft.state.role = Role.follower;
  draft.state.leader = leader;
  draft.state.transferTo = null;
  scheduleElection(draft);
  if (wasLeader) {
    draft.effects.push({ kind: "roleChanged", role: Role.follower });
  }
}

/** Starts a pre-vote, which checks whether an election could be won. */
export function startPreVote(draft: Draft): void {
  if (!isVoter(draft.state)) return scheduleElection(draft);
  draft.state.role = Role.preCandidate;
  draft.state.leader = null;
  draft.state.votes = new Set([draft.state.self]);
  scheduleElectionRetry(draft);
  for (const to of otherVoters(draft.state)) {
    draft.sendInTerm({
      kind: "preVoteRequest",
      to,
      lastIndex: lastIndex(draft.state),
      lastTerm: lastTerm(draft.state),
    }, draft.state.term + 1);
  }
  if (hasVoteMajority(draft.state)) startElection(draft, { transfer: false });
}

/** Increments the term and requests votes. */
export function startElection(
  draft: Draft,
  options: { readonly transfer: boolean },
): void {
  if (!isVoter(draft.state)) return;
  draft.state.role = Role.candidate;
  draft.state.leader = null;
  draft.state.term += 1;
  draft.state.votedFor = draft.state.self;
  draft.state.votes = new Set([draft.state.self]);
  scheduleElectionRetry(draft);
  draft.persistHardState();
  for (const to of otherVoters(draft.state)) {
    draft.send({
      kind: "voteRequest",
      to,
      lastIndex: lastIndex(draft.state),
      lastTerm: lastTerm(draft.state),
      transfer: options.transfer,
    });
  }
  if (hasVoteMajority(draft.state)) becomeLeader(draft);
}

/** Handles a pre-vote request; the term does not change. */
export function receivePreVoteRequest(
  draft: Draft,
  message: PreVoteRequest,
): void {
  const granted = message.term > draft.state.term &&
    !hasRecentLeaderContact(draft) &&
    isCandidateLogUpToDate(draft.state, message);
  draft.sendInTerm(
    { kind: "preVoteResponse", to: message.from, granted },
    granted ? message.term : draft.state.term,
  );
}

/** Handles a pre-vote response. */
export function receivePreVoteResponse(
  draft: Draft,
  message: PreVoteResponse,
): void {
  if (draft.state.role !== Role.preCandidate) return;
  if (!message.granted) {
    if (message.term > draft.state.term) {
      becomeFollower(draft, message.term, null);
    }
    return;
  }
  if (message.term !== draft.state.term + 1) return;
  draft.state.votes = new Set([...draft.state.votes, message.from]);
  if (hasVoteMajority(draft.state)) startElection(draft, { transfer: false });
}

/** Handles a vote request. */
export function receiveVoteRequest(draft: Draft, message: VoteRequest): void {
  if (!message.transfer && hasRecentLeaderContact(draft)) return;
  if (message.term > draft.state.term) {
    becomeFollower(draft, message.term, null);
  }
  const granted = message.term === draft.state.term &&
    (draft.state.votedFor === null || draft.state.votedFor === message.from) &&
    isCandidateLogUpToDate(draft.state, message);
  if (granted && draft.state.votedFor === null) {
    draft.state.votedFor = message.from;
    draft.persistHardState();
  }
  if (granted) scheduleElection(draft);
  draft.send({ kind: "voteResponse", to: message.from, granted });
}

/** Handles a vote response. */
export function receiveVoteResponse(draft: Draft, message: VoteResponse): void {
  if (
    draft.state.role !== Role.candidate || message.term !== draft.state.term ||
    !message.granted
  ) return;
  draft.state.votes = new Set([...draft.state.votes, message.from]);
  if (hasVoteMajority(draft.state)) becomeLeader(draft);
}

/** Whether this replica is a voter in the current configuration. */
export function isVoter(state: ConsensusState): boolean {
  return configurationOf(state).voters.includes(state.self);
}

function otherVoters(state: ConsensusState): readonly ReplicaId[] {
  return configurationOf(state).voters.filter((each) => each !== state.self);
}

function hasVoteMajority(state: ConsensusState): boolean {
  const { voters } = configurationOf(state);
  const granted = voters.filter((each) => state.votes.has(each)).length;
  return granted * 2 > voters.length;
}

// A replica with recent leader contact refuses votes, so that no second leader
// can be elected within one election timeout of the first leader's last quorum
// contact.
function hasRecentLeaderContact(draft: Draft): boolean {
  const { state, now } = draft;
  return state.role === Role.leader ||
    now - state.leaderHeardAt < state.options.electionMilliseconds;
}

function isCandidateLogUpToDate(
  state: ConsensusState,
  candidate: { readonly lastIndex: number; readonly lastTerm: number },
): boolean {
  const ownTerm = lastTerm(state);
  if (candidate.lastTerm !== ownTerm) return candidate.lastTerm > ownTerm;
  return candidate.lastIndex >= lastIndex(state);
}

/**
 * Returns an election jitter from 0 to 1 as a fraction of the election timeout.
 * It is a hash (FNV-1a with part of xxHash32's final mix) rather than a random
 * number, so that runs are reproducible.
 */
export function electionJitter(self: ReplicaId, term: number): number {
  let hash = 2166136261;
  for (const character of `${self}:${term}`) {
    hash = Math.imul(hash ^ character.charCodeAt(0), 16777619);
  }
  hash ^= hash >>> 15;
  hash = Math.imul(hash, 2246822519);
  return ((hash ^ (hash >>> 13)) >>> 0) / 2 ** 32;
}

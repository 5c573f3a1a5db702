/**
 * Raft consensus for a replicated log: leader election with pre-vote, leader
 * leases based on quorum contact, snapshots, learners and single-server
 * configuration changes. It performs no I/O: the caller carries out the effects
 * that each step returns.
 *
 * @module
 */
export {
  createConsensusState,
  emptySnapshot,
  nextTickAt,
  stepConsensus,
} from "./machine.ts";
export type { StoredReplica } from "./machine.ts";
export { deliveryTimeoutMilliseconds } from "./delivery_timeout.ts";
export { packMessage, unpackMessage } from "./message_codec.ts";
export { MessageError, parseConsensusMessage } from "./message_schema.ts";
export { isVoter } from "./election.ts";
export {
  holdsLeaderLease,
  isCaughtUp,
  isConfigurationSettled,
  quorumContactAt,
} from "./leader.ts";
export { planVoters } from "./plan_voters.ts";
export type { ReplicaStatus, VoterPlanOptions } from "./plan_voters.ts";
export { configurationOf, lastIndex, lastTerm, termAt } from "./log.ts";
export { EntryKind, resolveConsensusOptions, Role } from "./types.ts";
export type {
  Configuration,
  ConsensusEffect,
  ConsensusEvent,
  ConsensusMessage,
  ConsensusOptions,
  ConsensusState,
  HardState,
  IncomingSnapshot,
  LogEntry,
  Progress,
  ReplicaId,
  ResolvedConsensusOptions,
  Snapshot,
} from "./types.ts";

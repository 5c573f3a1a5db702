/** Identifies one incarnation of a replica's data folder, such as `vm-1.9f3c`. */
export type ReplicaId = string;

/** The kind of a log entry. */
export const EntryKind = {
  /** Appended by a new leader to commit the entries of earlier terms. */
  empty: "empty",
  /** An encoded command of the replicated state machine. */
  command: "command",
  /** A configuration change. */
  configuration: "configuration",
} as const;
export type EntryKind = typeof EntryKind[keyof typeof EntryKind];

/** The replicas that vote, and the learners, which only replicate the log. */
export interface Configuration {
  readonly voters: readonly ReplicaId[];
  readonly learners: readonly ReplicaId[];
}

/** One entry of the replicated log. */
export interface LogEntry {
  readonly index: number;
  readonly term: number;
  readonly kind: EntryKind;
  /** The encoded command; empty for the other kinds. */
  readonly payload: Uint8Array;
  /** Present only on configuration entries. */
  readonly configuration?: Configuration;
}

/** The state of the replicated state machine after the entry at `index`. */
export interface Snapshot {
  readonly index: number;
  readonly term: number;
  readonly configuration: Configuration;
  readonly data: Uint8Array;
}

/** The state that a replica must persist before it responds to a message. */
export interface HardState {
  readonly term: number;
  readonly votedFor: ReplicaId | null;
}

interface MessageHeader {
  readonly from: ReplicaId;
  readonly to: ReplicaId;
  readonly term: number;
}

/** Asks whether a vote would be granted, without incrementing the term. */
export interface PreVoteRequest extends MessageHeader {
  readonly kind: "preVoteRequest";
  readonly lastIndex: number;
  readonly lastTerm: number;
}

/** The response to a {@link PreVoteRequest}. */
export interface PreVoteResponse extends MessageHeader {
  readonly kind: "preVoteResponse";
  readonly granted: boolean;
}

/** Requests a vote. */
export interface VoteRequest extends MessageHeader {
  readonly kind: "voteRequest";
  readonly lastIndex: number;
  readonly lastTerm: number;
  /** Whether the current leader requested this election. */
  readonly transfer: boolean;
}

/** The response to a {@link VoteRequest}. */
export interface VoteResponse extends MessageHeader {
  readonly kind: "voteResponse";
  readonly granted: boolean;
}

/** Replicates entries; without entries, it serves as a heartbeat. */
export interface AppendRequest extends MessageHeader {
  readonly kind: "appendRequest";
  readonly previousIndex: number;
  readonly previousTerm: number;
  readonly entries: readonly LogEntry[];
  readonly commitIndex: number;
  /** Send time by the leader's clock, in milliseconds; the response returns it. */
  readonly sentAt: number;
}

/** The response to an {@link AppendRequest} or a {@link SnapshotRequest}. */
export interface AppendResponse extends MessageHeader {
  readonly kind: "appendResponse";
  readonly accepted: boolean;
  /** Last index that matches the leader's log; if rejected, the next to try. */
  readonly index: number;
  readonly sentAt: number;
}

/**
 * Confirms to a leader that it is followed while the {@link AppendResponse}
 * still waits for the disk. It acknowledges no entries.
 */
export interface ContactResponse extends MessageHeader {
  readonly kind: "contactResponse";
  readonly sentAt: number;
}

/** Sends a part of the snapshot to a replica that is too far behind. */
export interface SnapshotRequest extends MessageHeader {
  readonly kind: "snapshotRequest";
  /** The snapshot; `data` contains only the part that starts at `offset`. */
  readonly snapshot: Snapshot;
  readonly offset: number;
  /** Size of the complete snapshot data in bytes. */
  readonly totalBytes: number;
  readonly sentAt: number;
}

/** The response to a {@link SnapshotRequest} that left the snapshot incomplete. */
export interface SnapshotResponse extends MessageHeader {
  readonly kind: "snapshotResponse";
  readonly snapshotIndex: number;
  /** Number of bytes that the replica has, from the start of the snapshot. */
  readonly received: number;
  readonly sentAt: number;
}

/** Asks a caught-up voter to start an election immediately. */
export interface TimeoutNow extends MessageHeader {
  readonly kind: "timeoutNow";
}

/** A message between replicas. */
export type ConsensusMessage =
  | PreVoteRequest
  | PreVoteResponse
  | VoteRequest
  | VoteResponse
  | AppendRequest
  | AppendResponse
  | ContactResponse
  | SnapshotRequest
  | SnapshotResponse
  | TimeoutNow;

/** An event that a replica handles. */
export type ConsensusEvent =
  | { readonly kind: "tick" }
  | { readonly kind: "received"; readonly message: ConsensusMessage }
  /** The local log has been synced up to this entry. */
  | { readonly kind: "synced"; readonly index: number; readonly term: number }
  | {
    readonly kind: "propose";
    readonly payload: Uint8Array;
    /** Identifies the proposal in its `proposed` effect. */
    readonly proposal: number;
  }
  | {
    readonly kind: "proposeConfiguration";
    readonly configuration: Configuration;
  }
  /** A snapshot was taken, so that the log can be truncated up to its index. */
  | { readonly kind: "compacted"; readonly snapshot: Snapshot }
  | { readonly kind: "transferLeadership" }
  /** Requests an immediate heartbeat, to confirm that a majority still follows. */
  | { readonly kind: "confirmLeadership" };

/**
 * An effect that the caller must carry out. A `send` with `awaitsSync` may be
 * sent only after every earlier `persist` and `persistSnapshot` has been synced;
 * all other effects are carried out immediately.
 */
export type ConsensusEffect =
  | {
    readonly kind: "persist";
    readonly hardState: HardState | null;
    /** Entries that replace the log from the index of the first one. */
    readonly entries: readonly LogEntry[];
  }
  | { readonly kind: "persistSnapshot"; readonly snapshot: Snapshot }
  | {
    readonly kind: "send";
    readonly message: ConsensusMessage;
    readonly awaitsSync: boolean;
    /** A message to send immediately if `message` has to wait. */
    readonly interim?: ConsensusMessage;
  }
  /** The newly committed entries, to be applied in order. */
  | { readonly kind: "commit"; readonly entries: readonly LogEntry[] }
  /** A snapshot from the leader replaces the replicated state. */
  | { readonly kind: "restore"; readonly snapshot: Snapshot }
  | {
    readonly kind: "proposed";
    readonly proposal: number;
    /** The log index of the proposal, or null if it was rejected. */
    readonly index: number | null;
    readonly term: number;
  }
  | { readonly kind: "roleChanged"; readonly role: Role };

/** The Raft role of a replica. */
export const Role = {
  follower: "follower",
  preCandidate: "preCandidate",
  candidate: "candidate",
  leader: "leader",
} as const;
export type Role = typeof Role[keyof typeof Role];

/** The replication progress of another replica, as known to the leader. */
export interface Progress {
  /** Last index known to be stored on the replica. */
  readonly match: number;
  /** Next index to send. */
  readonly next: number;
  /** Send time of the latest message to which the replica responded. */
  readonly answeredAt: number;
  /**
   * Send time of the latest message that the replica confirmed as a follower,
   * possibly before its sync.
   */
  readonly followedAt: number;
  /** Send time of the unacknowledged entries or snapshot part, or null. */
  readonly waitingSince: number | null;
  /** The snapshot being sent, and the number of bytes known to be received. */
  readonly sending: { readonly index: number; readonly received: number };
  /** Whether the replica's disk was rolled back, losing acknowledged entries. */
  readonly hasForgotten: boolean;
}

/** A partially received snapshot. */
export interface IncomingSnapshot {
  readonly index: number;
  readonly term: number;
  readonly parts: readonly Uint8Array[];
  readonly received: number;
}

/** Timing of elections and heartbeats, and the size limits of messages. */
export interface ConsensusOptions {
  /** Interval between heartbeats. @default 200 */
  readonly heartbeatMilliseconds?: number;
  /** Minimum time without leader contact before an election. @default 600 */
  readonly electionMilliseconds?: number;
  /**
   * Time after a restart during which a replica refuses votes and does not start
   * an election, because it may have responded to a leader just before. A value
   * below `electionMilliseconds` is safe only if leaders confirm each response
   * with a round of messages to their quorum.
   *
   * @default electionMilliseconds
   */
  readonly restartQuietMilliseconds?: number;
  /** Maximum number of entries in one message. @default 256 */
  readonly maximumBatchEntries?: number;
  /** Maximum bytes of entries or snapshot data in one message. @default 262144 */
  readonly maximumBatchBytes?: number;
  /** Time after which unacknowledged entries are sent again. @default 400 */
  readonly resendMilliseconds?: number;
}

/** {@link ConsensusOptions} with defaults applied. */
export type ResolvedConsensusOptions = Required<ConsensusOptions>;

/** Applies the defaults of {@link ConsensusOptions}. */
export function resolveConsensusOptions(
  options: ConsensusOptions = {},
): ResolvedConsensusOptions {
  const electionMilliseconds = options.electionMilliseconds ?? 600;
  return {
    heartbeatMilliseconds: options.heartbeatMilliseconds ?? 200,
    electionMilliseconds,
    restartQuietMilliseconds: options.restartQuietMilliseconds ??
      electionMilliseconds,
    maximumBatchEntries: options.maximumBatchEntries ?? 256,
    maximumBatchBytes: options.maximumBatchBytes ?? 256 * 1024,
    resendMilliseconds: options.resendMilliseconds ?? 400,
  };
}

/** The complete consensus state of a replica. */
export interface ConsensusState {
  readonly self: ReplicaId;
  readonly options: ResolvedConsensusOptions;
  readonly term: number;
  readonly votedFor: ReplicaId | null;
  readonly role: Role;
  readonly leader: ReplicaId | null;
  readonly snapshot: Snapshot;
  /** The entries after the snapshot. */
  readonly entries: readonly LogEntry[];
  readonly commitIndex: number;
  /** Last local index known to be synced. */
  readonly syncedIndex: number;
  readonly votes: ReadonlySet<ReplicaId>;
  readonly progress: ReadonlyMap<ReplicaId, Progress>;
  readonly electionDueAt: number;
  readonly heartbeatDueAt: number;
  /**
   * Whether a term is stored on disk, so that after a restart this replica would
   * wait before it votes again.
   */
  readonly hasStoredTerm: boolean;
  /** Time of the last contact with a leader. */
  readonly leaderHeardAt: number;
  /** Time at which this replica became leader. */
  readonly leadingSince: number;
  /** The voter to which leadership is being transferred, or null. */
  readonly transferTo: ReplicaId | null;
  /** Time after which the leader steps down if the transfer is not complete. */
  readonly transferUntil: number;
  readonly incoming: IncomingSnapshot | null;
}

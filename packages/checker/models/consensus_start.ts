import type { ConsensusMessage, ReplicaId } from "@kingcupglade/consensus";

/** State in which an exploration starts. */
export type ConsensusStart =
  /** All replicas are newly started. */
  | "fresh"
  /** a and b are candidates in term 1; their vote requests are in flight. */
  | "candidates"
  /** a leads in term 1, and all replicas have stored its first entry. */
  | "elected";

/** One step of the script that creates a start state. */
export type ScriptStep =
  | { readonly tick: ReplicaId }
  | { readonly sync: ReplicaId }
  /** Delivers all messages of a kind. */
  | { readonly deliver: ConsensusMessage["kind"] }
  /** Drops all messages of a kind. */
  | { readonly drop: ConsensusMessage["kind"] };

const preVoteRound: readonly ScriptStep[] = [
  { deliver: "preVoteRequest" },
  { deliver: "preVoteResponse" },
];

/** Scripts that create the start states. */
export const startScripts: Readonly<
  Record<ConsensusStart, readonly ScriptStep[]>
> = {
  fresh: [],
  candidates: [
    { tick: "a" },
    { tick: "b" },
    ...preVoteRound,
    { drop: "preVoteResponse" },
    { sync: "a" },
    { sync: "b" },
  ],
  elected: [
    { tick: "a" },
    ...preVoteRound,
    { drop: "preVoteResponse" },
    { sync: "a" },
    { deliver: "voteRequest" },
    { sync: "b" },
    { sync: "c" },
    { deliver: "voteResponse" },
    { drop: "voteResponse" },
    { deliver: "appendRequest" },
    { sync: "a" },
    { sync: "b" },
    { sync: "c" },
    { deliver: "appendResponse" },
    { deliver: "appendRequest" },
    { drop: "appendResponse" },
    { drop: "appendRequest" },
    { sync: "a" },
    { sync: "b" },
    { sync: "c" },
    { drop: "appendResponse" },
  ],
};

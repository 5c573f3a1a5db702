import type { ConsensusMessage, ReplicaId } from "@kingcupglade/consensus";

/** Where an exploration starts. */
export type ConsensusStart =
  /** Nothing has happened. */
  | "fresh"
  /** a and b stand in term 1; their requests for votes are on the way. */
  | "rivals"
  /** a leads in term 1, and everybody has stored its first entry. */
  | "led";

/** One step of the way to a start. */
export type ScriptStep =
  | { readonly tick: ReplicaId }
  | { readonly sync: ReplicaId }
  /** Delivers the messages of a kind, or drops them. */
  | { readonly deliver: ConsensusMessage["kind"] }
  | { readonly drop: ConsensusMessage["kind"] };

const standing: readonly ScriptStep[] = [
  { deliver: "preVoteRequest" },
  { deliver: "preVoteResponse" },
];

/** The way to each start. */
export const startScripts: Readonly<
  Record<ConsensusStart, readonly ScriptStep[]>
> = {
  fresh: [],
  rivals: [
    { tick: "a" },
    { tick: "b" },
    ...standing,
    { drop: "preVoteResponse" },
    { sync: "a" },
    { sync: "b" },
  ],
  led: [
    { tick: "a" },
    ...standing,
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

import {
  createConsensusState,
  emptySnapshot,
  MessageError,
  packMessage,
  parseConsensusMessage,
  stepConsensus,
  unpackMessage,
} from "@kingcupglade/consensus";
import type { ConsensusMessage, LogEntry } from "@kingcupglade/consensus";
import { decodeValue, encodeValue, WireError } from "@kingcupglade/protocol";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { mutatedBytes, mutatedValue } from "./mutated_value.ts";

const runs = { seed: 6, numRuns: 1500 };

const head = { from: "b", to: "a", term: 2 };
const entries: LogEntry[] = [2, 3].map((index) => ({
  index,
  term: 2,
  kind: "command",
  payload: new Uint8Array([index]),
}));
const configuration = { voters: ["a", "b", "c"], learners: [] };
const sent: readonly ConsensusMessage[] = [
  { kind: "preVoteRequest", ...head, lastIndex: 1, lastTerm: 1 },
  { kind: "preVoteResponse", ...head, granted: true },
  { kind: "voteRequest", ...head, lastIndex: 1, lastTerm: 1, transfer: true },
  { kind: "voteResponse", ...head, granted: true },
  {
    kind: "appendRequest",
    ...head,
    previousIndex: 1,
    previousTerm: 1,
    entries,
    commitIndex: 2,
    sentAt: 5,
  },
  { kind: "appendResponse", ...head, accepted: true, index: 1, sentAt: 5 },
  { kind: "contactResponse", ...head, sentAt: 5 },
  {
    kind: "snapshotRequest",
    ...head,
    snapshot: { index: 4, term: 2, configuration, data: new Uint8Array([1]) },
    offset: 0,
    totalBytes: 1,
    sentAt: 5,
  },
  {
    kind: "snapshotResponse",
    ...head,
    snapshotIndex: 4,
    received: 1,
    sentAt: 5,
  },
  { kind: "timeoutNow", ...head },
];

/** A replica with one entry that follows, stands or leads. */
function createReplica(role: "follower" | "candidate" | "leader") {
  const entry: LogEntry = {
    index: 1,
    term: 1,
    kind: "empty",
    payload: new Uint8Array(),
  };
  const state = createConsensusState({
    self: "a",
    hardState: { term: 1, votedFor: null },
    snapshot: emptySnapshot(configuration),
    entries: [entry],
  }, { now: 0 });
  if (role === "follower") return state;
  const standing = stepConsensus(state, {
    kind: "received",
    message: { kind: "timeoutNow", from: "b", to: "a", term: 1 },
  }, 1).state;
  if (role === "candidate") return standing;
  return stepConsensus(standing, {
    kind: "received",
    message: {
      kind: "voteResponse",
      from: "b",
      to: "a",
      term: 2,
      granted: true,
    },
  }, 2).state;
}

/** A copy with its indexes, terms and times drawn anew. */
function withNumbers(value: unknown, drawn: number[]): unknown {
  if (typeof value === "number") return drawn.shift() ?? 0;
  if (value instanceof Uint8Array || value === null) return value;
  if (Array.isArray(value)) {
    return value.map((each) => withNumbers(each, drawn));
  }
  if (typeof value !== "object") return value;
  return Object.fromEntries(
    Object.entries(value).map(([key, each]) => [key, withNumbers(each, drawn)]),
  );
}

describe("messages of other replicas", () => {
  const replicas = (["follower", "candidate", "leader"] as const).map(
    createReplica,
  );
  const counts = { steps: 0, refused: 0 };

  /** Gives what passes the check to replicas in every role. */
  const deliver = (decode: () => unknown) => {
    try {
      const message = parseConsensusMessage(decode());
      for (const state of replicas) {
        stepConsensus(state, { kind: "received", message }, 10);
        counts.steps += 1;
      }
    } catch (failure) {
      const known = failure instanceof MessageError ||
        failure instanceof WireError;
      if (!known) throw failure;
      counts.refused += 1;
    }
  };

  const received = (bytes: Uint8Array) => unpackMessage(decodeValue(bytes));

  it("pass the check as they are sent", () => {
    expect(replicas.map((each) => each.role))
      .toEqual(["follower", "candidate", "leader"]);
    for (const message of sent) {
      expect(parseConsensusMessage(received(encodeValue(packMessage(message)))))
        .toEqual(message);
    }
  });

  for (const message of sent) {
    it(`are refused or do no harm when changed: ${message.kind}`, () => {
      fc.assert(
        fc.property(mutatedValue(message), (changed) => deliver(() => changed)),
        runs,
      );
      fc.assert(
        fc.property(
          mutatedBytes(encodeValue(packMessage(message))),
          (bytes) => deliver(() => received(bytes)),
        ),
        runs,
      );
      const numbers = fc.array(fc.nat({ max: 6 }), {
        minLength: 12,
        maxLength: 12,
      });
      fc.assert(
        fc.property(
          numbers,
          (drawn) => deliver(() => withNumbers(message, [...drawn])),
        ),
        runs,
      );
      expect(counts.refused).toBeGreaterThan(0);
      console.info(`messages so far: ${JSON.stringify(counts)}`);
    });
  }
});

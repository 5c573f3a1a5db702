import { describe, expect, it } from "vitest";
import { FakeNetwork } from "./fake_network.ts";
import type { FakeReplica } from "./fake_replica.ts";
import {
  createConsensusState,
  emptySnapshot,
  stepConsensus,
} from "./machine.ts";
import type {
  ConsensusEvent,
  ConsensusMessage,
  ConsensusState,
  LogEntry,
} from "./types.ts";

const seeds = Array.from({ length: 10 }, (_, at) => at + 1);

interface Trio {
  readonly network: FakeNetwork;
  readonly leader: FakeReplica;
  readonly others: readonly FakeReplica[];
}

function startTrio(seed: number): Trio {
  const network = new FakeNetwork({ seed, spares: 0 });
  network.run(2000);
  network.proposes = false;
  network.run(200);
  const leader = network.leader!;
  const others = network.replicas.filter((each) => each !== leader);
  return { network, leader, others };
}

function startReplica(entries: readonly LogEntry[], term: number) {
  const configuration = { voters: ["a", "b", "c"], learners: [] };
  return createConsensusState({
    self: "a",
    hardState: { term, votedFor: null },
    snapshot: emptySnapshot(configuration),
    entries,
  }, { now: 0 });
}

function receive(state: ConsensusState, message: ConsensusMessage) {
  const event: ConsensusEvent = { kind: "received", message };
  return stepConsensus(state, event, 5000);
}

const old: LogEntry = {
  index: 1,
  term: 1,
  kind: "command",
  payload: new Uint8Array(),
};

describe("leadership", () => {
  describe.each(seeds)("with seed %i", (seed) => {
    it("stays single when a voter restarts just after it answered", () => {
      const { network, leader, others } = startTrio(seed);
      network.block(leader, others[0]!);
      network.run(1000 + network.below(400));
      network.isolate(leader);
      others[1]!.crash();
      others[1]!.restart();
      network.run(1500);
      expect(network.leader).not.toBe(leader);
    });

    it("stays single when the leader is cut off during a transfer", () => {
      const { network, leader } = startTrio(seed);
      leader.post({ kind: "transferLeadership" });
      network.run(10 + 5 * network.below(10));
      network.isolate(leader);
      network.run(1500);
      expect(network.leader).not.toBe(leader);
    });

    it("stays single when the successor wakes after the transfer", () => {
      const { network, leader, others } = startTrio(seed);
      leader.post({ kind: "transferLeadership" });
      network.run(5);
      const { transferTo } = leader.state;
      others.find((each) => each.id === transferTo)!.pause(750);
      network.run(700);
      network.isolate(leader);
      network.run(1500);
      expect(network.leader).not.toBe(leader);
    });

    it("does not move when a cut off voter returns", () => {
      const { network, leader, others } = startTrio(seed);
      const { term } = leader.state;
      network.isolate(others[0]!);
      network.run(3000);
      network.heal();
      network.run(2000);
      expect(leader.state.role).toBe("leader");
      expect(leader.state.term).toBe(term);
    });
  });

  describe("answers", () => {
    it("await the sync of the vote and of the entries", () => {
      const vote = receive(startReplica([], 1), {
        kind: "voteRequest",
        from: "b",
        to: "a",
        term: 2,
        lastIndex: 0,
        lastTerm: 0,
        transfer: false,
      });
      const append = receive(startReplica([], 1), {
        kind: "appendRequest",
        from: "b",
        to: "a",
        term: 1,
        previousIndex: 0,
        previousTerm: 0,
        entries: [old],
        commitIndex: 0,
        sentAt: 0,
      });
      for (const { effects } of [vote, append]) {
        expect(effects[0]?.kind).toBe("persist");
        expect(effects.at(-1)).toMatchObject({
          kind: "send",
          awaitsSync: true,
        });
      }
    });
  });

  describe("a new leader", () => {
    it("commits nothing of earlier terms by counting copies", () => {
      const fresh = startReplica([old], 1);
      let { state } = stepConsensus(fresh, { kind: "tick" }, 5000);
      const head = { from: "b", to: "a" };
      const answers: readonly ConsensusMessage[] = [
        { ...head, kind: "preVoteResponse", term: 2, granted: true },
        { ...head, kind: "voteResponse", term: 2, granted: true },
        {
          ...head,
          kind: "appendResponse",
          term: 2,
          accepted: true,
          index: 1,
          sentAt: 5000,
        },
      ];
      for (const answer of answers) ({ state } = receive(state, answer));
      expect(state.role).toBe("leader");
      expect(state.commitIndex).toBe(0);
    });
  });
});

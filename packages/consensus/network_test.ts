import { describe, expect, it } from "vitest";
import { FakeNetwork } from "./fake_network.ts";
import type { FakeReplica } from "./fake_replica.ts";
import { isConfigurationSettled } from "./leader.ts";
import { configurationOf } from "./log.ts";

type Fault = (network: FakeNetwork) => () => void;

const faults: Readonly<Record<string, Fault>> = {
  partition: (network) => {
    const side = network.replicas.filter(() => network.below(2) === 0);
    for (const near of side) {
      for (const far of network.replicas) {
        if (side.includes(far)) continue;
        network.block(near, far);
        network.block(far, near);
      }
    }
    return () => network.heal();
  },
  farSideLeader: (network) => {
    if (network.leader) network.isolate(network.leader);
    return () => network.heal();
  },
  deafVoter: (network) => {
    const deaf = network.someVoter();
    for (const other of network.replicas) network.block(other, deaf);
    return () => network.heal();
  },
  loss: (network) => {
    network.lossPercent = 30;
    return () => network.heal();
  },
  pausedLeader: (network) => {
    network.leader?.pause(700 + network.below(1500));
    return () => {};
  },
  pausedVoter: (network) => {
    network.someVoter().pause(network.below(2500));
    return () => {};
  },
  crash: (network) => crashAll([network.someVoter()]),
  crashOfAll: (network) => crashAll(network.replicas),
  slowDisk: (network) => {
    const slow = network.someVoter();
    slow.syncMilliseconds = 400;
    return () => (slow.syncMilliseconds = 10);
  },
  transfer: (network) => {
    network.leader?.post({ kind: "transferLeadership" });
    return () => {};
  },
  restartAtOnce: (network) => {
    for (const replica of network.replicas) {
      if (!replica.isRunning || network.below(2) === 0) continue;
      replica.crash();
      replica.restart();
    }
    return () => {};
  },
};

function crashAll(replicas: readonly FakeReplica[]): () => void {
  const crashed = replicas.filter((each) => each.isRunning);
  for (const replica of crashed) replica.crash();
  return () => {
    for (const replica of crashed) replica.restart();
  };
}

function expectProgress(network: FakeNetwork): void {
  const before = network.acknowledged;
  const acknowledges = () => network.acknowledged > before + 20;
  expect(network.runUntil(acknowledges, 15_000)).toBe(true);
}

const names = Object.keys(faults);
const pairs = names.flatMap((first, at) =>
  names.slice(at).map((second) => [first, second] as const)
);

describe("replicas in virtual time", () => {
  describe.each(pairs)("with %s and %s", (first, second) => {
    it("keep what was committed, under one leader a term", () => {
      for (let seed = 1; seed <= 6; seed += 1) {
        const network = new FakeNetwork({ seed });
        network.run(1500);
        for (let round = 0; round < 2; round += 1) {
          const endFirst = faults[first]!(network);
          network.run(network.below(400));
          const endSecond = faults[second]!(network);
          network.run(500 + network.below(1500));
          endFirst();
          network.run(network.below(300));
          endSecond();
          network.run(300);
        }
        expectProgress(network);
      }
    });
  });

  describe("without a fault", () => {
    it("send each entry once to each follower", () => {
      const network = new FakeNetwork({ seed: 1 });
      network.run(2000);
      const sent = network.entriesSent;
      const acknowledged = network.acknowledged;
      network.run(10_000);
      const followers = 2;
      expect(network.entriesSent - sent).toBeLessThan(
        (network.acknowledged - acknowledged) * followers * 1.02,
      );
    });
  });

  describe("with disks slower than an election", () => {
    it("keep their leader and commit", () => {
      for (let seed = 1; seed <= 10; seed += 1) {
        const network = new FakeNetwork({ seed, spares: 0 });
        network.run(2000);
        const { term } = network.leader!.state;
        for (const each of network.replicas) each.syncMilliseconds = 1200;
        const before = network.acknowledged;
        network.run(20_000);
        expect(network.leader!.state.term).toBe(term);
        expect(network.acknowledged).toBeGreaterThan(before + 100);
      }
    });

    it("have no second leader when a voter restarts before its sync", () => {
      for (let seed = 1; seed <= 40; seed += 1) {
        const network = new FakeNetwork({ seed, spares: 0 });
        for (const each of network.replicas) each.syncMilliseconds = 1200;
        network.run(2000 + network.below(2000));
        const voters = network.replicas.filter((each) =>
          each !== network.leader
        );
        if (network.leader) network.isolate(network.leader);
        for (const each of voters) {
          each.crash();
          each.restart();
        }
        network.run(3000);
        network.heal();
        for (const each of network.replicas) each.syncMilliseconds = 10;
        expectProgress(network);
      }
    });
  });

  describe("after the loss of a voter's disk", () => {
    it("repair themselves and bear a second loss at once", () => {
      for (let seed = 1; seed <= 20; seed += 1) {
        const network = new FakeNetwork({ seed });
        network.run(1500);
        const lost = network.someVoter();
        const lostId = lost.id;
        lost.crash();
        network.run(network.below(500));
        if (seed % 2 === 0) lost.restartWiped();
        const isRepaired = () => {
          const { leader } = network;
          if (!leader) return false;
          const { voters, learners } = configurationOf(leader.state);
          return isConfigurationSettled(leader.state) &&
            voters.length === 3 && learners.length === 0 &&
            !voters.includes(lostId);
        };
        expect(network.runUntil(isRepaired, 15_000)).toBe(true);
        network.someVoter().crash();
        expectProgress(network);
      }
    });
  });

  describe("after a disk was rolled back to an older copy", () => {
    it("count that replica no more and replace it", () => {
      const network = new FakeNetwork({ seed: 3 });
      network.run(1500);
      const leader = network.leader!;
      const rolledBack = network.replicas.find((each) =>
        each.isVoter && each !== leader
      )!;
      const older = rolledBack.copyDisk();
      network.run(1500);
      rolledBack.crash();
      rolledBack.restartFrom(older);
      network.run(500);
      expect(leader.state.progress.get(rolledBack.id)?.hasForgotten)
        .toBe(true);
      expectProgress(network);
    });
  });
});

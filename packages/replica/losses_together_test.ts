import { createRandom } from "@kingcupglade/storage/fake_losses.ts";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { FakeReplicaSet } from "./fake_replica_set.ts";

const stepMilliseconds = 5;
const maximumMilliseconds = 20_000;
/** Seeds of each case, for runs by hand. */
const seeds = Number(process.env["LOSS_SEEDS"] ?? 45);
const firstSeed = Number(process.env["LOSS_SEED"] ?? 1);

/** Runs a set until its disks and power are lost; returns what was lost. */
async function runUntilLosses(options: {
  readonly seed: number;
  readonly lostDisks: number;
  readonly replacesVoters: boolean;
}): Promise<string | null> {
  const random = createRandom(options.seed);
  const set = new FakeReplicaSet({
    random,
    voters: options.lostDisks * 2 + 1,
    standbys: options.replacesVoters ? 1 : 0,
  });
  set.remainingKills = Math.floor(random() * 20);
  const acknowledgements = 1 + Math.floor(random() * 20);
  let isOver = false;
  set.onAcknowledged = () => {
    if (isOver || set.acknowledged.size < acknowledgements) return;
    isOver = true;
    set.losePowerAndDisks(options.lostDisks);
  };
  set.start();
  const runUntil = async (condition: () => boolean, step: () => void) => {
    for (let at = 0; at < maximumMilliseconds; at += stepMilliseconds) {
      if (condition()) return true;
      step();
      await vi.advanceTimersByTimeAsync(stepMilliseconds);
    }
    return false;
  };
  try {
    const wasAcknowledged = await runUntil(() => isOver, () => {
      if (random() < 0.5) set.propose();
      if (options.replacesVoters && random() < 0.2) set.replaceVoter();
    });
    if (!wasAcknowledged) return `${set.acknowledged.size} acknowledged`;
    if (!await runUntil(() => set.leader !== undefined, () => {})) {
      return "no leader after the losses";
    }
    const kept = set.leader!.state;
    const lost = [...set.acknowledged].filter((each) => !kept.has(each));
    return lost.length > 0 ? `lost ${lost}` : null;
  } finally {
    set.stop();
  }
}

describe("a replica set", () => {
  beforeEach(() => void vi.useFakeTimers());

  afterEach(() => void vi.useRealTimers());

  const cases = [1, 2].flatMap((lostDisks) =>
    [false, true].map((replacesVoters) => ({ lostDisks, replacesVoters }))
  );

  // Guards against: an acknowledged entry that is gone after kills, a loss of
  // power of all VMs and of as many disks as tolerated just after it.
  it.each(cases)(
    "keeps what it acknowledged without $lostDisks disks and all power, replacing voters: $replacesVoters",
    async (options) => {
      const faults: Record<number, string> = {};
      for (let at = 0; at < seeds; at += 1) {
        const seed = firstSeed + at;
        const fault = await runUntilLosses({ ...options, seed });
        if (fault) faults[seed] = fault;
      }
      expect(faults).toEqual({});
    },
  );
});

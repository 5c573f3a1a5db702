import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import {
  createConsensusState,
  emptySnapshot,
  stepConsensus,
} from "@kingcupglade/consensus";
import type { ControlCommand } from "@kingcupglade/ownership";
import { encodeValue } from "@kingcupglade/protocol";
import type { Experiment, Figure } from "../experiment.ts";
import { ReplicaGroup } from "../replica_group.ts";
import { createConditionCommand } from "./commit.ts";

const idleMilliseconds = 3000;
const commitsPerCommandSize = 200;

/** Measures traffic and memory of the log, each at three sizes. */
export const logSlopesExperiment: Experiment = {
  summary: "log traffic per follower and commit, and memory per entry",
  async run({ progress }) {
    const figures: Figure[] = [];
    // First, before other allocations of this process distort the heap size.
    for (const entries of [1000, 4000, 16_000]) {
      figures.push(measureMemory(entries));
    }
    for (const voters of [3, 5, 7]) {
      progress(`${voters} voters`);
      figures.push(...await measureIdle(voters));
    }
    for (const bytes of [100, 1000, 10_000]) {
      progress(`commands of ${bytes} bytes`);
      figures.push(...await measureCommits(bytes));
    }
    return { figures };
  },
};

async function measureIdle(voters: number): Promise<readonly Figure[]> {
  const group = await ReplicaGroup.start(voters);
  try {
    await new Promise((resolve) => setTimeout(resolve, 1000));
    const before = group.traffic;
    const cpuBefore = process.cpuUsage();
    const start = performance.now();
    await new Promise((resolve) => setTimeout(resolve, idleMilliseconds));
    const seconds = (performance.now() - start) / 1000;
    const { user, system } = process.cpuUsage(cpuBefore);
    const { messages, bytes } = group.traffic;
    const followerSeconds = seconds * (voters - 1);
    return [
      {
        name: `idle messages per follower, ${voters} voters`,
        value: (messages - before.messages) / followerSeconds,
        unit: "1/s",
      },
      {
        name: `idle bytes per follower, ${voters} voters`,
        value: (bytes - before.bytes) / followerSeconds,
        unit: "bytes/s",
      },
      {
        name: `idle processor time per replica, ${voters} voters`,
        value: (user + system) / 1000 / seconds / voters,
        unit: "ms/s",
      },
    ];
  } finally {
    await group.stop();
  }
}

async function measureCommits(size: number): Promise<readonly Figure[]> {
  const group = await ReplicaGroup.start(3);
  try {
    const leader = await group.untilLeader();
    const before = group.traffic;
    for (let done = 0; done < commitsPerCommandSize; done += 1) {
      await leader.propose(createCommand(size));
    }
    const { messages, bytes } = group.traffic;
    const followerCommits = commitsPerCommandSize * 2;
    return [
      {
        name: `messages per commit and follower, ${size} bytes`,
        value: (messages - before.messages) / followerCommits,
        unit: "messages",
      },
      {
        name: `bytes per commit and follower, ${size} bytes`,
        value: (bytes - before.bytes) / followerCommits,
        unit: "bytes",
      },
    ];
  } finally {
    await group.stop();
  }
}

function createCommand(bytes: number): ControlCommand {
  return { kind: "removeVm", name: "vm-0", boot: "b".repeat(bytes) };
}

function measureMemory(count: number): Figure {
  const configuration = { voters: ["vm-1.a"], learners: [] };
  let state = createConsensusState({
    self: "vm-1.a",
    hardState: { term: 0, votedFor: null },
    snapshot: emptySnapshot(configuration),
    entries: [],
  }, { now: 0 });
  state = stepConsensus(state, { kind: "tick" }, 5000).state;
  collectGarbage();
  const before = process.memoryUsage();
  for (let proposal = 1; proposal <= count; proposal += 1) {
    const payload = encodeValue(createConditionCommand()).slice();
    const event = { kind: "propose", payload, proposal } as const;
    state = stepConsensus(state, event, 5000).state;
  }
  collectGarbage();
  const after = process.memoryUsage();
  const used = after.heapUsed + after.arrayBuffers - before.heapUsed -
    before.arrayBuffers;
  return {
    name: `memory per entry, ${state.entries.length - 1} entries`,
    value: used / count,
    unit: "bytes",
  };
}

function collectGarbage(): void {
  setFlagsFromString("--expose-gc");
  runInNewContext("gc")();
}

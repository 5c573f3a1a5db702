import { open } from "node:fs/promises";
import { join } from "node:path";
import { createOperatorKey, signBundle } from "@kingcupglade/bundle";
import type { SignedBundle } from "@kingcupglade/bundle";
import type { ControlCommand } from "@kingcupglade/ownership";
import type { ReplicaTask } from "kingcupglade";
import type { Experiment, Figure } from "../experiment.ts";
import { hsinchu } from "../hsinchu.ts";
import { ReplicaGroup } from "../replica_group.ts";

const runMilliseconds = 2000;
const concurrencies = [1, 8, 64];
const voters = 3;

interface CommitRun {
  readonly perSecond: number;
  readonly medianMilliseconds: number;
  readonly p99Milliseconds: number;
  /** Processor time of one replica per commit, in microseconds. */
  readonly processorMicroseconds: number;
}

/** Compares commits at three concurrencies with plain syncs of the disk. */
export const commitExperiment: Experiment = {
  summary:
    "commit latency and rolls per second, compared with the disk's sync rate",
  async run({ progress }) {
    const group = await ReplicaGroup.start(voters);
    try {
      const figures: Figure[] = [];
      const leader = await group.untilLeader();
      for (const concurrency of concurrencies) {
        const disk = await measureSyncs(group.folder);
        const run = await commitFor(
          leader,
          concurrency,
          createConditionCommand,
        );
        progress(
          `${concurrency} at once: ${run.perSecond.toFixed(0)} commits/s`,
        );
        figures.push(...createFigures(`${concurrency} at once`, run, disk));
      }
      const disk = await measureSyncs(group.folder);
      const rolls = await commitFor(leader, 8, createRollCommandFactory());
      figures.push(...createFigures("rolls, 8 at once", rolls, disk));
      return { figures };
    } finally {
      await group.stop();
    }
  },
};

function createFigures(
  name: string,
  run: CommitRun,
  disk: { readonly perSecond: number; readonly medianMilliseconds: number },
): readonly Figure[] {
  return [
    {
      name: `commits, ${name}`,
      value: run.perSecond,
      unit: "1/s",
      baseline: disk.perSecond,
    },
    {
      name: `median commit, ${name}`,
      value: run.medianMilliseconds,
      unit: "ms",
      baseline: disk.medianMilliseconds,
    },
    {
      name: `99th percentile, ${name}`,
      value: run.p99Milliseconds,
      unit: "ms",
    },
    {
      name: `processor time per commit and replica, ${name}`,
      value: run.processorMicroseconds,
      unit: "us",
    },
  ];
}

/** Proposes commands at a fixed concurrency for the duration of a run. */
export async function commitFor(
  leader: ReplicaTask,
  concurrency: number,
  nextCommand: () => ControlCommand,
): Promise<CommitRun> {
  const times: number[] = [];
  const cpuBefore = process.cpuUsage();
  const start = performance.now();
  const proposeRepeatedly = async () => {
    while (performance.now() - start < runMilliseconds) {
      const proposedAt = performance.now();
      await leader.propose(nextCommand());
      times.push(performance.now() - proposedAt);
    }
  };
  await Promise.all(Array.from({ length: concurrency }, proposeRepeatedly));
  const elapsed = performance.now() - start;
  const { user, system } = process.cpuUsage(cpuBefore);
  return {
    perSecond: times.length / elapsed * 1000,
    medianMilliseconds: percentile(times, 0.5),
    p99Milliseconds: percentile(times, 0.99),
    processorMicroseconds: (user + system) / times.length / voters,
  };
}

/** Measures how fast the disk appends and syncs records of 300 bytes. */
async function measureSyncs(
  folder: string,
): Promise<
  { readonly perSecond: number; readonly medianMilliseconds: number }
> {
  const file = await open(join(folder, "sync-rate"), "w");
  const record = new Uint8Array(300);
  const times: number[] = [];
  const start = performance.now();
  while (performance.now() - start < runMilliseconds / 2) {
    const appendedAt = performance.now();
    await file.appendFile(record);
    await file.datasync();
    times.push(performance.now() - appendedAt);
  }
  const elapsed = performance.now() - start;
  await file.close();
  return {
    perSecond: times.length / elapsed * 1000,
    medianMilliseconds: percentile(times, 0.5),
  };
}

function percentile(values: readonly number[], share: number): number {
  const sorted = values.toSorted((left, right) => left - right);
  return sorted[
    Math.min(sorted.length - 1, Math.floor(sorted.length * share))
  ]!;
}

let commandCount = 0;

/** Returns a command that sets the condition of the next of 930 targets. */
export function createConditionCommand(): ControlCommand {
  commandCount += 1;
  return {
    kind: "setTargetCondition",
    target: `target-${commandCount % 930}`,
    boot: "00000000-0000-0000-0000-000000000000",
    condition: "serving",
  };
}

function createRollCommandFactory(): () => ControlCommand {
  const operator = createOperatorKey();
  let version = 0;
  return () => {
    version += 1;
    const document = {
      version,
      operators: [{ name: "operator", publicKey: operator.publicKey }],
      dataCentres: hsinchu.dataCentres,
      ...hsinchu.content,
    };
    const signed: SignedBundle = signBundle({ document, signatures: [] }, {
      operator: "operator",
      privateKey: operator.privateKey,
    });
    return { kind: "rollBundle", signed };
  };
}

import { setTimeout as pause } from "node:timers/promises";
import type { ReplicaTask } from "kingcupglade";
import type { Experiment, Figure } from "../experiment.ts";
import { ReplicaGroup } from "../replica_group.ts";
import { createConditionCommand } from "./commit.ts";

const voters = 3;
const runMilliseconds = 2000;
const writerCounts = [1, 4, 16];
/** One-way delay between two data centres of a region. */
const oneWayDelayMilliseconds = 1;
const conflictBackoffMilliseconds = 1;

/** Client on another VM that changes one shared record of the log. */
abstract class Writer {
  /** Number of round trips over the link. */
  calls = 0;
  readonly milliseconds: number[] = [];
  protected readonly leader: ReplicaTask;

  constructor(leader: ReplicaTask) {
    this.leader = leader;
  }

  /** Performs one change, with as many calls as it needs. */
  abstract change(): Promise<void>;

  /** Performs changes sequentially until a monotonic time, in milliseconds. */
  async runUntil(until: number): Promise<void> {
    while (performance.now() < until) {
      const startedAt = performance.now();
      await this.change();
      this.milliseconds.push(performance.now() - startedAt);
    }
  }

  protected async call<Result>(
    operation: () => Result | Promise<Result>,
  ): Promise<Result> {
    this.calls += 1;
    await pause(oneWayDelayMilliseconds);
    const result = await operation();
    await pause(oneWayDelayMilliseconds);
    return result;
  }
}

/** Sends the change with a guard that is checked when the change is applied. */
class GuardedWriter extends Writer {
  override async change(): Promise<void> {
    await this.call(() => this.leader.propose(createConditionCommand()));
  }
}

/** The record that all optimistic writers change, as the leader holds it. */
interface SharedRecord {
  version: number;
}

/** Reads the record and writes it if unchanged meanwhile; otherwise retries. */
class OptimisticWriter extends Writer {
  readonly #record: SharedRecord;

  constructor(leader: ReplicaTask, record: SharedRecord) {
    super(leader);
    this.#record = record;
  }

  override async change(): Promise<void> {
    for (;;) {
      const version = await this.call(() => this.#record.version);
      if (await this.call(() => this.#writeIfUnchanged(version))) return;
      await pause(conflictBackoffMilliseconds);
    }
  }

  // Detects conflicts before they enter the log, which favours this method.
  async #writeIfUnchanged(expectedVersion: number): Promise<boolean> {
    if (this.#record.version !== expectedVersion) return false;
    this.#record.version += 1;
    await this.leader.propose(createConditionCommand());
    return true;
  }
}

/** Compares guarded commands with read, check and write. */
export const guardedChangesExperiment: Experiment = {
  summary: "guarded commands compared with read, check and write",
  async run({ progress }) {
    const group = await ReplicaGroup.start(voters);
    try {
      const leader = await group.untilLeader();
      const figures: Figure[] = [];
      for (const count of writerCounts) {
        const record = { version: 0 };
        const guarded = await runWriters(
          Array.from({ length: count }, () => new GuardedWriter(leader)),
        );
        const optimistic = await runWriters(
          Array.from(
            { length: count },
            () => new OptimisticWriter(leader, record),
          ),
        );
        progress(
          `${count} writers: ${guarded.perSecond.toFixed(0)} and ${
            optimistic.perSecond.toFixed(0)
          } changes/s`,
        );
        figures.push(...createFigures(count, { guarded, optimistic }));
      }
      return { figures };
    } finally {
      await group.stop();
    }
  },
};

interface WritersRun {
  readonly perSecond: number;
  readonly callsPerChange: number;
  readonly medianMilliseconds: number;
}

async function runWriters(writers: readonly Writer[]): Promise<WritersRun> {
  const startedAt = performance.now();
  const until = startedAt + runMilliseconds;
  await Promise.all(writers.map((each) => each.runUntil(until)));
  const seconds = (performance.now() - startedAt) / 1000;
  const times = writers.flatMap((each) => each.milliseconds)
    .sort((left, right) => left - right);
  const changes = times.length;
  const calls = writers.reduce((sum, each) => sum + each.calls, 0);
  return {
    perSecond: changes / seconds,
    callsPerChange: calls / changes,
    medianMilliseconds: times[Math.floor(changes / 2)]!,
  };
}

function createFigures(
  count: number,
  runs: { readonly guarded: WritersRun; readonly optimistic: WritersRun },
): readonly Figure[] {
  const { guarded, optimistic } = runs;
  return [
    {
      name: `changes, ${count} writers`,
      value: guarded.perSecond,
      unit: "1/s",
      baseline: optimistic.perSecond,
    },
    {
      name: `calls for each change, ${count} writers`,
      value: guarded.callsPerChange,
      unit: "",
      baseline: optimistic.callsPerChange,
    },
    {
      name: `median, ${count} writers`,
      value: guarded.medianMilliseconds,
      unit: "ms",
      baseline: optimistic.medianMilliseconds,
    },
  ];
}

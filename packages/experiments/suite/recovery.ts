import { mkdtemp, readdir, rm, stat } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { EntryKind } from "@kingcupglade/consensus";
import type { LogEntry } from "@kingcupglade/consensus";
import { encodeValue } from "@kingcupglade/protocol";
import { ReplicaStorage } from "@kingcupglade/storage";
import type { Experiment, Figure } from "../experiment.ts";
import { ReplicaGroup } from "../replica_group.ts";
import { createConditionCommand } from "./commit.ts";

const logSizes = [100, 1000, 10_000];
const entriesPerWrite = 50;

/** Measures the restart of a replica with logs of three sizes. */
export const recoveryExperiment: Experiment = {
  summary: "time to recover from logs of 100, 1,000 and 10,000 changes",
  async run({ progress }) {
    const figures: Figure[] = [];
    for (const changes of logSizes) {
      progress(`${changes} changes`);
      const uncompacted = await measureUncompactedLog(changes);
      figures.push(
        ...await measureRestart(changes, uncompacted.openMilliseconds),
      );
      figures.push({
        name: `uncut log, ${changes} changes`,
        value: uncompacted.bytes / changes,
        unit: "bytes per change",
      });
    }
    return { figures };
  },
};

/** Measures the baseline: opening a log that was never compacted. */
async function measureUncompactedLog(
  changes: number,
): Promise<{ readonly openMilliseconds: number; readonly bytes: number }> {
  const folder = await mkdtemp(join(tmpdir(), "kingcupglade-recovery-"));
  try {
    const storage = await ReplicaStorage.open(folder, { vm: "vm-1" });
    for (let first = 1; first <= changes; first += entriesPerWrite) {
      const entries = Array.from(
        { length: entriesPerWrite },
        (_, at): LogEntry => ({
          index: first + at,
          term: 1,
          kind: EntryKind.command,
          payload: encodeValue(createConditionCommand()),
        }),
      );
      const hardState = { term: 1, votedFor: "vm-1.incarnation" };
      await storage.append([{ hardState, entries }]);
    }
    const bytes = storage.logBytes;
    await storage.close();
    const openMilliseconds = await measureOpen(folder, "vm-1");
    return { openMilliseconds, bytes };
  } finally {
    await rm(folder, { recursive: true, force: true });
  }
}

async function measureRestart(
  changes: number,
  uncompactedMilliseconds: number,
): Promise<readonly Figure[]> {
  const group = await ReplicaGroup.start(1);
  try {
    const leader = await group.untilLeader();
    for (let done = 0; done < changes; done += entriesPerWrite) {
      await Promise.all(
        Array.from(
          { length: entriesPerWrite },
          () => leader.propose(createConditionCommand()),
        ),
      );
    }
    await group.crash(0);
    const folder = join(group.folder, "vm-1");
    const bytes = await folderBytes(folder);
    const openMilliseconds = await measureOpen(folder, "vm-1");
    const start = performance.now();
    await group.restart(0);
    await group.untilLeader();
    return [
      {
        name: `folder opened, ${changes} changes`,
        value: openMilliseconds,
        unit: "ms",
        baseline: uncompactedMilliseconds,
      },
      {
        name: `takes commands, ${changes} changes`,
        value: performance.now() - start,
        unit: "ms",
        target: { atMost: 4000 },
      },
      { name: `folder, ${changes} changes`, value: bytes, unit: "bytes" },
    ];
  } finally {
    await group.stop();
  }
}

async function measureOpen(folder: string, vm: string): Promise<number> {
  const start = performance.now();
  const storage = await ReplicaStorage.open(folder, { vm });
  const elapsed = performance.now() - start;
  await storage.close();
  return elapsed;
}

async function folderBytes(folder: string): Promise<number> {
  const files = await readdir(folder);
  const sizes = await Promise.all(
    files.map(async (file) => (await stat(join(folder, file))).size),
  );
  return sizes.reduce((sum, each) => sum + each, 0);
}

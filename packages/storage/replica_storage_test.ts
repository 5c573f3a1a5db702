import { describe, expect, it } from "vitest";
import type { LogEntry, Snapshot } from "@kingcupglade/consensus";
import {
  CorruptLogError,
  IdentityError,
  MissingLogError,
  StorageError,
} from "./errors.ts";
import { FakeFiles, NewFileDurability } from "./fake_files.ts";
import { lossesOf } from "./fake_losses.ts";
import { ReplicaStorage } from "./replica_storage.ts";

const folder = "/data";
const vm = "vm-1";
const configuration = { voters: ["vm-1.a"], learners: [] };

function entry(index: number, term = 1): LogEntry {
  return { index, term, kind: "command", payload: new Uint8Array(40) };
}

function snapshotAt(index: number): Snapshot {
  return { index, term: 1, configuration, data: new Uint8Array(8) };
}

function openStorage(files: FakeFiles): Promise<ReplicaStorage> {
  return ReplicaStorage.open(folder, { vm, files });
}

async function append(storage: ReplicaStorage, ...entries: LogEntry[]) {
  const hardState = { term: entries[0]!.term, votedFor: "vm-1.a" };
  await storage.append([{ hardState, entries }]);
}

async function createFilledStorage(): Promise<
  { readonly files: FakeFiles; readonly storage: ReplicaStorage }
> {
  const files = new FakeFiles();
  const storage = await openStorage(files);
  await append(storage, entry(1), entry(2));
  await append(storage, entry(3));
  return { files, storage };
}

function describeStored({ stored }: ReplicaStorage) {
  const { snapshot, entries, hardState } = stored;
  const indexes = entries.map((each) => `${each.index}@${each.term}`);
  return `${snapshot?.index ?? "none"} ${indexes} ${hardState.term}`;
}

const crashModes = [
  { keepsUnsynced: true },
  { keepsUnsynced: false },
  { keepsUnsynced: false, tornBytes: 7 },
];

/**
 * Simulates a power failure after every operation of an action, and describes
 * the state that is recovered each time.
 */
async function crashAfterEveryOperation(
  prepare: () => Promise<
    { readonly files: FakeFiles; readonly storage: ReplicaStorage }
  >,
  action: (storage: ReplicaStorage) => Promise<void>,
): Promise<readonly string[]> {
  const outcomes: string[] = [];
  for (let operations = 0;; operations += 1) {
    const { files, storage } = await prepare();
    files.failAfter(operations);
    const done = await action(storage).then(() => true, (failure) => {
      expect(failure).toBeInstanceOf(StorageError);
      return false;
    });
    for (const crashMode of crashModes) {
      const survivor = files.crash(crashMode);
      outcomes.push(describeStored(await openStorage(survivor)));
      expect(survivor.names.filter((each) => each.endsWith(".log")))
        .toHaveLength(
          1,
        );
      expect(survivor.names.some((each) => each.endsWith(".new"))).toBe(false);
    }
    if (done) return outcomes;
  }
}

describe("ReplicaStorage", () => {
  describe("after a power failure", () => {
    it("opens a folder whose creation was interrupted anywhere", async () => {
      for (let operations = 0; operations < 12; operations += 1) {
        const files = new FakeFiles();
        files.failAfter(operations);
        await openStorage(files).catch(() => {});
        for (const crashMode of crashModes) {
          const storage = await openStorage(files.crash(crashMode));
          expect(describeStored(storage)).toBe("none  0");
        }
      }
    });

    // Guards against: a folder that did not open any more, because its first
    // start kept the name of its identity and lost that of its log.
    it.each(Object.values(NewFileDurability))(
      "opens a folder whose creation kept any of its names, with %s",
      async (newFiles) => {
        const failures: string[] = [];
        for (let operations = 0; operations < 12; operations += 1) {
          const files = new FakeFiles({ newFiles });
          files.failAfter(operations);
          await openStorage(files).catch(() => {});
          for (const survivor of lossesOf(files)) {
            await openStorage(survivor).catch((failure: Error) =>
              failures.push(`${operations}: ${failure.message}`)
            );
          }
        }
        expect(failures).toEqual([]);
      },
    );

    it("keeps either all entries of a batch or none", async () => {
      const outcomes = await crashAfterEveryOperation(
        createFilledStorage,
        (storage) => append(storage, entry(3, 2), entry(4, 2)),
      );
      expect(new Set(outcomes)).toEqual(
        new Set(["none 1@1,2@1,3@1 1", "none 1@1,2@1,3@2,4@2 2"]),
      );
      expect(outcomes.slice(-3).every((each) => each.endsWith("4@2 2")))
        .toBe(true);
    });

    it("keeps either the old or the new snapshot, with its own log", async () => {
      const logTail = {
        hardState: { term: 2, votedFor: null },
        entries: [entry(3, 2)],
      };
      const outcomes = await crashAfterEveryOperation(
        createFilledStorage,
        (storage) => storage.saveSnapshot(snapshotAt(2), logTail),
      );
      expect(new Set(outcomes)).toEqual(
        new Set(["none 1@1,2@1,3@1 1", "2 3@2 2"]),
      );
      expect(outcomes.slice(-3)).toEqual(["2 3@2 2", "2 3@2 2", "2 3@2 2"]);
    });

    it("ignores the log of a snapshot that was interrupted", async () => {
      const { files, storage } = await createFilledStorage();
      const empty = { hardState: { term: 3, votedFor: null }, entries: [] };
      files.failAfter(4);
      await expect(storage.saveSnapshot(snapshotAt(2), {
        ...empty,
        entries: [entry(3)],
      })).rejects.toThrow(StorageError);
      const survivor = files.crash({ keepsUnsynced: true });
      expect(survivor.names).toContain("1.log");
      await (await openStorage(survivor)).saveSnapshot(snapshotAt(2), empty);
      expect(describeStored(await openStorage(survivor))).toBe("2  3");
    });
  });

  // Guards against: a start that syncs once for each record that it reads.
  it("opens with as many operations for a long log as for a short one", async () => {
    const operations: number[] = [];
    for (const entries of [1, 50]) {
      const { files, storage } = await createFilledStorage();
      for (let at = 0; at < entries; at += 1) {
        await append(storage, entry(4 + at));
      }
      const next = files.kill();
      await openStorage(next);
      operations.push(next.operations);
    }
    // The log is opened and synced, and then the folder is.
    expect(operations).toEqual([3, 3]);
  });

  describe("after a failed write", () => {
    const writes = {
      append: (storage: ReplicaStorage) => append(storage, entry(4)),
      saveSnapshot: (storage: ReplicaStorage) =>
        storage.saveSnapshot(snapshotAt(2), {
          hardState: { term: 1, votedFor: "vm-1.a" },
          entries: [entry(3)],
        }),
    };

    // Guards against: an append that was acknowledged after a failed write, and
    // was missing or made the log unreadable at the next start.
    it.each(Object.keys(writes) as (keyof typeof writes)[])(
      "refuses an append, or keeps it, after %s failed anywhere",
      async (first) => {
        for (let operations = 0;; operations += 1) {
          const { files, storage } = await createFilledStorage();
          files.failAfter(operations, 0.5);
          const done = await writes[first](storage).then(
            () => true,
            () => false,
          );
          if (done) return;
          files.repair();
          const isAcknowledged = await append(storage, entry(4, 2)).then(
            () => true,
            () => false,
          );
          const { stored } = await openStorage(files.kill());
          const isFound = stored.entries.at(-1)?.term === 2;
          expect({ operations, isLost: isAcknowledged && !isFound })
            .toEqual({ operations, isLost: false });
        }
      },
    );
  });

  describe("with a disk that refuses writes", () => {
    // Guards against: a descriptor that stays open after a failure, until the
    // runtime finds it and warns.
    it("closes its files after a failure anywhere", async () => {
      const left: string[] = [];
      for (let operations = 0; operations < 40; operations += 1) {
        const files = new FakeFiles();
        files.failAfter(operations);
        const opened = await openStorage(files).catch(() => null);
        await opened?.saveSnapshot(snapshotAt(0), {
          hardState: { term: 1, votedFor: null },
          entries: [],
        }).catch(() => {});
        await opened?.close();
        if (files.openFiles > 0) left.push(`${operations}: ${files.openFiles}`);
      }
      expect(left).toEqual([]);
    });
  });

  describe("with damaged files", () => {
    const damageCases = [
      {
        file: "0.log",
        offset: 20,
        failure: CorruptLogError,
        expectedText: "0.log",
      },
      {
        file: "1.log",
        offset: 20,
        failure: CorruptLogError,
        expectedText: "1.log",
      },
      {
        file: "snapshot",
        offset: 20,
        failure: StorageError,
        expectedText: "snapshot",
      },
      {
        file: "identity.json",
        offset: 0,
        failure: IdentityError,
        expectedText: "identity.json",
      },
    ];

    it.each(damageCases)("rejects damaged $file, naming it", async (damage) => {
      const { files, storage } = await createFilledStorage();
      if (damage.file !== "0.log") {
        const rest = { hardState: null, entries: [entry(3)] };
        await storage.saveSnapshot(snapshotAt(2), rest);
        await append(storage, entry(4));
      }
      const bytes = (await files.read(damage.file))!;
      bytes[damage.offset]! ^= 0xff;
      files.overwrite(damage.file, bytes);
      const opened = openStorage(files);
      await expect(opened).rejects.toThrow(damage.failure);
      await expect(opened).rejects.toThrow(damage.expectedText);
    });

    it("rejects a folder without the log that its snapshot names", async () => {
      const { files, storage } = await createFilledStorage();
      await storage.saveSnapshot(snapshotAt(2), {
        hardState: { term: 1, votedFor: "vm-1.a" },
        entries: [],
      });
      await files.remove("1.log");
      await expect(openStorage(files)).rejects.toThrow(MissingLogError);
    });
  });

  describe("with the wrong folder", () => {
    it("gives a wiped folder a new incarnation", async () => {
      const first = await openStorage(new FakeFiles());
      const second = await openStorage(new FakeFiles());
      expect(second.identity.incarnation).not.toBe(first.identity.incarnation);
    });

    it("rejects the folder of another VM", async () => {
      const { files } = await createFilledStorage();
      await expect(ReplicaStorage.open(folder, { vm: "vm-2", files }))
        .rejects.toThrow('belongs to VM "vm-1"');
    });
  });
});

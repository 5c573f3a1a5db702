import { basename, join } from "node:path";
import { decode, encode } from "@msgpack/msgpack";
import type { HardState, LogEntry, Snapshot } from "@kingcupglade/consensus";
import { CorruptLogError, StorageError } from "./errors.ts";
import { SystemFiles, temporarySuffix } from "./files.ts";
import type { Files } from "./files.ts";
import { createIdentity, readIdentity } from "./identity.ts";
import type { FolderIdentity, IdentityOptions } from "./identity.ts";
import { closeOnFailure, LogFile } from "./log_file.ts";
import { encodeRecord, readRecord } from "./record.ts";

/** The state that a data folder contained when it was opened. */
export interface StoredState {
  readonly hardState: HardState;
  /** Null if the folder does not belong to a replica set yet. */
  readonly snapshot: Snapshot | null;
  readonly entries: readonly LogEntry[];
}

/** Figures of what a data folder contained when it was opened. */
export interface FolderSummary {
  /** Null if there is no snapshot. */
  readonly snapshotIndex: number | null;
  /** Number of log entries after the snapshot. */
  readonly entries: number;
  readonly term: number;
  /** Bytes of an incomplete last record, which were removed from the log. */
  readonly cutBytes: number;
}

interface LogUpdate {
  readonly hardState: HardState | null;
  readonly entries: readonly LogEntry[];
}

/** The data folder of one control replica: synced log, snapshot and identity. */
export class ReplicaStorage {
  readonly identity: FolderIdentity;
  readonly stored: StoredState;
  /** What the folder contained when it was opened, in figures. */
  readonly summary: FolderSummary;
  readonly #folder: string;
  readonly #files: Files;
  #log: LogFile;
  /** Number in the log file's name; each snapshot starts the next generation. */
  #generation: number;
  #hasFailed = false;

  protected constructor(options: {
    readonly folder: string;
    readonly files: Files;
    readonly identity: FolderIdentity;
    readonly stored: StoredState;
    readonly cutBytes: number;
    readonly log: LogFile;
    readonly generation: number;
  }) {
    this.#folder = options.folder;
    this.#files = options.files;
    this.identity = options.identity;
    this.stored = options.stored;
    const { snapshot, entries, hardState } = options.stored;
    this.summary = {
      snapshotIndex: snapshot?.index ?? null,
      entries: entries.length,
      term: hardState.term,
      cutBytes: options.cutBytes,
    };
    this.#log = options.log;
    this.#generation = options.generation;
  }

  /**
   * Opens the data folder of a VM, creating it if it is missing, and makes
   * durable what it contains.
   *
   * @throws {StorageError} when the folder cannot be used. Where possible, the
   * message says how to recover.
   */
  static async open(
    folder: string,
    options: { readonly vm: string; readonly files?: Files },
  ): Promise<ReplicaStorage> {
    const { vm, files = new SystemFiles() } = options;
    try {
      await files.createFolder(folder);
      const identity = await readIdentity({ folder, vm, files }) ??
        await createDataFolder({ folder, vm, files });
      const snapshotBytes = await files.read(snapshotPath(folder));
      const { snapshot, generation } = snapshotBytes
        ? decodeSnapshotFile(snapshotBytes, folder)
        : { snapshot: null, generation: 0 };
      const path = logPath(folder, generation);
      const { log, records, cutBytes } = await LogFile.open(path, files);
      return await closeOnFailure(log, async () => {
        // The first record of a log is synced before the snapshot that refers
        // to the log.
        if (snapshot && records.length === 0) {
          throw new CorruptLogError(basename(path), 0);
        }
        // An earlier process may have been killed between a rename and the sync
        // of the folder, so the names that were read may not be durable. The
        // removals must not outlast them.
        await files.syncFolder(folder);
        await removeStaleFiles(folder, { log: path, files });
        const updates = records.flatMap(decodeUpdates);
        const stored = replayLog(snapshot, updates, path);
        return new ReplicaStorage({
          folder,
          files,
          identity,
          stored,
          cutBytes,
          log,
          generation,
        });
      });
    } catch (cause) {
      if (cause instanceof StorageError) throw cause;
      throw new StorageError(
        `data folder ${folder} cannot be opened: ${errorMessage(cause)}`,
        { cause },
      );
    }
  }

  /** Size of the current log file in bytes. */
  get logBytes(): number {
    return this.#log.size;
  }

  /** Appends hard states and entries with a single sync. */
  async append(updates: readonly LogUpdate[]): Promise<void> {
    await this.#write("log", () => this.#log.append(encode(updates)));
  }

  /** Stores a snapshot and starts a log with the hard state and later entries. */
  async saveSnapshot(
    snapshot: Snapshot,
    logTail: LogUpdate,
  ): Promise<void> {
    await this.#write("snapshot", async () => {
      const generation = this.#generation + 1;
      const path = logPath(this.#folder, generation);
      const log = await LogFile.create(path, this.#files);
      await closeOnFailure(log, async () => {
        await log.append(encode([logTail]));
        await this.#replaceSnapshot(snapshot, generation);
      });
      this.#log = log;
      this.#generation = generation;
    });
  }

  // The new log is durable, and then the snapshot that names it, before the old
  // log is removed.
  async #replaceSnapshot(
    snapshot: Snapshot,
    generation: number,
  ): Promise<void> {
    await this.#files.syncFolder(this.#folder);
    await this.#files.replace(
      snapshotPath(this.#folder),
      encodeRecord(encode({ snapshot, generation })),
    );
    await this.#log.close();
    await this.#files.remove(logPath(this.#folder, this.#generation));
  }

  // What a failed write left is known only once the folder is opened again, so
  // nothing is written after it.
  async #write(subject: string, action: () => Promise<void>): Promise<void> {
    try {
      if (this.#hasFailed) throw new Error("an earlier write failed");
      await action();
    } catch (cause) {
      this.#hasFailed = true;
      throw new StorageError(
        `the ${subject} cannot be written: ${
          errorMessage(cause)
        }; free the disk and restart the VM`,
        { cause },
      );
    }
  }

  async close(): Promise<void> {
    await this.#log.close();
  }
}

// A folder with an identity must have a log, so the log is created first and its
// name is durable before that of the identity.
async function createDataFolder(
  options: IdentityOptions,
): Promise<FolderIdentity> {
  const { folder, files } = options;
  const log = await LogFile.create(logPath(folder, 0), files);
  await log.close();
  await files.syncFolder(folder);
  return await createIdentity(options);
}

function decodeSnapshotFile(
  bytes: Buffer,
  folder: string,
): { readonly snapshot: Snapshot; readonly generation: number } {
  const payload = readRecord(bytes, 0);
  if (!payload) {
    throw new StorageError(
      `${folder}/snapshot fails its checksum; move the data folder away and start the VM as a standby`,
    );
  }
  return decode(payload) as { snapshot: Snapshot; generation: number };
}

// Removes logs of other generations and incomplete files, which a crash can
// leave behind.
async function removeStaleFiles(
  folder: string,
  options: { readonly log: string; readonly files: Files },
): Promise<void> {
  for (const file of await options.files.list(folder)) {
    const isStale = file.endsWith(temporarySuffix) ||
      (file.endsWith(".log") && join(folder, file) !== options.log);
    if (isStale) await options.files.remove(join(folder, file));
  }
}

function decodeUpdates(payload: Buffer): readonly LogUpdate[] {
  return decode(payload) as readonly LogUpdate[];
}

function replayLog(
  snapshot: Snapshot | null,
  updates: readonly LogUpdate[],
  file: string,
): StoredState {
  let hardState: HardState = { term: 0, votedFor: null };
  const entries: LogEntry[] = [];
  const firstIndex = (snapshot?.index ?? 0) + 1;
  for (const update of updates) {
    hardState = update.hardState ?? hardState;
    for (const entry of update.entries) {
      if (entry.index < firstIndex) continue;
      if (entry.index > firstIndex + entries.length) {
        throw new StorageError(
          `${file} lacks entry ${
            firstIndex + entries.length
          }; move the data folder away and start the VM as a standby`,
        );
      }
      entries.length = entry.index - firstIndex;
      entries.push(entry);
    }
  }
  return { hardState, snapshot, entries };
}

function logPath(folder: string, generation: number): string {
  return join(folder, `${generation}.log`);
}

function snapshotPath(folder: string): string {
  return join(folder, "snapshot");
}

function errorMessage(cause: unknown): string {
  return cause instanceof Error ? cause.message : String(cause);
}

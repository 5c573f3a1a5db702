import { randomBytes } from "node:crypto";
import { mkdir, readdir, rm } from "node:fs/promises";
import { join } from "node:path";
import { decode, encode } from "@msgpack/msgpack";
import type { HardState, LogEntry, Snapshot } from "@kingcupglade/consensus";
import { IdentityError, StorageError } from "./errors.ts";
import { readIfPresent, replaceFile, syncFolder } from "./files.ts";
import { LogFile } from "./log_file.ts";
import { frameRecord, readRecord } from "./record.ts";

const formatVersion = 1;

/** Who a data folder belongs to. */
export interface FolderIdentity {
  readonly format: number;
  readonly vm: string;
  /** Drawn when the folder was created; a wiped folder gets another one. */
  readonly incarnation: string;
}

/** What a data folder held when it was opened. */
export interface StoredState {
  readonly hardState: HardState;
  /** Null in a folder that belongs to no replica set yet. */
  readonly snapshot: Snapshot | null;
  readonly entries: readonly LogEntry[];
}

interface LogRecord {
  readonly hardState: HardState | null;
  readonly entries: readonly LogEntry[];
}

/** The synced log, snapshot and identity of one control replica. */
export class ReplicaStorage {
  readonly identity: FolderIdentity;
  readonly stored: StoredState;
  readonly #folder: string;
  #log: LogFile;
  #generation: number;

  protected constructor(options: {
    readonly folder: string;
    readonly identity: FolderIdentity;
    readonly stored: StoredState;
    readonly log: LogFile;
    readonly generation: number;
  }) {
    this.#folder = options.folder;
    this.identity = options.identity;
    this.stored = options.stored;
    this.#log = options.log;
    this.#generation = options.generation;
  }

  /**
   * Opens the data folder of a VM, creating it when it is missing.
   *
   * @throws {StorageError} when it cannot be used; the message names the cure.
   */
  static async open(
    folder: string,
    options: { readonly vm: string },
  ): Promise<ReplicaStorage> {
    try {
      await mkdir(folder, { recursive: true });
      const identity = await openIdentity(folder, options.vm);
      const generation = await latestGeneration(folder);
      const snapshot = await readSnapshot(folder);
      const { log, records } = await LogFile.open(logPath(folder, generation));
      const stored = replay(snapshot, records.map(decodeRecord));
      return new ReplicaStorage({ folder, identity, stored, log, generation });
    } catch (cause) {
      if (cause instanceof StorageError) throw cause;
      throw new StorageError(
        `data folder ${folder} cannot be opened: ${messageOf(cause)}`,
        { cause },
      );
    }
  }

  /** Bytes in the current log file. */
  get logBytes(): number {
    return this.#log.size;
  }

  /** Stores hard states and entries with a single sync. */
  async append(records: readonly LogRecord[]): Promise<void> {
    try {
      await this.#log.append(records.map((record) => encode(record)));
    } catch (cause) {
      throw new StorageError(
        `the log cannot be written: ${
          messageOf(cause)
        }; free the disk and restart the VM`,
        { cause },
      );
    }
  }

  /** Stores a snapshot and starts a new log with what comes after it. */
  async saveSnapshot(
    snapshot: Snapshot,
    rest: LogRecord,
  ): Promise<void> {
    try {
      const next = this.#generation + 1;
      const { log } = await LogFile.open(logPath(this.#folder, next));
      await log.append([encode(rest)]);
      await syncFolder(this.#folder);
      await replaceFile(
        snapshotPath(this.#folder),
        frameRecord(encode({ snapshot, generation: next })),
      );
      await this.#log.close();
      await rm(logPath(this.#folder, this.#generation), { force: true });
      this.#log = log;
      this.#generation = next;
    } catch (cause) {
      throw new StorageError(
        `the snapshot cannot be written: ${
          messageOf(cause)
        }; free the disk and restart the VM`,
        { cause },
      );
    }
  }

  /** Closes the files. */
  async close(): Promise<void> {
    await this.#log.close();
  }
}

async function openIdentity(
  folder: string,
  vm: string,
): Promise<FolderIdentity> {
  const path = join(folder, "identity.json");
  const bytes = await readIfPresent(path);
  if (bytes) return checkIdentity(bytes, { folder, vm });
  const files = await readdir(folder);
  if (files.some((file) => file.endsWith(".log") || file === "snapshot")) {
    throw new IdentityError(
      `data folder ${folder} holds a log but no identity.json; restore the file or move the folder away`,
    );
  }
  const identity: FolderIdentity = {
    format: formatVersion,
    vm,
    incarnation: randomBytes(6).toString("hex"),
  };
  await replaceFile(path, Buffer.from(JSON.stringify(identity)));
  return identity;
}

function checkIdentity(
  bytes: Buffer,
  expected: { readonly folder: string; readonly vm: string },
): FolderIdentity {
  const { folder, vm } = expected;
  const identity = parseIdentity(bytes, folder);
  if (identity.format !== formatVersion) {
    throw new IdentityError(
      `data folder ${folder} has format ${identity.format}; this program reads format ${formatVersion}`,
    );
  }
  if (identity.vm !== vm) {
    throw new IdentityError(
      `data folder ${folder} belongs to VM "${identity.vm}", not "${vm}"; give each VM its own folder`,
    );
  }
  return identity;
}

function parseIdentity(bytes: Buffer, folder: string): FolderIdentity {
  try {
    return JSON.parse(bytes.toString()) as FolderIdentity;
  } catch (cause) {
    throw new IdentityError(
      `${folder}/identity.json cannot be read; move the data folder away and start the VM as a spare`,
      { cause },
    );
  }
}

async function latestGeneration(folder: string): Promise<number> {
  const frame = await readIfPresent(snapshotPath(folder));
  if (!frame) return 0;
  return decodeSnapshotFile(frame, folder).generation;
}

async function readSnapshot(folder: string): Promise<Snapshot | null> {
  const frame = await readIfPresent(snapshotPath(folder));
  return frame ? decodeSnapshotFile(frame, folder).snapshot : null;
}

function decodeSnapshotFile(
  frame: Buffer,
  folder: string,
): { readonly snapshot: Snapshot; readonly generation: number } {
  const payload = readRecord(frame, 0);
  if (!payload) {
    throw new StorageError(
      `${folder}/snapshot fails its checksum; move the data folder away and start the VM as a spare`,
    );
  }
  return decode(payload) as { snapshot: Snapshot; generation: number };
}

function decodeRecord(payload: Buffer): LogRecord {
  return decode(payload) as LogRecord;
}

function replay(
  snapshot: Snapshot | null,
  records: readonly LogRecord[],
): StoredState {
  let hardState: HardState = { term: 0, votedFor: null };
  const entries: LogEntry[] = [];
  const offset = (snapshot?.index ?? 0) + 1;
  for (const record of records) {
    hardState = record.hardState ?? hardState;
    for (const entry of record.entries) {
      if (entry.index < offset) continue;
      entries.length = entry.index - offset;
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

function messageOf(cause: unknown): string {
  return cause instanceof Error ? cause.message : String(cause);
}

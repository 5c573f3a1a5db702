import { basename } from "node:path";
import { CorruptLogError, MissingLogError } from "./errors.ts";
import type { AppendOnlyFile, Files } from "./files.ts";
import {
  encodeRecord,
  hasRecordAfter,
  readRecord,
  recordHeaderBytes,
} from "./record.ts";

/** A log that was opened, with the records that it contained. */
export interface OpenedLog {
  readonly log: LogFile;
  readonly records: readonly Buffer[];
  /** Bytes of an incomplete last record, which were removed. */
  readonly cutBytes: number;
}

/** An append-only file of checksummed records, each synced before the next one. */
export class LogFile {
  readonly #file: AppendOnlyFile;
  #size: number;

  protected constructor(file: AppendOnlyFile, size: number) {
    this.#file = file;
    this.#size = size;
  }

  /** Creates an empty log, replacing any existing file. */
  static async create(path: string, files: Files): Promise<LogFile> {
    const file = await files.openTruncated(path, 0);
    const log = new LogFile(file, 0);
    await closeOnFailure(log, () => file.sync());
    return log;
  }

  /**
   * Opens a log and makes what it contains durable: the process that wrote it
   * may have been killed before its sync. An incomplete last record is
   * truncated, as it was never acknowledged.
   *
   * @throws {MissingLogError} when the file does not exist.
   * @throws {CorruptLogError} when a record before the last one is damaged.
   */
  static async open(path: string, files: Files): Promise<OpenedLog> {
    const bytes = await files.read(path);
    if (!bytes) throw new MissingLogError(basename(path));
    const { records, end } = readRecords(bytes, basename(path));
    const file = await files.openTruncated(path, end);
    const log = new LogFile(file, end);
    await closeOnFailure(log, () => file.sync());
    return { log, records, cutBytes: bytes.length - end };
  }

  /** Size of the log in bytes. */
  get size(): number {
    return this.#size;
  }

  /** Appends one record and resolves once it is synced. */
  async append(payload: Uint8Array): Promise<void> {
    const bytes = encodeRecord(payload);
    await this.#file.append(bytes);
    await this.#file.sync();
    this.#size += bytes.length;
  }

  async close(): Promise<void> {
    await this.#file.close();
  }
}

/** Runs an action, and closes the log if the action fails. */
export async function closeOnFailure<Result>(
  log: LogFile,
  action: () => Promise<Result>,
): Promise<Result> {
  try {
    return await action();
  } catch (failure) {
    // The first failure tells more than one of closing the file.
    await log.close().catch(() => {});
    throw failure;
  }
}

function readRecords(
  bytes: Buffer,
  file: string,
): { readonly records: readonly Buffer[]; readonly end: number } {
  const records: Buffer[] = [];
  let offset = 0;
  while (offset < bytes.length) {
    const payload = readRecord(bytes, offset);
    if (!payload) {
      if (hasRecordAfter(bytes, offset)) {
        throw new CorruptLogError(file, offset);
      }
      break;
    }
    records.push(payload);
    offset += recordHeaderBytes + payload.length;
  }
  return { records, end: offset };
}

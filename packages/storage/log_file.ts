import { open } from "node:fs/promises";
import type { FileHandle } from "node:fs/promises";
import { basename } from "node:path";
import { CorruptLogError } from "./errors.ts";
import { readIfPresent } from "./files.ts";
import {
  frameRecord,
  hasRecordAfter,
  readRecord,
  recordHeaderBytes,
} from "./record.ts";

/** An append-only file of checksummed records. */
export class LogFile {
  readonly #file: FileHandle;
  #size: number;

  protected constructor(file: FileHandle, size: number) {
    this.#file = file;
    this.#size = size;
  }

  /**
   * Opens a log, creating it when it is missing. An incomplete last record,
   * which was never acknowledged, is cut off.
   *
   * @throws {CorruptLogError} when a record before the last one is damaged.
   */
  static async open(
    path: string,
  ): Promise<{ readonly log: LogFile; readonly records: readonly Buffer[] }> {
    const bytes = (await readIfPresent(path)) ?? Buffer.alloc(0);
    const { records, end } = readRecords(bytes, basename(path));
    const file = await open(path, "a");
    if (end < bytes.length) {
      await file.truncate(end);
      await file.sync();
    }
    return { log: new LogFile(file, end), records };
  }

  /** Bytes written so far. */
  get size(): number {
    return this.#size;
  }

  /** Writes records and returns when they are synced. */
  async append(payloads: readonly Uint8Array[]): Promise<void> {
    const bytes = Buffer.concat(payloads.map(frameRecord));
    await this.#file.appendFile(bytes);
    await this.#file.datasync();
    this.#size += bytes.length;
  }

  /** Closes the file. */
  async close(): Promise<void> {
    await this.#file.close();
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

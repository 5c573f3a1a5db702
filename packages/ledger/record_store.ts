import { recordBytes } from "./record.ts";
import type { ClaimRecord } from "./record.ts";

interface StoredRecord {
  readonly record: ClaimRecord;
  /** Monotonic time at which the record expires, unless its claim is open. */
  readonly expiresAt: number;
}

/** Limits of a {@link RecordStore}. */
export interface RecordStoreOptions {
  /** @default 50000 */
  readonly maximumRecords?: number;
  /** @default 16777216 */
  readonly maximumBytes?: number;
}

/** Stores records by claim ID, in order of expiry. */
export class RecordStore {
  readonly #maximumRecords: number;
  readonly #maximumBytes: number;
  readonly #records = new Map<string, StoredRecord>();
  #bytes = 0;

  constructor(options: RecordStoreOptions) {
    this.#maximumRecords = options.maximumRecords ?? 50_000;
    this.#maximumBytes = options.maximumBytes ?? 1 << 24;
  }

  get size(): number {
    return this.#records.size;
  }

  get bytes(): number {
    return this.#bytes;
  }

  /** Whether a new claim must be refused. */
  get isFull(): boolean {
    return this.size >= this.#maximumRecords ||
      this.#bytes >= this.#maximumBytes;
  }

  get(id: string): ClaimRecord | undefined {
    return this.#records.get(id)?.record;
  }

  /** Returns every record in order of expiry. */
  entries(): readonly (StoredRecord & { readonly id: string })[] {
    return [...this.#records].map(([id, stored]) => ({ id, ...stored }));
  }

  put(id: string, stored: StoredRecord): void {
    this.delete(id);
    this.#records.set(id, stored);
    this.#bytes += recordBytes(stored.record);
  }

  delete(id: string): void {
    const known = this.#records.get(id);
    if (!known) return;
    this.#records.delete(id);
    this.#bytes -= recordBytes(known.record);
  }

  clear(): void {
    this.#records.clear();
    this.#bytes = 0;
  }

  /** Removes expired records, except those of open claims. */
  expire(now: number): void {
    for (const [id, { record, expiresAt }] of this.#records) {
      if (record.state === "open") continue;
      if (expiresAt > now) return;
      this.delete(id);
    }
  }
}

/**
 * Returns the share of an unsynced operation that a loss of power keeps, from 0
 * to 1, or to -1 to keep the end of a write and not its beginning. `bytes` is
 * the size of a write, which may be torn, and null for a truncation or a change
 * of names, which is kept from one half on.
 */
export type Keep = (bytes: number | null) => number;

/** A write at an offset, or a truncation. */
type Write =
  | { readonly offset: number; readonly bytes: Buffer }
  | { readonly size: number };

/** Content of a file in memory, with what of it is durable. */
export class FakeFile {
  #content: Buffer;
  #synced: Buffer;
  /** Operations since the last sync, in order. */
  #unsynced: readonly Write[] = [];

  constructor(bytes: Uint8Array = Buffer.alloc(0)) {
    this.#content = Buffer.from(bytes);
    this.#synced = this.#content;
  }

  /** What a process reads. */
  get content(): Buffer {
    return this.#content;
  }

  /** Number of operations since the last sync. */
  get unsyncedWrites(): number {
    return this.#unsynced.length;
  }

  append(bytes: Uint8Array): void {
    this.#apply({ offset: this.#content.length, bytes: Buffer.from(bytes) });
  }

  /** Truncates the file, unless it is shorter. */
  truncate(size: number): void {
    if (size < this.#content.length) this.#apply({ size });
  }

  sync(): void {
    this.#synced = this.#content;
    this.#unsynced = [];
  }

  copy(): FakeFile {
    const copy = new FakeFile(this.#content);
    copy.#synced = this.#synced;
    copy.#unsynced = this.#unsynced;
    return copy;
  }

  /** Returns the content after a loss of power. */
  afterLoss(keep: Keep): Buffer {
    return this.#unsynced.reduce(
      (content, write) => {
        if ("size" in write) {
          return Math.abs(keep(null)) >= 0.5
            ? applyWrite(content, write)
            : content;
        }
        return applyWrite(content, tear(write, keep(write.bytes.length)));
      },
      this.#synced,
    );
  }

  #apply(write: Write): void {
    this.#content = applyWrite(this.#content, write);
    this.#unsynced = [...this.#unsynced, write];
  }
}

// The beginning and the end of a write reach the disk in any order.
function tear(
  { offset, bytes }: Extract<Write, { readonly bytes: Buffer }>,
  share: number,
): Write {
  const kept = Math.floor(bytes.length * Math.abs(share));
  const start = share < 0 ? bytes.length - kept : 0;
  return {
    offset: offset + start,
    bytes: bytes.subarray(start, start + kept),
  };
}

// A write beyond the end leaves zeros in between.
function applyWrite(content: Buffer, write: Write): Buffer {
  if ("size" in write) return content.subarray(0, write.size);
  const { offset, bytes } = write;
  if (bytes.length === 0) return content;
  const size = Math.max(content.length, offset + bytes.length);
  const result = Buffer.alloc(size);
  result.set(content, 0);
  result.set(bytes, offset);
  return result;
}

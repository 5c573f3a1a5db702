/** Smaller parts are copied into blocks. */
const minimumKeptBytes = 4096;
const minimumBlockBytes = 1024;
const maximumBlockBytes = 16 * 1024;

/**
 * Collects the parts of a body. Small parts that follow each other share blocks,
 * so that the memory in use follows the number of bytes and not that of parts.
 */
export class PartCollector {
  readonly #parts: Buffer[] = [];
  #bytes = 0;
  /** A small part that no other small part has followed yet. */
  #single: Buffer | undefined;
  #block: Buffer | undefined;
  #usedBlockBytes = 0;

  /** Number of bytes collected. */
  get bytes(): number {
    return this.#bytes;
  }

  add(part: Buffer): void {
    this.#bytes += part.length;
    if (part.length >= minimumKeptBytes) {
      this.#close();
      this.#parts.push(part);
    } else if (this.#block) this.#copy(part);
    else if (this.#single) this.#join(this.#single, part);
    else if (part.length > 0) this.#single = part;
  }

  /** Returns the next bytes, and forgets them; undefined if there are none. */
  shift(): Buffer | undefined {
    if (this.#parts.length === 0) this.#close();
    const part = this.#parts.shift();
    this.#bytes -= part?.length ?? 0;
    return part;
  }

  /** Returns what was collected, and forgets it. */
  take(): Buffer[] {
    this.#close();
    this.#bytes = 0;
    return this.#parts.splice(0);
  }

  /** Returns what was collected as one buffer, and forgets it. */
  takeJoined(): Buffer {
    const parts = this.take();
    return parts.length === 1 ? parts[0]! : Buffer.concat(parts);
  }

  #join(first: Buffer, second: Buffer): void {
    this.#single = undefined;
    this.#open(Math.max(minimumBlockBytes, first.length + second.length));
    this.#copy(first);
    this.#copy(second);
  }

  #copy(part: Buffer): void {
    const copied = part.copy(this.#block!, this.#usedBlockBytes);
    this.#usedBlockBytes += copied;
    if (copied === part.length) return;
    const nextBytes = 2 * this.#block!.length;
    this.#close();
    this.#open(nextBytes);
    this.#copy(part.subarray(copied));
  }

  #open(bytes: number): void {
    this.#block = Buffer.allocUnsafe(Math.min(bytes, maximumBlockBytes));
    this.#usedBlockBytes = 0;
  }

  #close(): void {
    if (this.#single) this.#parts.push(this.#single);
    if (this.#block) {
      this.#parts.push(this.#block.subarray(0, this.#usedBlockBytes));
    }
    this.#single = undefined;
    this.#block = undefined;
  }
}

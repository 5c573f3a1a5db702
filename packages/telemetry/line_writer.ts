import { write } from "node:fs";
import { Writable } from "node:stream";

/** Lines are dropped while more than this is waiting for a slow reader. */
const maximumPendingBytes = 256 * 1024;
/** Pause before a pipe that was full is written to again. */
const retryMilliseconds = 10;
/** Time in which a reader is given the last lines. */
const closeMilliseconds = 500;

/**
 * Writes lines to a file descriptor without waiting for its reader. The buffer
 * for a slow reader is bounded; lines beyond it are dropped and counted.
 */
export class LineWriter extends Writable {
  readonly #descriptor: number;
  #droppedLines = 0;

  constructor(descriptor: number) {
    super({ decodeStrings: true });
    this.#descriptor = descriptor;
  }

  /** Number of lines dropped so far. */
  get droppedLines(): number {
    return this.#droppedLines;
  }

  /** Buffers lines unless the buffer is full; never signals backpressure. */
  override write(lines: string | Uint8Array): boolean {
    if (this.writableEnded || this.writableLength > maximumPendingBytes) {
      this.#droppedLines += 1;
    } else super.write(lines);
    return true;
  }

  /** Ends after the buffered lines, or soon if their reader does not read. */
  async close(): Promise<void> {
    let timer: NodeJS.Timeout | undefined;
    await new Promise<void>((resolve) => {
      timer = setTimeout(resolve, closeMilliseconds);
      this.end(resolve);
    });
    clearTimeout(timer);
  }

  // Lines that waited for one to be written are written at once.
  override _writev(
    chunks: readonly { readonly chunk: Buffer }[],
    callback: (failure?: Error | null) => void,
  ): void {
    const lines = Buffer.concat(chunks.map(({ chunk }) => chunk));
    this._write(lines, "utf8", callback);
  }

  override _write(
    chunk: Buffer,
    _encoding: BufferEncoding,
    callback: () => void,
  ): void {
    write(
      this.#descriptor,
      chunk,
      0,
      chunk.length,
      null,
      (failure, written) => {
        if (!failure && written < chunk.length) {
          return this._write(chunk.subarray(written), _encoding, callback);
        }
        if (failure?.code === "EAGAIN") {
          setTimeout(
            () => this._write(chunk, _encoding, callback),
            retryMilliseconds,
          ).unref();
          return;
        }
        // A reader that has closed must not terminate the process.
        if (failure) this.#droppedLines += countLines(chunk);
        callback();
      },
    );
  }
}

function countLines(bytes: Buffer): number {
  let count = 0;
  for (let at = -1; (at = bytes.indexOf("\n", at + 1)) >= 0;) count += 1;
  return count;
}

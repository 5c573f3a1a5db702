const lineEnd = 0x0a;
const carriageReturn = 0x0d;
const longEnd = Buffer.from("\n\r\n");
const shortEnd = Buffer.from("\n\n");

/**
 * Finds the empty lines that end the heads of requests in the bytes of a
 * connection, so that its parser can be given one request at a time.
 */
export class HeadBoundary {
  /** Bytes before the next ones that may belong to an empty line. */
  #isAfterLineEnd = false;
  #isAfterReturn = false;

  /**
   * Returns the length of the first part of a chunk: up to the end of the first
   * empty line, or all of it.
   */
  measure(chunk: Buffer): number {
    const length = this.#endOfStart(chunk) ?? endOfEmptyLine(chunk) ??
      chunk.length;
    this.#remember(chunk, length);
    return length;
  }

  // The end of an empty line that began before the chunk.
  #endOfStart(chunk: Buffer): number | undefined {
    if (!this.#isAfterLineEnd) return undefined;
    const isReturn = !this.#isAfterReturn && chunk[0] === carriageReturn;
    const length = isReturn ? 2 : 1;
    return chunk[length - 1] === lineEnd ? length : undefined;
  }

  #remember(chunk: Buffer, length: number): void {
    const last = chunk[length - 1];
    const isReturn = last === carriageReturn;
    const wasLineEnd = length > 1
      ? chunk[length - 2] === lineEnd
      : this.#isAfterLineEnd && !this.#isAfterReturn;
    this.#isAfterLineEnd = last === lineEnd || (isReturn && wasLineEnd);
    this.#isAfterReturn = isReturn;
  }
}

// Parsers may accept lines that end without a carriage return.
function endOfEmptyLine(chunk: Buffer): number | undefined {
  const long = endOf(longEnd, chunk);
  const short = endOf(shortEnd, chunk.subarray(0, long));
  return short ?? long;
}

function endOf(bytes: Buffer, chunk: Buffer): number | undefined {
  const at = chunk.indexOf(bytes);
  return at < 0 ? undefined : at + bytes.length;
}

/** What a target sent beyond a complete response. */
export const Surplus = {
  none: "none",
  /** The start of another response: the one before it is whole. */
  response: "response",
  /**
   * Other bytes: the target sent more than the length that it stated, so that
   * the body before them may hold bytes which are not its own.
   */
  body: "body",
} as const;
export type Surplus = typeof Surplus[keyof typeof Surplus];

const responseStart = Buffer.from("HTTP/");

/** Finds bytes that a target sends on a connection beyond its responses. */
export class SurplusDetector {
  readonly #onSurplus: () => void;
  #lastRead: Buffer | undefined;
  #isResponding = false;
  #surplus: Buffer = Buffer.alloc(0);

  /** @param onSurplus Called at each read that holds such bytes. */
  constructor(onSurplus: () => void) {
    this.#onSurplus = onSurplus;
  }

  /** Records that a request is about to be sent. */
  begin(): void {
    this.#isResponding = true;
    this.#surplus = Buffer.alloc(0);
  }

  /** Records what was read from the connection, before it is parsed. */
  recordRead(bytes: Buffer): void {
    if (this.#isResponding) this.#lastRead = bytes;
    else this.#add(bytes);
  }

  /**
   * Records that the response has ended.
   *
   * @param lastPart Last part of its body, a view of the bytes that were read;
   * undefined if the end is not that of the body.
   */
  end(lastPart?: Buffer): void {
    this.#isResponding = false;
    const read = this.#lastRead;
    this.#lastRead = undefined;
    if (!read || lastPart?.buffer !== read.buffer) return;
    const endOffset = lastPart.byteOffset + lastPart.length - read.byteOffset;
    this.#add(read.subarray(endOffset));
  }

  /** What was found since the response ended. */
  get found(): Surplus {
    if (this.#surplus.length === 0) return Surplus.none;
    const start = this.#surplus.subarray(0, responseStart.length);
    return start.equals(responseStart.subarray(0, start.length))
      ? Surplus.response
      : Surplus.body;
  }

  #add(bytes: Buffer): void {
    const added = this.#surplus.length > 0 ? bytes : withoutLineEnds(bytes);
    if (added.length === 0) return;
    // What follows the start tells nothing more.
    if (this.#surplus.length < responseStart.length) {
      this.#surplus = Buffer.concat([
        this.#surplus,
        added.subarray(0, responseStart.length),
      ]);
    }
    this.#onSurplus();
  }
}

// Parsers skip line ends before a response.
function withoutLineEnds(bytes: Buffer): Buffer {
  let at = 0;
  while (bytes[at] === 0x0d || bytes[at] === 0x0a) at += 1;
  return bytes.subarray(at);
}

import type { IncomingHttpHeaders } from "node:http";

const lineEnd = 0x0a;
const carriageReturn = 0x0d;

/** Finds the end of a request's body in the bytes of a connection. */
export abstract class BodyBoundary {
  /** Returns the boundary of the body of a request with the given headers. */
  static of(headers: IncomingHttpHeaders): BodyBoundary {
    return headers["transfer-encoding"] === undefined
      ? new LengthBoundary(Number(headers["content-length"] ?? 0))
      : new ChunksBoundary();
  }

  /** Whether the end of the body was found. */
  abstract get hasEnded(): boolean;

  /** Bytes that should be parsed at a time at most. */
  abstract get maximumParsedBytes(): number;

  /** Bytes of the body that were measured, without what frames them. */
  abstract get bodyBytes(): number;

  /** Returns the length of the part of a chunk that belongs to the body. */
  abstract measure(chunk: Buffer): number;
}

class LengthBoundary extends BodyBoundary {
  override readonly maximumParsedBytes = Infinity;
  readonly #length: number;
  #left: number;

  constructor(length: number) {
    super();
    this.#length = length;
    this.#left = length;
  }

  override get bodyBytes(): number {
    return this.#length - this.#left;
  }

  override get hasEnded(): boolean {
    return this.#left <= 0;
  }

  override measure(chunk: Buffer): number {
    const length = Math.min(this.#left, chunk.length);
    this.#left -= length;
    return length;
  }
}

/** The parts of a body in chunks (RFC 9112, 7.1). */
const ChunkPart = {
  size: "size",
  /** What follows the size on its line. */
  extension: "extension",
  data: "data",
  /** The end of the line behind the data. */
  dataEnd: "dataEnd",
  trailer: "trailer",
  end: "end",
} as const;
type ChunkPart = typeof ChunkPart[keyof typeof ChunkPart];

// The parser of Node.js checks the syntax; here only the end is of interest.
class ChunksBoundary extends BodyBoundary {
  // The time that it takes depends on the number of chunks.
  override readonly maximumParsedBytes = 16 * 1024;
  #part: ChunkPart = ChunkPart.size;
  /** Size of the current chunk, and then what is left of it. */
  #left = 0;
  #isLineEmpty = true;
  #bodyBytes = 0;

  override get bodyBytes(): number {
    return this.#bodyBytes;
  }

  override get hasEnded(): boolean {
    return this.#part === ChunkPart.end;
  }

  override measure(chunk: Buffer): number {
    let at = 0;
    while (at < chunk.length && !this.hasEnded) {
      if (this.#part === ChunkPart.data) {
        at += this.#skipData(chunk.length - at);
      } else this.#readByte(chunk[at++]!);
    }
    return at;
  }

  #skipData(available: number): number {
    const length = Math.min(this.#left, available);
    this.#left -= length;
    this.#bodyBytes += length;
    if (this.#left === 0) this.#part = ChunkPart.dataEnd;
    return length;
  }

  #readByte(byte: number): void {
    if (byte === lineEnd) return this.#endLine();
    if (this.#part === ChunkPart.size) this.#readSize(byte);
    else if (this.#part === ChunkPart.trailer && byte !== carriageReturn) {
      this.#isLineEmpty = false;
    }
  }

  #readSize(byte: number): void {
    const digit = Number.parseInt(String.fromCharCode(byte), 16);
    if (Number.isNaN(digit)) this.#part = ChunkPart.extension;
    else this.#left = this.#left * 16 + digit;
  }

  #endLine(): void {
    switch (this.#part) {
      case ChunkPart.size:
      case ChunkPart.extension:
        this.#part = this.#left > 0 ? ChunkPart.data : ChunkPart.trailer;
        break;
      case ChunkPart.dataEnd:
        this.#part = ChunkPart.size;
        break;
      case ChunkPart.trailer:
        if (this.#isLineEmpty) this.#part = ChunkPart.end;
        this.#isLineEmpty = true;
    }
  }
}

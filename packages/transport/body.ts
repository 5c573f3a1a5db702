import type { IncomingMessage, ServerResponse } from "node:http";
import { Readable } from "node:stream";
import { BodyMemory } from "./body_memory.ts";
import type { BodyReservation } from "./body_memory.ts";
import { PartCollector } from "./part_collector.ts";
import { ReadAhead } from "./read_ahead.ts";

/** Thrown when a body exceeds its size limit. */
export class BodyTooLargeError extends Error {
  override readonly name = "BodyTooLargeError";
}

/**
 * Reads a complete body into memory.
 *
 * @throws {BodyTooLargeError} when the body is larger than `maximumBytes`.
 * @throws {BodyMemoryError} when the reservation cannot be extended.
 */
export async function readBody(
  request: IncomingMessage,
  maximumBytes: number,
  reservation?: BodyReservation,
): Promise<Buffer> {
  const parts = new PartCollector();
  for await (const chunk of readBoundedChunks(request, maximumBytes)) {
    reservation?.add(chunk.length);
    parts.add(chunk);
  }
  return parts.takeJoined();
}

/** Room for what is read ahead of all bodies that are streamed. */
const maximumReadAheadBytes = 24 * 1024 * 1024;
// Apart from other bodies, which must not be refused for it.
const readAheadMemory = new BodyMemory(maximumReadAheadBytes);

const emptyBuffer = Buffer.alloc(0);

/** Options of {@link RequestBody.receive}. */
export interface RequestBodyOptions {
  readonly maximumBytes: number;
  /** Bodies up to this size are buffered, so that they can be sent again. */
  readonly maximumBufferedBytes: number;
  /** Counts what is kept in memory; the caller releases it. @default no bound */
  readonly reservation?: BodyReservation;
}

/** The body of a caller's request, either buffered or streamed. */
export class RequestBody {
  static readonly empty = new RequestBody({ buffer: emptyBuffer });

  /** Length in bytes of a streamed body, if its headers declare it. */
  readonly streamedLength: number | undefined;
  readonly #buffer: Buffer | undefined;
  readonly #source: AsyncIterable<Buffer> | undefined;
  readonly #firstBytes: Buffer;
  /** The stream that was opened last. */
  #stream: Readable | undefined;
  /** Whether more than the first bytes was read. */
  #isSourceRead = false;

  protected constructor(
    content: {
      readonly buffer?: Buffer;
      readonly firstBytes?: Buffer;
      /** What follows the first bytes. */
      readonly source?: AsyncIterable<Buffer>;
      readonly length?: number | undefined;
    },
  ) {
    this.#buffer = content.buffer;
    this.#source = content.source;
    this.#firstBytes = content.buffer ?? content.firstBytes ?? emptyBuffer;
    this.streamedLength = content.length;
  }

  /**
   * Receives a body. Buffers a body of up to `maximumBufferedBytes` and streams a
   * larger one. The stream fails with {@link BodyTooLargeError} beyond the limit.
   *
   * @throws {BodyTooLargeError} when the declared or buffered length exceeds the
   * limit.
   * @throws {BodyMemoryError} when the reservation cannot be extended.
   */
  static async receive(
    request: IncomingMessage,
    options: RequestBodyOptions,
  ): Promise<RequestBody> {
    const { maximumBytes, maximumBufferedBytes, reservation } = options;
    const length = parseDeclaredLength(request);
    if (length !== undefined && length > maximumBytes) {
      throw createTooLargeError(maximumBytes);
    }
    if (length === 0) return RequestBody.empty;
    if (length !== undefined && length <= maximumBufferedBytes) {
      const buffer = await readBody(request, maximumBytes, reservation);
      return new RequestBody({ buffer });
    }
    const chunks = readBoundedChunks(request, maximumBytes);
    const { first, ended } = await readFirstChunks(
      chunks,
      maximumBufferedBytes,
      reservation,
    );
    if (ended) return new RequestBody({ buffer: first });
    return new RequestBody({
      firstBytes: first,
      source: new ReadAhead(chunks, readAheadMemory.reserve()),
      length,
    });
  }

  /** The complete body, if it is buffered. */
  get buffer(): Buffer | undefined {
    return this.#buffer;
  }

  /** The complete body if it is buffered, or else its first bytes. */
  get firstBytes(): Buffer {
    return this.#firstBytes;
  }

  /** Length in bytes; 0 for a streamed body without a declared length. */
  get length(): number {
    return this.#buffer?.length ?? this.streamedLength ?? 0;
  }

  /**
   * Whether the body can be sent; a streamed body can be sent only once, unless
   * its stream was destroyed before more than the first bytes was read.
   */
  get canBeSent(): boolean {
    if (this.#buffer) return true;
    return !this.#isSourceRead && (this.#stream?.destroyed ?? true);
  }

  /** Returns the body for one attempt, or null if it is empty. */
  open(): Buffer | Readable | null {
    if (this.#buffer) return this.#buffer.length > 0 ? this.#buffer : null;
    this.#stream = Readable.from(this.#readStream(), { objectMode: false });
    return this.#stream;
  }

  async *#readStream(): AsyncGenerator<Buffer> {
    yield this.#firstBytes;
    this.#isSourceRead = true;
    yield* this.#source!;
  }
}

/** Sends a JSON document as the response. */
export function sendJson(
  response: ServerResponse,
  status: number,
  document: unknown,
): void {
  const body = Buffer.from(`${JSON.stringify(document)}\n`);
  const { req: request } = response;
  // The rest of an unread body must not be parsed as the next request.
  if (hasBody(request) && !request.complete) {
    response.setHeader("connection", "close");
  }
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": body.length,
  });
  response.end(body);
}

/** Whether the headers announce a body, with or without its length. */
export function hasBody(request: IncomingMessage): boolean {
  return parseDeclaredLength(request) !== 0;
}

// Returns undefined for a body without a declared length, such as a chunked one.
function parseDeclaredLength(request: IncomingMessage): number | undefined {
  const length = request.headers["content-length"];
  if (length !== undefined) return Number(length);
  return request.headers["transfer-encoding"] === undefined ? 0 : undefined;
}

// Does not destroy the request on an early return, so that a response can still
// be sent.
async function* readBoundedChunks(
  request: IncomingMessage,
  maximumBytes: number,
): AsyncGenerator<Buffer> {
  let length = 0;
  for await (const chunk of request.iterator({ destroyOnReturn: false })) {
    length += (chunk as Buffer).length;
    if (length > maximumBytes) throw createTooLargeError(maximumBytes);
    yield chunk as Buffer;
  }
}

async function readFirstChunks(
  chunks: AsyncGenerator<Buffer>,
  minimumBytes: number,
  reservation: BodyReservation | undefined,
): Promise<{ readonly first: Buffer; readonly ended: boolean }> {
  const parts = new PartCollector();
  while (parts.bytes <= minimumBytes) {
    const next = await chunks.next();
    if (next.done) return { first: parts.takeJoined(), ended: true };
    reservation?.add(next.value.length);
    parts.add(next.value);
  }
  return { first: parts.takeJoined(), ended: false };
}

function createTooLargeError(maximumBytes: number): BodyTooLargeError {
  return new BodyTooLargeError(`the body is larger than ${maximumBytes} bytes`);
}

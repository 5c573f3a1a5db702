import type { IncomingMessage, ServerResponse } from "node:http";

/** A body larger than its limit. */
export class BodyTooLargeError extends Error {
  override readonly name = "BodyTooLargeError";
}

/**
 * Reads a whole body.
 *
 * @throws {BodyTooLargeError} when it is larger than `maximumBytes`.
 */
export async function readBody(
  request: IncomingMessage,
  maximumBytes: number,
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of request) {
    length += (chunk as Buffer).length;
    if (length > maximumBytes) {
      throw new BodyTooLargeError(
        `the body is larger than ${maximumBytes} bytes`,
      );
    }
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks, length);
}

/** Answers with a JSON document. */
export function sendJson(
  response: ServerResponse,
  status: number,
  document: unknown,
): void {
  const body = Buffer.from(`${JSON.stringify(document)}\n`);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": body.length,
  });
  response.end(body);
}

import type { IncomingMessage } from "node:http";
import { setTimeout as pause } from "node:timers/promises";

/** Bytes of an unread body that are read to keep its connection in use. */
const maximumDiscardedBytes = 16 * 1024 * 1024;
/** Time for which an unread body is read. */
const maximumDiscardMilliseconds = 2000;

/**
 * Whether the rest of a request's body is short enough for its connection to
 * serve the next request.
 */
export function isBodyDiscardable({ headers }: IncomingMessage): boolean {
  // Without either header a request has no body (RFC 9112, 6.3). Its end is
  // parsed after its head, so that it may not count as complete yet.
  const length = headers["transfer-encoding"] === undefined
    ? Number(headers["content-length"] ?? 0)
    : Infinity;
  return length <= maximumDiscardedBytes;
}

/**
 * Reads and discards the rest of a request's body. Otherwise the next request on
 * its connection would never be read, and closing the connection would reset it
 * before the caller has read the response. Resolves when the body has ended, the
 * connection is closed, or too much was read or too much time has passed.
 */
export async function discardBody(request: IncomingMessage): Promise<void> {
  const timeout = new AbortController();
  await Promise.race([
    readToEnd(request),
    pause(maximumDiscardMilliseconds, undefined, { signal: timeout.signal }),
  ]);
  timeout.abort();
}

function readToEnd(request: IncomingMessage): Promise<void> {
  return new Promise((resolve) => {
    let bytes = 0;
    const finish = () => {
      request.off("readable", read);
      resolve();
    };
    // A stream of the body may still be reading it as well.
    const read = () => {
      for (;;) {
        const chunk = request.read() as Buffer | null;
        if (chunk === null) break;
        bytes += chunk.length;
        if (bytes > maximumDiscardedBytes) return finish();
      }
      if (request.complete || request.destroyed) finish();
    };
    request.on("readable", read);
    request.once("end", finish);
    request.once("close", finish);
    read();
  });
}

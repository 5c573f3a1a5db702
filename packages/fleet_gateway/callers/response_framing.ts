import type { IncomingHttpHeaders } from "node:http";

/** What marks the end of a response's body. */
export const BodyFraming = {
  /** There is no body. */
  none: "none",
  length: "length",
  chunks: "chunks",
  /** The end of the connection: a part and the whole look alike. */
  connection: "connection",
} as const;
export type BodyFraming = typeof BodyFraming[keyof typeof BodyFraming];

const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/**
 * Returns the framing of a response that a target sent, or undefined if its body
 * has a transfer coding that callers do not expect.
 */
export function framingOf(response: {
  /** Method of the request. */
  readonly method: string;
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
}): BodyFraming | undefined {
  const { method, status, headers } = response;
  if (method === "HEAD" || bodilessStatuses.has(status)) {
    return BodyFraming.none;
  }
  switch (headers["transfer-encoding"]?.trim().toLowerCase()) {
    case "chunked":
      return BodyFraming.chunks;
    case undefined:
    case "identity":
      return headers["content-length"] === undefined
        ? BodyFraming.connection
        : BodyFraming.length;
    default:
      return undefined;
  }
}

/**
 * Returns the framing in which a response is passed on. It claims no more than
 * the one received: an orderly end of a target's connection may be that of a
 * part, which a length or a last chunk would call the whole.
 */
export function framingToSend(response: {
  readonly received: BodyFraming;
  /** HTTP version of the caller. */
  readonly httpVersion: string;
  /** Whether the end of the body was received. */
  readonly isWhole: boolean;
}): BodyFraming {
  const { received, httpVersion, isWhole } = response;
  if (received !== BodyFraming.chunks) return received;
  if (isWhole) return BodyFraming.length;
  return httpVersion === "1.0" ? BodyFraming.connection : BodyFraming.chunks;
}

import type { IncomingHttpHeaders } from "node:http";
import type { Readable } from "node:stream";

/** Why it is not known whether a request ran. */
export const UnknownCause = {
  /** The deadline passed, or the response stalled. */
  deadline: "deadline",
  /** The connection was lost after bytes were sent. */
  connectionLost: "connectionLost",
  /** The caller disconnected. */
  cancelled: "cancelled",
  /** The response may be incomplete or belong to another exchange. */
  badAnswer: "badAnswer",
} as const;
export type UnknownCause = typeof UnknownCause[keyof typeof UnknownCause];

/** Result of an exchange with a target. */
export type ExchangeResult =
  /** The complete response was passed on. */
  | { readonly kind: "answered"; readonly status: number }
  /**
   * The receiver reported that the request did not run; nothing was passed on.
   */
  | {
    readonly kind: "notRun";
    readonly reason: string;
    readonly status: number;
    readonly retryAfterSeconds: number | undefined;
  }
  /** No byte of the request was sent, so it did not run. */
  | { readonly kind: "notSent" }
  /** The request may have run, and nothing was passed on. */
  | {
    readonly kind: "unknown";
    readonly cause: UnknownCause;
    /** Reason reported by the receiver, if any. */
    readonly reason: string | undefined;
  }
  /** The response was truncated after its head was passed on. */
  | { readonly kind: "truncated" };

/** One request to a target or to another VM. */
export interface ExchangeRequest {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  /** Opens the body; called once, when the request is dispatched. */
  readonly openBody: () => Buffer | Readable | null;
  /** Length of a streamed body in bytes, if known. */
  readonly bodyLength?: number | undefined;
  /** Headers that this VM adds to the caller's. */
  readonly added: Readonly<Record<string, string>>;
  /** Maximum time until the response starts, and between its parts. */
  readonly timeoutMilliseconds: number;
  /**
   * Called just before the first byte is written; false cancels the request.
   */
  readonly maySend: () => boolean;
}

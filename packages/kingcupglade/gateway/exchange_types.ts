import type { IncomingHttpHeaders } from "node:http";
import type { Readable } from "node:stream";

/** Why it is not known whether a request ran. */
export const UnknownCause = {
  /** The deadline passed, or the answer stopped flowing. */
  deadline: "deadline",
  /** The connection broke after bytes went out. */
  connectionLost: "connectionLost",
  /** The caller went away. */
  cancelled: "cancelled",
  /** What came back cannot be trusted to be the whole answer. */
  badAnswer: "badAnswer",
} as const;
export type UnknownCause = typeof UnknownCause[keyof typeof UnknownCause];

/** How an exchange with a target ended. */
export type ExchangeResult =
  /** The whole answer was passed on. */
  | { readonly kind: "answered"; readonly status: number }
  /** The receiver said that it did not run the request; nothing was passed on. */
  | {
    readonly kind: "notRun";
    readonly reason: string;
    readonly status: number;
    readonly retryAfterSeconds: number | undefined;
  }
  /** No byte of the request left; it did not run. */
  | { readonly kind: "notSent" }
  /** The request may have run, and nothing was passed on. */
  | {
    readonly kind: "unknown";
    readonly cause: UnknownCause;
    /** Reason that the receiver gave, if it gave one. */
    readonly reason: string | undefined;
  }
  /** The answer broke off after its head was passed on. */
  | { readonly kind: "truncated" };

/** One request to a target or to another VM. */
export interface ExchangeRequest {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  /** Opens the body; called once, when the request is handed over. */
  readonly openBody: () => Buffer | Readable | null;
  /** Length of a streamed body, when it is known. */
  readonly bodyLength?: number | undefined;
  /** Headers that the system adds. */
  readonly added: Readonly<Record<string, string>>;
  /** Time until the answer must have begun, and longest pause within it. */
  readonly timeoutMilliseconds: number;
  /** Called just before the first byte is written; false stops it. */
  readonly maySend: () => boolean;
}

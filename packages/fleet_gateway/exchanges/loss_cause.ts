import { errors } from "undici";

/** Why no valid response to a request was received. */
export const LossCause = {
  /** The time of the exchange was up. */
  timeout: "timeout",
  /** The target closed or reset the connection. */
  closed: "closed",
  /** The received bytes are not a response to the request. */
  invalid: "invalid",
  /** The response is no longer needed. */
  abandoned: "abandoned",
} as const;
export type LossCause = typeof LossCause[keyof typeof LossCause];

/** Codes of socket errors that a target's reset causes. */
const resetCodes: ReadonlySet<string | undefined> = new Set([
  "ECONNRESET",
  "EPIPE",
]);

/** Returns the cause that an error of a connection tells. */
export function causeOf(failure: Error): LossCause {
  const isClosed = failure instanceof errors.SocketError ||
    resetCodes.has((failure as NodeJS.ErrnoException).code);
  return isClosed ? LossCause.closed : LossCause.invalid;
}

/** How a request to a target ended, as far as relevant for choosing targets. */
export const ExchangeEnd = {
  answered: "answered",
  /** The target reported that it did not run the request. */
  rejected: "rejected",
  /** The target responded with a failure. */
  failed: "failed",
  /** No connection, no response, or a response that cannot be trusted. */
  broken: "broken",
  /** The response is no longer needed. */
  abandoned: "abandoned",
} as const;
export type ExchangeEnd = typeof ExchangeEnd[keyof typeof ExchangeEnd];

import type { CallerResponse } from "../callers/caller_response.ts";
import type { Exchange, ResponseStream } from "./exchange.ts";

/**
 * Returns a stream that sends a large response to the caller. The first response
 * that begins is sent, and the other exchanges of the request are abandoned.
 */
export function firstResponseStream(
  response: CallerResponse,
  options: {
    /** Every exchange of the request. */
    readonly exchanges: ReadonlySet<Exchange>;
    /** Returns the exchange whose response is streamed. */
    readonly self: () => Exchange;
    /** Name of the target that responds. */
    readonly target: string;
  },
): ResponseStream {
  const { exchanges, self, target } = options;
  let isFirst = false;
  return {
    wouldLookWhole: (head) => response.wouldLookWhole(head),
    begin: (head, first) => {
      if (response.hasStarted) return self().abandon();
      isFirst = true;
      for (const other of exchanges) {
        if (other !== self()) other.abandon();
      }
      response.target = target;
      response.begin(head, first);
    },
    write: (chunk) => !isFirst || response.write(chunk),
    onDrain: (listener) => response.onDrain(listener),
    end: () => {
      if (isFirst) response.end();
    },
    fail: () => {
      if (isFirst) response.fail();
    },
  };
}

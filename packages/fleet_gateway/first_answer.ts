import type { CallerAnswer } from "./answer.ts";
import type { AnswerStream, Exchange } from "./exchange.ts";

/** Passes a large answer on; the first one to begin is the only one. */
export function firstAnswer(
  answer: CallerAnswer,
  options: {
    /** Every exchange of the request. */
    readonly exchanges: ReadonlySet<Exchange>;
    /** The one whose answer it is. */
    readonly self: () => Exchange;
  },
): AnswerStream {
  const { exchanges, self } = options;
  return {
    begin: (head, first) => {
      for (const other of exchanges) {
        if (other !== self()) other.abandon();
      }
      answer.begin(head, first);
    },
    write: (chunk) => answer.write(chunk),
    onDrain: (listener) => answer.onDrain(listener),
    end: () => answer.end(),
    fail: () => answer.fail(),
  };
}

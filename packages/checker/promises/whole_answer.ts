import { eventsOf } from "../events.ts";
import type { EventOf } from "../events.ts";
import { PromiseName } from "../violation.ts";
import type { PromiseCheck } from "../violation.ts";

/** Every answer that ends as complete is whole and names the caller's request. */
export const checkWholeAnswer: PromiseCheck = (events) => {
  const asked = new Map(
    eventsOf(events, "asked").map((each) => [each.request, each]),
  );
  return eventsOf(events, "told").flatMap((told) => {
    if (told.outcome !== "answered") return [];
    const request = asked.get(told.request);
    const source = asked.get(told.answerTo);
    if (request && isOwnAnswer(request, told, source) && told.whole) return [];
    return [{
      promise: PromiseName.wholeAnswer,
      message: told.whole
        ? `${told.request} was given the answer to "${told.answerTo}"`
        : `${told.request} was given a part of its answer as if complete`,
      events: [...(request ? [request] : []), told],
    }];
  });
};

// The resend of a request may be given the answer to the one sent before it.
function isOwnAnswer(
  request: EventOf<"asked">,
  told: EventOf<"told">,
  source: EventOf<"asked"> | undefined,
): boolean {
  if (told.answerTo === request.request) return true;
  return source !== undefined && request.idempotencyKey !== "" &&
    source.idempotencyKey === request.idempotencyKey &&
    source.tenant === request.tenant && source.key === request.key;
}

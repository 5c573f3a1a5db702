import { eventsOf } from "../events.ts";
import type { EventOf } from "../events.ts";
import { InvariantName } from "../violation.ts";
import type { InvariantCheck } from "../violation.ts";

/** A response that ends normally is complete and belongs to its request. */
export const checkCompleteResponse: InvariantCheck = (events) => {
  const requests = new Map(
    eventsOf(events, "requestSent").map((each) => [each.request, each]),
  );
  return eventsOf(events, "responseReceived").flatMap((response) => {
    if (response.outcome !== "answered") return [];
    const request = requests.get(response.request);
    const source = requests.get(response.answerTo);
    if (
      request && isOwnResponse(request, response, source) && response.whole
    ) return [];
    return [{
      invariant: InvariantName.completeResponse,
      message: response.whole
        ? `${response.request} received the response to "${response.answerTo}"`
        : `${response.request} received an incomplete response that ended normally`,
      events: [...(request ? [request] : []), response],
    }];
  });
};

// A resent request may receive the response to an earlier request with the same
// Idempotency-Key.
function isOwnResponse(
  request: EventOf<"requestSent">,
  response: EventOf<"responseReceived">,
  source: EventOf<"requestSent"> | undefined,
): boolean {
  if (response.answerTo === request.request) return true;
  return source !== undefined && request.idempotencyKey !== "" &&
    source.idempotencyKey === request.idempotencyKey &&
    source.tenant === request.tenant && source.key === request.key;
}

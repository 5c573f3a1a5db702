import { eventsOf, groupBy } from "../events.ts";
import { InvariantName } from "../violation.ts";
import type { InvariantCheck } from "../violation.ts";
import { operationOf } from "./operations.ts";

/**
 * A request with the outcome `not-run` never has an effect, and neither had an
 * earlier request under the same Idempotency-Key.
 */
export const checkTruthfulNotRun: InvariantCheck = (events) => {
  const requests = new Map(
    eventsOf(events, "requestSent").map((each) => [each.request, each]),
  );
  const effects = groupBy(eventsOf(events, "effect"), (effect) => {
    const request = requests.get(effect.request);
    return request ? operationOf(request) : effect.request;
  });
  return eventsOf(events, "responseReceived").flatMap((response) => {
    const request = requests.get(response.request);
    if (response.outcome !== "not-run" || !request) return [];
    const effect = effects.get(operationOf(request))?.find((each) =>
      each.request === response.request || each.at < request.at
    );
    return effect
      ? [{
        invariant: InvariantName.truthfulNotRun,
        message:
          `${response.request} had the outcome not-run but ran at ${effect.target}`,
        events: [request, effect, response],
      }]
      : [];
  });
};

import { eventsOf, groupBy } from "../events.ts";
import { PromiseName } from "../violation.ts";
import type { PromiseCheck } from "../violation.ts";
import { operationOf } from "./operations.ts";

/**
 * A request that was told `not-run` has no effect, then or later, and neither
 * had a request before it under the same Idempotency-Key.
 */
export const checkNotRunIsTrue: PromiseCheck = (events) => {
  const asked = new Map(
    eventsOf(events, "asked").map((each) => [each.request, each]),
  );
  const effects = groupBy(eventsOf(events, "effect"), (effect) => {
    const request = asked.get(effect.request);
    return request ? operationOf(request) : effect.request;
  });
  return eventsOf(events, "told").flatMap((told) => {
    const request = asked.get(told.request);
    if (told.outcome !== "not-run" || !request) return [];
    const effect = effects.get(operationOf(request))?.find((each) =>
      each.request === told.request || each.at < request.at
    );
    return effect
      ? [{
        promise: PromiseName.notRunIsTrue,
        message: `${told.request} was told not-run and ran at ${effect.target}`,
        events: [request, effect, told],
      }]
      : [];
  });
};

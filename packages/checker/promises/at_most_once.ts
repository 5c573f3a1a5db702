import { eventsOf, groupBy } from "../events.ts";
import { PromiseName } from "../violation.ts";
import type { PromiseCheck } from "../violation.ts";
import { operationOf } from "./operations.ts";

/** No operation that is not idempotent takes effect twice. */
export const checkAtMostOnce: PromiseCheck = (events) => {
  const asked = new Map(
    eventsOf(events, "asked").map((each) => [each.request, each]),
  );
  const effects = groupBy(
    eventsOf(events, "effect").filter((each) => !each.idempotent),
    (effect) => {
      const request = asked.get(effect.request);
      return request ? operationOf(request) : effect.request;
    },
  );
  return [...effects.values()].filter((each) => each.length > 1).map((
    each,
  ) => ({
    promise: PromiseName.atMostOnce,
    message: `${each[0]!.request} took effect ${each.length} times`,
    events: each,
  }));
};

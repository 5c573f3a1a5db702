import { eventsOf, groupBy } from "../events.ts";
import { InvariantName } from "../violation.ts";
import type { InvariantCheck } from "../violation.ts";
import { operationOf } from "./operations.ts";

/** A non-idempotent operation takes effect at most once. */
export const checkAtMostOnce: InvariantCheck = (events) => {
  const requests = new Map(
    eventsOf(events, "requestSent").map((each) => [each.request, each]),
  );
  const effects = groupBy(
    eventsOf(events, "effect").filter((each) => !each.idempotent),
    (effect) => {
      const request = requests.get(effect.request);
      return request ? operationOf(request) : effect.request;
    },
  );
  return [...effects.values()].filter((each) => each.length > 1).map((
    each,
  ) => ({
    invariant: InvariantName.atMostOnce,
    message: `${each[0]!.request} took effect ${each.length} times`,
    events: each,
  }));
};

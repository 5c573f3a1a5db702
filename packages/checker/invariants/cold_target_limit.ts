import { eventsOf } from "../events.ts";
import type { EventOf } from "../events.ts";
import { InvariantName } from "../violation.ts";
import type { InvariantCheck } from "../violation.ts";

interface ColdPeriod {
  readonly event: EventOf<"condition">;
  readonly limitedFrom: number;
}

/**
 * A target that starts cold never exceeds its limit of concurrent requests. A
 * target that becomes cold while running does not exceed it after the grace
 * period.
 */
export const checkColdTargetLimit: InvariantCheck = (events, options) => {
  const coldPeriods = new Map<string, ColdPeriod>();
  const seenIncarnations = new Set<string>();
  return events.flatMap((event) => {
    if (event.kind === "condition") {
      const id = `${event.target}\0${event.boot}`;
      const before = coldPeriods.get(event.target);
      const isStillCold = before?.event.boot === event.boot;
      if (event.condition !== "cold") coldPeriods.delete(event.target);
      else if (!isStillCold) {
        const grace = seenIncarnations.has(id)
          ? options.coldGraceMilliseconds
          : 0;
        coldPeriods.set(event.target, { event, limitedFrom: event.at + grace });
      }
      seenIncarnations.add(id);
    }
    if (event.kind !== "started" || event.condition !== "cold") return [];
    const coldPeriod = coldPeriods.get(event.target);
    const isOverLimit = coldPeriod !== undefined &&
      event.at >= coldPeriod.limitedFrom &&
      event.inProgress > event.limit;
    return isOverLimit
      ? [{
        invariant: InvariantName.coldTargetLimit,
        message:
          `${event.target} ran ${event.inProgress} requests with a limit of ${event.limit} while cold`,
        events: [
          coldPeriod.event,
          ...findRequestsInProgress(events, event),
          event,
        ],
      }]
      : [];
  });
};

function findRequestsInProgress(
  events: Parameters<InvariantCheck>[0],
  started: EventOf<"started">,
): readonly EventOf<"started">[] {
  const ended = new Map(
    eventsOf(events, "ended").map((each) =>
      [`${each.target}\0${each.request}`, each.at] as const
    ),
  );
  return eventsOf(events, "started").filter((each) =>
    each.target === started.target && each.boot === started.boot &&
    each !== started && each.at <= started.at &&
    (ended.get(`${each.target}\0${each.request}`) ?? Infinity) > started.at
  );
}

import { eventsOf } from "../events.ts";
import type { EventOf } from "../events.ts";
import { PromiseName } from "../violation.ts";
import type { PromiseCheck } from "../violation.ts";

interface ColdStart {
  readonly event: EventOf<"condition">;
  readonly boundFrom: number;
}

/**
 * A target that starts cold is never above its limit. One that turns cold
 * while it runs is within it after a grace time.
 */
export const checkColdTarget: PromiseCheck = (events, options) => {
  const coldSince = new Map<string, ColdStart>();
  const booted = new Set<string>();
  return events.flatMap((event) => {
    if (event.kind === "condition") {
      const id = `${event.target}\0${event.boot}`;
      const before = coldSince.get(event.target);
      const stillCold = before?.event.boot === event.boot;
      if (event.condition !== "cold") coldSince.delete(event.target);
      else if (!stillCold) {
        const grace = booted.has(id) ? options.coldGraceMilliseconds : 0;
        coldSince.set(event.target, { event, boundFrom: event.at + grace });
      }
      booted.add(id);
    }
    if (event.kind !== "started" || event.condition !== "cold") return [];
    const cold = coldSince.get(event.target);
    const tooMany = cold !== undefined && event.at >= cold.boundFrom &&
      event.inProgress > event.limit;
    return tooMany
      ? [{
        promise: PromiseName.coldTarget,
        message:
          `${event.target} carried ${event.inProgress} requests and bears ${event.limit}`,
        events: [cold.event, ...runningAt(events, event), event],
      }]
      : [];
  });
};

function runningAt(
  events: Parameters<PromiseCheck>[0],
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

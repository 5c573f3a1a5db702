import { calculateGraceEnd } from "../events.ts";
import type { EventOf } from "../events.ts";
import { InvariantName } from "../violation.ts";
import type { InvariantCheck } from "../violation.ts";

/** After the grace period no request starts at a target that is leaving. */
export const checkLeavingTarget: InvariantCheck = (events, options) => {
  const leaving = new Map<string, EventOf<"announced">>();
  return events.flatMap((event) => {
    if (event.kind === "announced") {
      if (event.condition !== "leaving") leaving.delete(event.target);
      else if (leaving.get(event.target)?.boot !== event.boot) {
        leaving.set(event.target, event);
      }
    }
    if (event.kind !== "started") return [];
    const announced = leaving.get(event.target);
    if (announced?.boot !== event.boot) return [];
    const end = calculateGraceEnd(
      events,
      announced.at,
      options.graceMilliseconds,
    );
    return event.at > end
      ? [{
        invariant: InvariantName.leavingTarget,
        message: `${event.target} started ${event.request} ${
          (event.at - announced.at).toFixed(0)
        } ms after its departure notice was accepted`,
        events: [announced, event],
      }]
      : [];
  });
};

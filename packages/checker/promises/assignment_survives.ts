import { eventsOf } from "../events.ts";
import { PromiseName } from "../violation.ts";
import type { PromiseCheck, Violation } from "../violation.ts";
import type { EventOf } from "../events.ts";

type Grant = EventOf<"granted">["grants"][number];

interface Assignment extends Grant {
  readonly event: EventOf<"granted">;
}

/**
 * An epoch that a target confirmed stays what it was: no other incarnation is
 * given the same epoch of a position, as would happen when the log lost it.
 */
export const checkAssignmentSurvives: PromiseCheck = (events) => {
  const assigned = new Map<string, Assignment[]>();
  return eventsOf(events, "granted").flatMap((event) =>
    event.grants.flatMap((grant) => {
      const id = `${grant.group}\0${grant.epoch}`;
      const known = assigned.get(id) ?? [];
      assigned.set(id, known);
      const other = known.find((each) =>
        overlaps(each, grant) && !isSameHolder(each.event, event)
      );
      if (other) return [describe(other, event)];
      if (!known.some((each) => each.start === grant.start)) {
        known.push({ ...grant, event });
      }
      return [];
    })
  );
};

function overlaps(left: Grant, right: Grant): boolean {
  return left.start < right.end && right.start < left.end;
}

function isSameHolder(
  left: EventOf<"granted">,
  right: EventOf<"granted">,
): boolean {
  return left.target === right.target && left.boot === right.boot;
}

function describe(known: Assignment, event: EventOf<"granted">): Violation {
  return {
    promise: PromiseName.assignmentSurvives,
    message:
      `epoch ${known.epoch} of ${known.group} was confirmed by ${known.event.target} and given to ${event.target} later`,
    events: [known.event, event],
  };
}

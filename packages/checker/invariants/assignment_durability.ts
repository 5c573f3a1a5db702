import { eventsOf } from "../events.ts";
import { InvariantName } from "../violation.ts";
import type { InvariantCheck, Violation } from "../violation.ts";
import type { EventOf } from "../events.ts";

type Grant = EventOf<"granted">["grants"][number];

interface ConfirmedGrant extends Grant {
  readonly event: EventOf<"granted">;
}

/**
 * A confirmed assignment is durable: no other incarnation is granted the same
 * epoch of a position later, as would happen if the log lost an entry.
 */
export const checkAssignmentDurability: InvariantCheck = (events) => {
  const confirmedGrants = new Map<string, ConfirmedGrant[]>();
  return eventsOf(events, "granted").flatMap((event) =>
    event.grants.flatMap((grant) => {
      const id = `${grant.group}\0${grant.epoch}`;
      const known = confirmedGrants.get(id) ?? [];
      confirmedGrants.set(id, known);
      const other = known.find((each) =>
        overlaps(each, grant) && !isSameIncarnation(each.event, event)
      );
      if (other) return [createViolation(other, event)];
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

function isSameIncarnation(
  left: EventOf<"granted">,
  right: EventOf<"granted">,
): boolean {
  return left.target === right.target && left.boot === right.boot;
}

function createViolation(
  known: ConfirmedGrant,
  event: EventOf<"granted">,
): Violation {
  return {
    invariant: InvariantName.assignmentDurability,
    message:
      `epoch ${known.epoch} of ${known.group} was confirmed by ${known.event.target} and later granted to ${event.target}`,
    events: [known.event, event],
  };
}

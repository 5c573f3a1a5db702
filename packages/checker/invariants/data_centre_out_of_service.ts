import type { TimedEvent } from "@kingcupglade/fakes";
import { calculateGraceEnd } from "../events.ts";
import type { EventOf } from "../events.ts";
import { InvariantName } from "../violation.ts";
import type { InvariantCheck, Violation } from "../violation.ts";

/** After the grace period an out-of-service data centre starts no request. */
export const checkDataCentreOutOfService: InvariantCheck = (
  events,
  options,
) => {
  const rolls = new Map<string, EventOf<"rollStarted">>();
  const outSince = new Map<string, EventOf<"rollEnded">>();
  const violations: Violation[] = [];
  for (const event of events) {
    if (event.kind === "rollStarted") {
      rolls.set(event.digest, event);
      for (const each of event.dataCentres) {
        if (each.inService) outSince.delete(each.name);
      }
    } else if (event.kind === "rollEnded" && event.outcome === "accepted") {
      recordOutOfService(outSince, rolls.get(event.digest), event);
    } else if (event.kind === "started") {
      const rollEnded = outSince.get(event.dataCentre);
      if (
        rollEnded &&
        event.at >
          calculateGraceEnd(events, rollEnded.at, options.graceMilliseconds)
      ) {
        violations.push(createViolation(rollEnded, event));
      }
    }
  }
  return violations;
};

function recordOutOfService(
  outSince: Map<string, EventOf<"rollEnded">>,
  rollStarted: EventOf<"rollStarted"> | undefined,
  rollEnded: EventOf<"rollEnded">,
): void {
  for (const { name, inService } of rollStarted?.dataCentres ?? []) {
    if (!inService && !outSince.has(name)) outSince.set(name, rollEnded);
  }
}

function createViolation(
  rollEnded: TimedEvent,
  started: EventOf<"started">,
): Violation {
  return {
    invariant: InvariantName.dataCentreOutOfService,
    message:
      `${started.target} started ${started.request} in ${started.dataCentre} ${
        (started.at - rollEnded.at).toFixed(0)
      } ms after it was taken out of service`,
    events: [rollEnded, started],
  };
}

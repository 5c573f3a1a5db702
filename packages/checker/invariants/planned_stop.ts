import type { TimedEvent } from "@kingcupglade/fakes";
import { eventsOf, groupBy } from "../events.ts";
import type { EventOf } from "../events.ts";
import { InvariantName } from "../violation.ts";
import type { InvariantCheck, Violation } from "../violation.ts";

const invariant = InvariantName.plannedStop;

/**
 * A VM responds to all requests that are in progress when its planned stop
 * begins, and a target completes all requests before its planned stop ends.
 */
export const checkPlannedStop: InvariantCheck = (events) =>
  eventsOf(events, "stopping").flatMap((stop) => {
    const stopped = events.find((each) =>
      each.kind === "stopped" && each.name === stop.name && each.at >= stop.at
    );
    if (crashedDuring(events, stop, stopped)) return [];
    return stop.subject === "vm"
      ? findRequestsInterruptedAtVm(events, stop)
      : findRequestsInterruptedAtTarget(events, stop, stopped);
  });

function crashedDuring(
  events: readonly TimedEvent[],
  stop: EventOf<"stopping">,
  stopped: TimedEvent | undefined,
): boolean {
  return eventsOf(events, "fault").some((fault) =>
    fault.name === stop.name && fault.fault === "crash" &&
    fault.at >= stop.at && fault.at <= (stopped?.at ?? Infinity)
  );
}

function findRequestsInterruptedAtVm(
  events: readonly TimedEvent[],
  stop: EventOf<"stopping">,
): readonly Violation[] {
  const responses = new Map(
    eventsOf(events, "responseReceived").map((each) => [each.request, each]),
  );
  return eventsOf(events, "requestSent").flatMap((request) => {
    const response = responses.get(request.request);
    const inProgress = request.vm === stop.address && request.at < stop.at &&
      response !== undefined && response.at > stop.at;
    return inProgress && (response.status === 0 || !response.whole)
      ? [{
        invariant,
        message:
          `${request.request} was interrupted by the stop of ${stop.name}`,
        events: [request, stop, response],
      }]
      : [];
  });
}

function findRequestsInterruptedAtTarget(
  events: readonly TimedEvent[],
  stop: EventOf<"stopping">,
  stopped: TimedEvent | undefined,
): readonly Violation[] {
  if (!stopped) return [];
  const ended = groupBy(
    eventsOf(events, "ended").filter((each) => each.target === stop.name),
    (each) => each.request,
  );
  return eventsOf(events, "started").filter((started) =>
    started.target === stop.name && started.at <= stopped.at &&
    isSameIncarnation(events, started, stop) &&
    !ended.get(started.request)?.some((each) => each.at <= stopped.at)
  ).map((started) => ({
    invariant,
    message: `${started.request} was interrupted by the stop of ${stop.name}`,
    events: [started, stop, stopped],
  }));
}

function isSameIncarnation(
  events: readonly TimedEvent[],
  started: EventOf<"started">,
  stop: EventOf<"stopping">,
): boolean {
  const current = eventsOf(events, "condition").findLast((each) =>
    each.target === stop.name && each.at <= stop.at
  );
  return current === undefined || current.boot === started.boot;
}

import type { TimedEvent } from "@kingcupglade/fakes";
import { eventsOf, groupBy } from "../events.ts";
import type { EventOf } from "../events.ts";
import { PromiseName } from "../violation.ts";
import type { PromiseCheck, Violation } from "../violation.ts";

const promise = PromiseName.plannedStop;

/**
 * Requests in progress when a planned stop began are answered by the VM that
 * stops, and ended by the target that stops.
 */
export const checkPlannedStop: PromiseCheck = (events) =>
  eventsOf(events, "stopping").flatMap((stop) => {
    const stopped = events.find((each) =>
      each.kind === "stopped" && each.name === stop.name && each.at >= stop.at
    );
    if (crashedDuring(events, stop, stopped)) return [];
    return stop.subject === "vm"
      ? cutAtVm(events, stop)
      : cutAtTarget(events, stop, stopped);
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

function cutAtVm(
  events: readonly TimedEvent[],
  stop: EventOf<"stopping">,
): readonly Violation[] {
  const told = new Map(
    eventsOf(events, "told").map((each) => [each.request, each]),
  );
  return eventsOf(events, "asked").flatMap((asked) => {
    const answer = told.get(asked.request);
    const inProgress = asked.vm === stop.address && asked.at < stop.at &&
      answer !== undefined && answer.at > stop.at;
    return inProgress && (answer.status === 0 || !answer.whole)
      ? [{
        promise,
        message: `${asked.request} was cut by the stop of ${stop.name}`,
        events: [asked, stop, answer],
      }]
      : [];
  });
}

function cutAtTarget(
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
    isOfSameBoot(events, started, stop) &&
    !ended.get(started.request)?.some((each) => each.at <= stopped.at)
  ).map((started) => ({
    promise,
    message: `${started.request} was cut by the stop of ${stop.name}`,
    events: [started, stop, stopped],
  }));
}

function isOfSameBoot(
  events: readonly TimedEvent[],
  started: EventOf<"started">,
  stop: EventOf<"stopping">,
): boolean {
  const current = eventsOf(events, "condition").findLast((each) =>
    each.target === stop.name && each.at <= stop.at
  );
  return current === undefined || current.boot === started.boot;
}

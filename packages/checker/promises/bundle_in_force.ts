import type { TimedEvent } from "@kingcupglade/fakes";
import { eventsOf, graceEnd } from "../events.ts";
import type { EventOf } from "../events.ts";
import { PromiseName } from "../violation.ts";
import type {
  PromiseCheck,
  ResolvedCheckOptions,
  Violation,
} from "../violation.ts";

const promise = PromiseName.bundleInForce;

/**
 * One version has one digest, no VM with a lease goes back, and after the
 * grace time no VM with a lease routes by an older version than the accepted.
 */
export const checkBundleInForce: PromiseCheck = (events, options) => [
  ...conflictingDigests(events),
  ...revertedAnswers(events),
  ...revertedVms(events),
  ...lateVms(events, options),
];

type Named = EventOf<"rolled"> | EventOf<"tableSeen">;

function namesBundle(event: TimedEvent): event is Named {
  return (event.kind === "rolled" && event.outcome !== "unanswered" &&
    event.outcome !== "refused") ||
    (event.kind === "tableSeen" && event.version > 0);
}

function conflictingDigests(
  events: readonly TimedEvent[],
): readonly Violation[] {
  const first = new Map<number, Named>();
  return events.filter(namesBundle).flatMap((event) => {
    const known = first.get(event.version);
    if (!known) first.set(event.version, event);
    return known && known.digest !== event.digest
      ? [{
        promise,
        message: `version ${event.version} was in force with two digests`,
        events: [known, event],
      }]
      : [];
  });
}

/** No answer names an older version than one accepted before it was sent. */
function revertedAnswers(events: readonly TimedEvent[]): readonly Violation[] {
  const answers = eventsOf(events, "rolled").filter(namesBundle);
  const accepted = answers.filter((each) => each.outcome === "accepted");
  return answers.flatMap((answer) => {
    const newer = accepted.find((each) =>
      each.at < answer.sentAt && each.version > answer.version
    );
    return newer
      ? [{
        promise,
        message:
          `an answer named version ${answer.version} after version ${newer.version} was accepted`,
        events: [newer, answer],
      }]
      : [];
  });
}

function revertedVms(events: readonly TimedEvent[]): readonly Violation[] {
  const latest = new Map<string, EventOf<"tableSeen">>();
  return eventsOf(events, "tableSeen").flatMap((seen) => {
    if (!seen.hasLease) return [];
    const before = latest.get(seen.vm);
    latest.set(seen.vm, seen);
    return before && seen.version < before.version
      ? [{
        promise,
        message:
          `${seen.vm} went back from version ${before.version} to ${seen.version}`,
        events: [before, seen],
      }]
      : [];
  });
}

function lateVms(
  events: readonly TimedEvent[],
  options: ResolvedCheckOptions,
): readonly Violation[] {
  const accepted = eventsOf(events, "rolled").filter((each) =>
    each.outcome === "accepted"
  );
  const due = accepted.map((each) =>
    graceEnd(events, each.at, options.graceMilliseconds)
  );
  return eventsOf(events, "tableSeen").flatMap((seen) => {
    if (!seen.hasLease) return [];
    const missed = accepted.find((each, index) =>
      seen.version < each.version && seen.at > due[index]!
    );
    return missed
      ? [{
        promise,
        message: `${seen.vm} routed by version ${seen.version} ${
          (seen.at - missed.at).toFixed(0)
        } ms after version ${missed.version} was accepted`,
        events: [missed, seen],
      }]
      : [];
  });
}

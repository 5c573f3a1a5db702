import type { TimedEvent } from "@kingcupglade/fakes";
import { calculateGraceEnd, eventsOf } from "../events.ts";
import type { EventOf } from "../events.ts";
import { InvariantName } from "../violation.ts";
import type {
  InvariantCheck,
  ResolvedCheckOptions,
  Violation,
} from "../violation.ts";

const invariant = InvariantName.bundleInForce;

/**
 * Each version has one digest, no VM with a lease returns to an older version,
 * and after the grace period no VM with a lease routes by a version older than
 * the accepted one.
 */
export const checkBundleInForce: InvariantCheck = (events, options) => [
  ...findConflictingDigests(events),
  ...findRevertedResponses(events),
  ...findRevertedVms(events),
  ...findStaleVms(events, options),
];

type BundleObservation = EventOf<"rollEnded"> | EventOf<"tableObserved">;

function isBundleObservation(event: TimedEvent): event is BundleObservation {
  return (event.kind === "rollEnded" && event.outcome !== "unanswered" &&
    event.outcome !== "refused") ||
    (event.kind === "tableObserved" && event.version > 0);
}

function findConflictingDigests(
  events: readonly TimedEvent[],
): readonly Violation[] {
  const first = new Map<number, BundleObservation>();
  return events.filter(isBundleObservation).flatMap((event) => {
    const known = first.get(event.version);
    if (!known) first.set(event.version, event);
    return known && known.digest !== event.digest
      ? [{
        invariant,
        message: `version ${event.version} was in force with two digests`,
        events: [known, event],
      }]
      : [];
  });
}

/** A response names no version older than one accepted before its request. */
function findRevertedResponses(
  events: readonly TimedEvent[],
): readonly Violation[] {
  const responses = eventsOf(events, "rollEnded").filter(isBundleObservation);
  const accepted = responses.filter((each) => each.outcome === "accepted");
  return responses.flatMap((response) => {
    const newer = accepted.find((each) =>
      each.at < response.sentAt && each.version > response.version
    );
    return newer
      ? [{
        invariant,
        message:
          `a response named version ${response.version} after version ${newer.version} was accepted`,
        events: [newer, response],
      }]
      : [];
  });
}

function findRevertedVms(events: readonly TimedEvent[]): readonly Violation[] {
  const latest = new Map<string, EventOf<"tableObserved">>();
  return eventsOf(events, "tableObserved").flatMap((observation) => {
    if (!observation.hasLease) return [];
    const before = latest.get(observation.vm);
    latest.set(observation.vm, observation);
    return before && observation.version < before.version
      ? [{
        invariant,
        message:
          `${observation.vm} reverted from version ${before.version} to ${observation.version}`,
        events: [before, observation],
      }]
      : [];
  });
}

function findStaleVms(
  events: readonly TimedEvent[],
  options: ResolvedCheckOptions,
): readonly Violation[] {
  const accepted = eventsOf(events, "rollEnded").filter((each) =>
    each.outcome === "accepted"
  );
  const deadlines = accepted.map((each) =>
    calculateGraceEnd(events, each.at, options.graceMilliseconds)
  );
  return eventsOf(events, "tableObserved").flatMap((observation) => {
    if (!observation.hasLease) return [];
    const missed = accepted.find((each, index) =>
      observation.version < each.version && observation.at > deadlines[index]!
    );
    return missed
      ? [{
        invariant,
        message: `${observation.vm} routed by version ${observation.version} ${
          (observation.at - missed.at).toFixed(0)
        } ms after version ${missed.version} was accepted`,
        events: [missed, observation],
      }]
      : [];
  });
}

import type { TimedEvent } from "@kingcupglade/fakes";
import { eventsOf, groupBy } from "../events.ts";
import type { EventOf } from "../events.ts";
import { deriveOwnershipSpans } from "../ownership_spans.ts";
import type { OwnershipSpan } from "../ownership_spans.ts";
import { InvariantName } from "../violation.ts";
import type { InvariantCheck, Violation } from "../violation.ts";

const invariant = InvariantName.singleOwner;

/** A position has at most one owner at a time, and only owners run requests. */
export const checkSingleOwner: InvariantCheck = (events) => [
  ...findOverlappingOwners(deriveOwnershipSpans(events)),
  ...findEffectsOfNonOwners(events),
  ...findDecreasingEpochs(events),
];

function findOverlappingOwners(
  spans: readonly OwnershipSpan[],
): readonly Violation[] {
  return [...groupBy(spans, (span) => span.group).values()].flatMap((group) => {
    const sorted = [...group].sort((left, right) => left.from - right.from);
    let openSpans: OwnershipSpan[] = [];
    return sorted.flatMap((span) => {
      openSpans = openSpans.filter((each) => each.until > span.from);
      const other = openSpans.find((each) => isConflict(each, span));
      openSpans.push(span);
      return other ? [createOverlapViolation(other, span)] : [];
    });
  });
}

function isConflict(left: OwnershipSpan, right: OwnershipSpan): boolean {
  const isSameIncarnation = left.target === right.target &&
    left.boot === right.boot;
  return !isSameIncarnation && left.start < right.end && right.start < left.end;
}

function createOverlapViolation(
  left: OwnershipSpan,
  right: OwnershipSpan,
): Violation {
  return {
    invariant: invariant,
    message:
      `${left.target} and ${right.target} both own positions of ${right.group} ` +
      `from ${right.from.toFixed(1)} to ${
        Math.min(left.until, right.until).toFixed(1)
      } ms`,
    events: [left.granted, right.granted],
  };
}

/** A fence-checking target has effects only while it owns the position. */
function findEffectsOfNonOwners(
  events: readonly TimedEvent[],
): readonly Violation[] {
  const starts = new Map(
    eventsOf(events, "started").map((each) => [executionId(each), each]),
  );
  const spans = groupBy(
    deriveOwnershipSpans(events),
    (span) => `${span.target}\0${span.boot}`,
  );
  return eventsOf(events, "effect").flatMap((effect) => {
    const started = starts.get(executionId(effect));
    if (!started || started.group === "" || !started.checksFences) return [];
    const ownSpans = spans.get(`${started.target}\0${started.boot}`) ?? [];
    const wasOwner = ownSpans.some((span) =>
      span.group === started.group && span.epoch === started.epoch &&
      span.start <= started.position && started.position < span.end &&
      span.from <= effect.at && effect.at <= span.until
    );
    return wasOwner ? [] : [{
      invariant,
      message:
        `${started.request} took effect at ${started.target}, which did not own its position at that time`,
      events: [started, effect],
    }];
  });
}

/** The epochs of the effects on one position never decrease. */
function findDecreasingEpochs(
  events: readonly TimedEvent[],
): readonly Violation[] {
  const starts = new Map(
    eventsOf(events, "started").map((each) => [executionId(each), each]),
  );
  const latest = new Map<string, EventOf<"started">>();
  return eventsOf(events, "effect").flatMap((effect) => {
    const started = starts.get(executionId(effect));
    if (!started || started.group === "") return [];
    const key = `${started.group}\0${started.position}`;
    const before = latest.get(key);
    if (!before || before.epoch <= started.epoch) latest.set(key, started);
    return before && before.epoch > started.epoch
      ? [{
        invariant,
        message:
          `${started.request} took effect under epoch ${started.epoch} after a request under epoch ${before.epoch}`,
        events: [before, started, effect],
      }]
      : [];
  });
}

function executionId(
  event: { readonly target: string; readonly request: string },
): string {
  return `${event.target}\0${event.request}`;
}

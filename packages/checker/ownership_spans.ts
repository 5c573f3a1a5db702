import type { TimedEvent } from "@kingcupglade/fakes";
import type { EventOf } from "./events.ts";

/** A period in which one incarnation of a target owned a range. */
export interface OwnershipSpan {
  readonly group: string;
  /** First position of the range. */
  readonly start: number;
  /** Position after the last one of the range. */
  readonly end: number;
  readonly epoch: number;
  readonly target: string;
  readonly boot: string;
  /** Start of the span as a time of the history, in milliseconds. */
  readonly from: number;
  /** End of the span in milliseconds; Infinity if the history ends earlier. */
  readonly until: number;
  readonly granted: EventOf<"granted">;
}

interface IncarnationOwnership {
  granted: EventOf<"granted"> | undefined;
  from: number;
  leaseUntil: number;
}

/** Derives who owned which range when, according to the targets' own clocks. */
export function deriveOwnershipSpans(
  events: readonly TimedEvent[],
): readonly OwnershipSpan[] {
  const spans: OwnershipSpan[] = [];
  const ownerships = new Map<string, IncarnationOwnership>();
  for (const event of events) {
    if (
      event.kind !== "granted" && event.kind !== "leased" &&
      event.kind !== "lapsed"
    ) continue;
    const id = `${event.target}\0${event.boot}`;
    const ownership = ownerships.get(id) ??
      { granted: undefined, from: 0, leaseUntil: -Infinity };
    ownerships.set(id, ownership);
    if (event.kind === "leased") renewLease(ownership, event, spans);
    else {
      closeSpans(ownership, event.at, spans);
      ownership.granted = event.kind === "granted" ? event : undefined;
      ownership.from = event.at;
    }
  }
  for (const each of ownerships.values()) closeSpans(each, Infinity, spans);
  return spans;
}

// Ownership ends when the lease lapses; a later lease does not restore it.
function renewLease(
  ownership: IncarnationOwnership,
  event: EventOf<"leased">,
  spans: OwnershipSpan[],
): void {
  if (event.at >= ownership.leaseUntil) {
    closeSpans(ownership, event.at, spans);
    ownership.granted = undefined;
  }
  ownership.leaseUntil = Math.max(ownership.leaseUntil, event.until);
}

function closeSpans(
  ownership: IncarnationOwnership,
  at: number,
  spans: OwnershipSpan[],
): void {
  const { granted, from } = ownership;
  const until = Math.min(at, ownership.leaseUntil);
  if (!granted || until <= from) return;
  for (const grant of granted.grants) {
    const { target, boot } = granted;
    spans.push({ ...grant, target, boot, from, until, granted });
  }
}

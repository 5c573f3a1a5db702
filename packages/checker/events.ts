import type { HistoryEvent, TimedEvent } from "@kingcupglade/fakes";

/** A timed event of one kind. */
export type EventOf<Kind extends HistoryEvent["kind"]> = Extract<
  TimedEvent,
  { readonly kind: Kind }
>;

/** Returns the events of one kind in their original order. */
export function eventsOf<Kind extends HistoryEvent["kind"]>(
  events: readonly TimedEvent[],
  kind: Kind,
): readonly EventOf<Kind>[] {
  return events.filter((event): event is EventOf<Kind> => event.kind === kind);
}

/** Groups items by key and keeps their order within each group. */
export function groupBy<Item>(
  items: readonly Item[],
  keyOf: (item: Item) => string,
): ReadonlyMap<string, readonly Item[]> {
  const groups = new Map<string, Item[]>();
  for (const item of items) {
    const list = groups.get(keyOf(item));
    if (list) list.push(item);
    else groups.set(keyOf(item), [item]);
  }
  return groups;
}

/**
 * Returns the time at which a grace period from `start` ends, in milliseconds.
 * Periods in which the whole run was suspended do not count.
 */
export function calculateGraceEnd(
  events: readonly TimedEvent[],
  start: number,
  graceMilliseconds: number,
): number {
  let end = start + graceMilliseconds;
  for (const suspension of eventsOf(events, "stalled")) {
    const overlaps = suspension.at >= start &&
      suspension.at - suspension.milliseconds <= end;
    if (overlaps) end += suspension.milliseconds;
  }
  return end;
}

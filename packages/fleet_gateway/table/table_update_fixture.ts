import type { ViewDelta } from "@kingcupglade/fleet";

/** Returns an update up to a log entry that changes nothing else. */
export function createUpdate(
  index: number,
  more: Partial<ViewDelta> = {},
): ViewDelta {
  return {
    position: { index, term: 1, revision: index, isComplete: true },
    items: [],
    itemsDigest: null,
    tableDigest: null,
    dataCentresOut: [],
    departed: [],
    targets: [],
    areTargetsComplete: false,
    removedTargets: [],
    ranges: [],
    gateways: 9,
    managers: null,
    relays: null,
    suspects: null,
    control: null,
    ...more,
  };
}

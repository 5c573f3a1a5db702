import { applyChange } from "@kingcupglade/items";
import { decodeValue, encodeValue } from "@kingcupglade/protocol";
import { changeBorrowers } from "@kingcupglade/quotas";
import type { BorrowerBounds } from "@kingcupglade/quotas";
import { ReplicatedStateMachine } from "@kingcupglade/replica";
import { lastPosition } from "./types.ts";
import type {
  FleetCommand,
  FleetOutcome,
  FleetState,
  KeyRange,
  RangeGrant,
} from "./types.ts";

/**
 * Maximum number of departures kept; they prevent a late heartbeat from
 * restoring a departed target.
 */
const maximumDepartures = 4096;

/** State before the first command is applied. */
export const emptyFleetState: FleetState = {
  items: new Map(),
  evacuations: new Map(),
  ranges: new Map(),
  departures: new Map(),
  borrowers: new Map(),
};

type Rows<Value> = Value extends ReadonlyMap<infer Key, infer Item>
  ? readonly (readonly [Key, Item])[]
  : never;

/** A snapshot. */
type StoredState =
  & {
    readonly [Key in Exclude<keyof FleetState, "borrowers">]: Rows<
      FleetState[Key]
    >;
  }
  & {
    /** Absent if there are none, as in snapshots of earlier releases. */
    readonly borrowers?: readonly (readonly [
      string,
      Rows<BorrowerBounds>,
    ])[];
  };

interface ApplyResult {
  readonly state: FleetState;
  readonly outcome: FleetOutcome;
}

/**
 * Replicated state machine for the configuration items and the key ownership.
 */
export class FleetMachine
  extends ReplicatedStateMachine<FleetState, FleetCommand, FleetOutcome> {
  override restore(data: Uint8Array): FleetState {
    if (data.length === 0) return emptyFleetState;
    const { borrowers = [], ...stored } = decodeValue<StoredState>(data);
    return {
      items: new Map(stored.items),
      evacuations: new Map(stored.evacuations),
      ranges: new Map(stored.ranges),
      departures: new Map(stored.departures),
      borrowers: new Map(
        borrowers.map(([id, bounds]) => [id, new Map(bounds)]),
      ),
    };
  }

  override encode(state: FleetState): Uint8Array {
    const borrowers = [...state.borrowers].map(([id, bounds]) =>
      [id, [...bounds]] as const
    );
    const stored: StoredState = {
      items: [...state.items],
      evacuations: [...state.evacuations],
      ranges: [...state.ranges],
      departures: [...state.departures],
      ...(borrowers.length > 0 && { borrowers }),
    };
    return encodeValue(stored);
  }

  override skip(state: FleetState): FleetState {
    return state;
  }

  override apply(
    state: FleetState,
    command: FleetCommand,
    index: number,
  ): ApplyResult {
    switch (command.kind) {
      case "changeItems":
        return changeItems(state, command.change, index);
      case "evacuate":
        return appliedResult({
          ...state,
          evacuations: new Map(state.evacuations).set(command.dataCentre, {
            isOut: command.isOut,
            changedAt: index,
          }),
        });
      case "depart":
        return depart(state, command, index);
      case "createRanges":
        return createRanges(state, command);
      case "grantRanges":
        return grantRanges(state, command, index);
      case "splitRanges":
        return splitRanges(state, command);
      case "changeBorrowers":
        return appliedResult({
          ...state,
          borrowers: changeBorrowers(state.borrowers, command),
        });
    }
  }
}

function appliedResult(state: FleetState): ApplyResult {
  return { state, outcome: { kind: "applied" } };
}

function changeItems(
  state: FleetState,
  change: Extract<FleetCommand, { kind: "changeItems" }>["change"],
  index: number,
): ApplyResult {
  const result = applyChange(state.items, change, index);
  if (result.kind === "refused") return { state, outcome: result };
  return appliedResult({ ...state, items: result.items });
}

function depart(
  state: FleetState,
  command: Extract<FleetCommand, { kind: "depart" }>,
  index: number,
): ApplyResult {
  const { target, bornAt, departure } = command;
  const known = state.departures.get(target);
  if (known && known.bornAt > bornAt) return appliedResult(state);
  const departures = new Map(state.departures);
  // Deleted first, so that the newest departure is last in the map.
  departures.delete(target);
  departures.set(target, { kind: departure, bornAt, changedAt: index });
  for (const oldest of departures.keys()) {
    if (departures.size <= maximumDepartures) break;
    departures.delete(oldest);
  }
  return appliedResult({ ...state, departures });
}

function createRanges(
  state: FleetState,
  command: Extract<FleetCommand, { kind: "createRanges" }>,
): ApplyResult {
  const { service, ranges: count } = command;
  if (state.ranges.has(service)) return appliedResult(state);
  const positions = lastPosition + 1;
  const created = Array.from({ length: count }, (_, at): KeyRange => ({
    from: Math.floor(at * positions / count),
    to: Math.floor((at + 1) * positions / count) - 1,
    owner: null,
    fence: 0,
    handover: "",
  }));
  return appliedResult({
    ...state,
    ranges: new Map(state.ranges).set(service, created),
  });
}

function grantRanges(
  state: FleetState,
  command: Extract<FleetCommand, { kind: "grantRanges" }>,
  index: number,
): ApplyResult {
  const { service, grants } = command;
  const ranges = state.ranges.get(service);
  const byStart = new Map(grants.map((grant) => [grant.from, grant]));
  const isStale = !ranges ||
    grants.some((grant) =>
      !ranges.some((range) =>
        range.from === grant.from && range.fence === grant.expectedFence
      )
    );
  if (isStale) {
    const faults = [
      `ranges of "${service}" have changed since the grant was planned`,
    ];
    return { state, outcome: { kind: "refused", faults } };
  }
  const granted = ranges.map((range) =>
    applyGrant(range, byStart.get(range.from), index)
  );
  return appliedResult({
    ...state,
    ranges: new Map(state.ranges).set(service, granted),
  });
}

function splitRanges(
  state: FleetState,
  command: Extract<FleetCommand, { kind: "splitRanges" }>,
): ApplyResult {
  const { service, cuts } = command;
  const ranges = (state.ranges.get(service) ?? []).flatMap((range) =>
    splitRange(range, cuts)
  );
  return appliedResult({
    ...state,
    ranges: new Map(state.ranges).set(service, ranges),
  });
}

// Each part keeps the owner and fence of the range.
function splitRange(range: KeyRange, cuts: readonly number[]): KeyRange[] {
  const starts = [
    range.from,
    ...cuts.filter((cut) => cut > range.from && cut <= range.to)
      .sort((left, right) => left - right),
  ];
  return starts.map((from, at) => ({
    ...range,
    from,
    to: (starts[at + 1] ?? range.to + 1) - 1,
  }));
}

function applyGrant(
  range: KeyRange,
  grant: RangeGrant | undefined,
  index: number,
): KeyRange {
  if (!grant) return range;
  const { owner, handover } = grant;
  return { ...range, owner, handover, fence: index };
}

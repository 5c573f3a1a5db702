import type {
  PositionDemand,
  RangeView,
  TargetView,
} from "@kingcupglade/fleet";

/** A target, its values by position. */
export type TargetRow = readonly [
  name: string,
  service: string,
  address: string,
  dataCentre: string,
  slots: number,
  flags: number,
  coldGateways: readonly string[],
  maximumPerSecond: number | null,
  limitGateways: readonly string[],
  bornAt: number,
];

/** A range of one service, its values by position. */
type RangeRow = readonly [
  from: number,
  to: number,
  owner: string,
  fence: number,
  isMoving: number,
];

/**
 * Counts for the positions of one service, as alternating positions and counts.
 */
export type DemandGroup = readonly [service: string, counts: readonly number[]];

/** Ranges of one service. */
export type RangeGroup = readonly [service: string, rows: readonly RangeRow[]];

const TargetFlag = { leaving: 1, cold: 2 } as const;

/** Groups counts by service. */
export function demandGroups(
  rows: readonly PositionDemand[],
): readonly DemandGroup[] {
  const groups = new Map<string, number[]>();
  for (const { service, position, count } of rows) {
    const counts = groups.get(service) ?? [];
    groups.set(service, counts);
    counts.push(position, count);
  }
  return [...groups];
}

/** Returns the counts of one service. */
export function demandRows(
  [service, counts]: DemandGroup,
): readonly PositionDemand[] {
  const rows: PositionDemand[] = [];
  for (let at = 0; at + 1 < counts.length; at += 2) {
    rows.push({ service, position: counts[at]!, count: counts[at + 1]! });
  }
  return rows;
}

/** Returns the row of a target. */
export function targetRow(target: TargetView): TargetRow {
  const flags = (target.isLeaving ? TargetFlag.leaving : 0) |
    (target.isCold ? TargetFlag.cold : 0);
  return [
    target.name,
    target.service,
    target.address,
    target.dataCentre,
    target.slots,
    flags,
    target.coldGateways,
    target.maximumPerSecond,
    target.limitGateways,
    target.bornAt,
  ];
}

/** Returns the target of a row. */
export function targetView(row: TargetRow): TargetView {
  const [name, service, address, dataCentre, slots, flags, coldGateways] = row;
  const [, , , , , , , maximumPerSecond, limitGateways, bornAt] = row;
  return {
    name,
    // A leader of an earlier version sends rows without it.
    bornAt: bornAt ?? 0,
    service,
    address,
    dataCentre,
    slots,
    isLeaving: (flags & TargetFlag.leaving) !== 0,
    isCold: (flags & TargetFlag.cold) !== 0,
    coldGateways,
    // A leader of an earlier version sends rows without limits.
    maximumPerSecond: maximumPerSecond ?? null,
    limitGateways: limitGateways ?? [],
  };
}

/** Groups ranges by service. */
export function rangeGroups(
  ranges: readonly RangeView[],
): readonly RangeGroup[] {
  const groups = new Map<string, RangeRow[]>();
  for (const { service, from, to, owner, fence, isMoving } of ranges) {
    const rows = groups.get(service) ?? [];
    groups.set(service, rows);
    rows.push([from, to, owner, fence, isMoving ? 1 : 0]);
  }
  return [...groups];
}

/** Returns the ranges of all groups. */
export function rangeViews(
  groups: readonly RangeGroup[],
): readonly RangeView[] {
  return groups.flatMap(([service, rows]) =>
    rows.map((row) => rangeView(service, row))
  );
}

function rangeView(
  service: string,
  [from, to, owner, fence, isMoving]: RangeRow,
): RangeView {
  return { service, from, to, owner, fence, isMoving: isMoving === 1 };
}

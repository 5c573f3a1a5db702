import type {
  PositionDemand,
  RangeView,
  TargetView,
  ViewDelta,
} from "@kingcupglade/fleet";
import { packValue, unpackValue } from "./packed_value.ts";
import type { Watch, WatchAnswer, WatchOwnPart } from "./watch.ts";

type TargetRow = readonly [
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
type DemandGroup = readonly [service: string, counts: readonly number[]];

const TargetFlag = { leaving: 1, cold: 2 } as const;

/** Encodes a watch request. */
export function encodeWatch(watch: Watch): Uint8Array<ArrayBuffer> {
  const { demand, ...rest } = watch;
  return packValue({ ...rest, demand: demandGroups(demand) });
}

/**
 * Decodes a watch request.
 *
 * @throws {WireError} when the bytes are not a watch request.
 */
export function decodeWatch(bytes: Uint8Array): Watch {
  const { demand, ...rest } = unpackValue<
    Omit<Watch, "demand"> & { readonly demand: readonly DemandGroup[] }
  >(bytes);
  // A gateway of an earlier version does not report these.
  const { limits = [], suspects = [], leaving = [], isCutOff = false } =
    rest as Partial<Watch>;
  const { features = [], quotas = [] } = rest as Partial<Watch>;
  return {
    ...rest,
    isCutOff,
    limits,
    suspects,
    leaving,
    features,
    quotas,
    demand: demand.flatMap(demandRows),
  };
}

/** Encodes the response to a watch request. */
export function encodeWatchAnswer(
  answer: WatchAnswer,
): Uint8Array<ArrayBuffer> {
  if (answer.kind !== "news") return packValue(answer);
  const { targets, ranges, ...rest } = answer.delta;
  return packValue({
    kind: answer.kind,
    delta: rest,
    targets: targets.map(targetRow),
    ranges: rangeGroups(ranges),
  });
}

/**
 * Decodes the response to a watch request.
 *
 * @throws {WireError} when the bytes are not a watch response.
 */
export function decodeWatchAnswer(bytes: Uint8Array): WatchAnswer {
  const answer = unpackValue<
    | Exclude<WatchAnswer, { readonly kind: "news" }>
    | {
      readonly kind: "news";
      readonly delta: Omit<ViewDelta, "targets" | "ranges">;
      readonly targets: readonly TargetRow[];
      readonly ranges: readonly (readonly [string, readonly RangeRow[]])[];
    }
  >(bytes);
  if (answer.kind !== "news") return answer;
  return {
    kind: answer.kind,
    delta: {
      ...answer.delta,
      // A leader of an earlier version sends none of these.
      itemsDigest: answer.delta.itemsDigest ?? null,
      suspects: answer.delta.suspects ?? null,
      relays: answer.delta.relays ?? null,
      targets: answer.targets.map(targetView),
      ranges: answer.ranges.flatMap(([service, rows]) =>
        rows.map((row) => rangeView(service, row))
      ),
    },
  };
}

/** Encodes the part of a watch response for one gateway alone. */
export function encodeWatchOwnPart(
  part: WatchOwnPart,
): Uint8Array<ArrayBuffer> {
  return packValue(part);
}

/**
 * Decodes the part of a watch response for one gateway alone; an earlier release
 * sends no bytes, which is an empty part.
 *
 * @throws {WireError} when the bytes are no such part.
 */
export function decodeWatchOwnPart(bytes: Uint8Array): WatchOwnPart {
  return bytes.length === 0 ? {} : unpackValue<WatchOwnPart>(bytes);
}

function demandGroups(rows: readonly PositionDemand[]): readonly DemandGroup[] {
  const groups = new Map<string, number[]>();
  for (const { service, position, count } of rows) {
    const counts = groups.get(service) ?? [];
    groups.set(service, counts);
    counts.push(position, count);
  }
  return [...groups];
}

function demandRows([service, counts]: DemandGroup): readonly PositionDemand[] {
  const rows: PositionDemand[] = [];
  for (let at = 0; at + 1 < counts.length; at += 2) {
    rows.push({ service, position: counts[at]!, count: counts[at + 1]! });
  }
  return rows;
}

function targetRow(target: TargetView): TargetRow {
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

function targetView(row: TargetRow): TargetView {
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

function rangeGroups(
  ranges: readonly RangeView[],
): readonly (readonly [string, readonly RangeRow[]])[] {
  const groups = new Map<string, RangeRow[]>();
  for (const { service, from, to, owner, fence, isMoving } of ranges) {
    const rows = groups.get(service) ?? [];
    groups.set(service, rows);
    rows.push([from, to, owner, fence, isMoving ? 1 : 0]);
  }
  return [...groups];
}

function rangeView(
  service: string,
  [from, to, owner, fence, isMoving]: RangeRow,
): RangeView {
  return { service, from, to, owner, fence, isMoving: isMoving === 1 };
}

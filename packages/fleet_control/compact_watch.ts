import type {
  CrashSuspect,
  TargetDuration,
  TargetIncarnation,
  TargetLimitReport,
  ViewDelta,
  VmEndpoint,
} from "@kingcupglade/fleet";
import type { StoredItem } from "@kingcupglade/items";
import { WireError } from "@kingcupglade/protocol";
import { Feature } from "./feature.ts";
import type { Watch, WatchAnswer } from "./watch.ts";
import { demandGroups, demandRows } from "./watch_rows.ts";
import type { DemandGroup, RangeGroup, TargetRow } from "./watch_rows.ts";
import {
  rangeGroups,
  rangeViews,
  targetRow,
  targetView,
} from "./watch_rows.ts";

/** First value of a compact message. */
const CompactKind = { watch: 1, update: 2 } as const;

const WatchFlag = { leaving: 1, cutOff: 2, search: 4, complete: 8 } as const;
const UpdateFlag = { complete: 1, allTargets: 2 } as const;

/** Features of every VM that sends compact messages. */
const impliedFeatures: readonly string[] = [
  Feature.workspaces,
  Feature.compactWatch,
];

/** What a watch request reports; a field that would be empty is left out. */
interface WatchReports {
  readonly demand?: readonly DemandGroup[];
  readonly durations?: readonly TargetDuration[];
  readonly limits?: readonly TargetLimitReport[];
  readonly leaving?: readonly TargetIncarnation[];
  readonly suspects?: readonly CrashSuspect[];
  readonly quotas?: readonly unknown[];
  /** Features beyond the implied ones. */
  readonly features?: readonly string[];
}

type WatchRow = readonly [
  kind: typeof CompactKind.watch,
  gateway: string,
  dataCentre: string,
  region: string,
  address: string,
  flags: number,
  index: number,
  term: number,
  revision: number,
  reports: WatchReports,
];

/** What has changed; a field without a change is left out. */
interface Changes {
  readonly dataCentresOut?: readonly string[];
  readonly departed?: readonly string[];
  readonly items?: readonly StoredItem[];
  readonly targets?: readonly TargetRow[];
  readonly removedTargets?: readonly string[];
  readonly ranges?: readonly RangeGroup[];
  readonly managers?: readonly VmEndpoint[];
  readonly relays?: readonly VmEndpoint[];
  readonly suspects?: readonly CrashSuspect[];
  readonly control?: readonly string[];
}

type UpdateRow = readonly [
  kind: typeof CompactKind.update,
  flags: number,
  index: number,
  term: number,
  revision: number,
  itemsDigest: number | null,
  gateways: number,
  changes: Changes,
  /** Absent from leaders of earlier releases. */
  tableDigest?: number | null,
];

/**
 * Returns the compact form of a watch request: its values by position, as the
 * names of fields are most of the bytes of a request without reports.
 */
export function compactWatchOf(watch: Watch): WatchRow {
  const { position, demand, durations, limits, leaving, suspects } = watch;
  const features = watch.features.filter((each) =>
    !impliedFeatures.includes(each)
  );
  return [
    CompactKind.watch,
    watch.gateway,
    watch.dataCentre,
    watch.region,
    watch.address,
    (watch.isLeaving ? WatchFlag.leaving : 0) |
    (watch.isCutOff ? WatchFlag.cutOff : 0) |
    (watch.isSearch ? WatchFlag.search : 0) |
    (position.isComplete ? WatchFlag.complete : 0),
    position.index,
    position.term,
    position.revision,
    withoutEmpty({
      demand: demandGroups(demand),
      durations,
      limits,
      leaving,
      suspects,
      quotas: watch.quotas,
      features,
    }),
  ];
}

/** Returns the compact form of an update. */
export function compactUpdateOf(delta: ViewDelta): UpdateRow {
  const { position } = delta;
  return [
    CompactKind.update,
    (position.isComplete ? UpdateFlag.complete : 0) |
    (delta.areTargetsComplete ? UpdateFlag.allTargets : 0),
    position.index,
    position.term,
    position.revision,
    delta.itemsDigest,
    delta.gateways,
    {
      ...withoutEmpty({
        dataCentresOut: delta.dataCentresOut,
        departed: delta.departed,
        items: delta.items,
        targets: delta.targets.map(targetRow),
        removedTargets: delta.removedTargets,
        ranges: rangeGroups(delta.ranges),
      }),
      // An empty list differs from no change here.
      ...withoutNull({
        managers: delta.managers,
        relays: delta.relays,
        suspects: delta.suspects,
        control: delta.control,
      }),
    },
    delta.tableDigest,
  ];
}

/** Whether an unpacked message is in compact form. */
export function isCompact(value: unknown): value is readonly unknown[] {
  return Array.isArray(value);
}

/**
 * Returns the watch request of a compact message.
 *
 * @throws {WireError} when it is no watch request.
 */
export function watchOfCompact(value: readonly unknown[]): Watch {
  if (value[0] !== CompactKind.watch) throw unknownKind(value);
  const [, gateway, dataCentre, region, address, flags, ...rest] =
    value as unknown as WatchRow;
  const [index, term, revision, reports] = rest;
  const { demand = [], durations = [], limits = [], leaving = [] } = reports;
  const { suspects = [], quotas = [], features = [] } = reports;
  return {
    gateway,
    dataCentre,
    region,
    address,
    isLeaving: (flags & WatchFlag.leaving) !== 0,
    isCutOff: (flags & WatchFlag.cutOff) !== 0,
    isSearch: (flags & WatchFlag.search) !== 0,
    position: {
      index,
      term,
      revision,
      isComplete: (flags & WatchFlag.complete) !== 0,
    },
    demand: demand.flatMap(demandRows),
    durations,
    limits,
    leaving,
    suspects,
    quotas,
    features: [...impliedFeatures, ...features],
  };
}

/**
 * Returns the update of a compact message.
 *
 * @throws {WireError} when it is no update.
 */
export function updateOfCompact(
  value: readonly unknown[],
): Extract<WatchAnswer, { kind: "news" }> {
  if (value[0] !== CompactKind.update) throw unknownKind(value);
  const [, flags, index, term, revision, itemsDigest, gateways, ...rest] =
    value as unknown as UpdateRow;
  const [changes, tableDigest = null] = rest;
  const { targets = [], ranges = [] } = changes;
  return {
    kind: "news",
    delta: {
      position: {
        index,
        term,
        revision,
        isComplete: (flags & UpdateFlag.complete) !== 0,
      },
      itemsDigest,
      tableDigest,
      gateways,
      areTargetsComplete: (flags & UpdateFlag.allTargets) !== 0,
      dataCentresOut: changes.dataCentresOut ?? [],
      departed: changes.departed ?? [],
      items: changes.items ?? [],
      targets: targets.map(targetView),
      removedTargets: changes.removedTargets ?? [],
      ranges: rangeViews(ranges),
      managers: changes.managers ?? null,
      relays: changes.relays ?? null,
      suspects: changes.suspects ?? null,
      control: changes.control ?? null,
    },
  };
}

function withoutEmpty<Fields extends Record<string, readonly unknown[]>>(
  fields: Fields,
): Partial<Fields> {
  return Object.fromEntries(
    Object.entries(fields).filter(([, list]) => list.length > 0),
  ) as Partial<Fields>;
}

type Present<Fields> = {
  readonly [Key in keyof Fields]?: NonNullable<Fields[Key]>;
};

function withoutNull<Fields extends Record<string, unknown>>(
  fields: Fields,
): Present<Fields> {
  return Object.fromEntries(
    Object.entries(fields).filter(([, value]) => value !== null),
  ) as Present<Fields>;
}

function unknownKind([kind]: readonly unknown[]): WireError {
  return new WireError(`message of another VM has the unknown kind ${kind}`);
}

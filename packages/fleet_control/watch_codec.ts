import type { ViewDelta } from "@kingcupglade/fleet";
import {
  compactUpdateOf,
  compactWatchOf,
  isCompact,
  updateOfCompact,
  watchOfCompact,
} from "./compact_watch.ts";
import { packValue, unpackValue } from "./packed_value.ts";
import type { Watch, WatchAnswer, WatchOwnPart } from "./watch.ts";
import {
  demandGroups,
  demandRows,
  rangeGroups,
  rangeViews,
  targetRow,
  targetView,
} from "./watch_rows.ts";
import type { DemandGroup, RangeGroup, TargetRow } from "./watch_rows.ts";

/** Form of a message about a gateway's table. */
export interface WatchForm {
  /**
   * Whether it is in the compact form, which VMs of earlier releases do not
   * read.
   */
  readonly isCompact: boolean;
}

const namedForm: WatchForm = { isCompact: false };

/** Encodes a watch request. @default with named fields */
export function encodeWatch(
  watch: Watch,
  form = namedForm,
): Uint8Array<ArrayBuffer> {
  if (form.isCompact) return packValue(compactWatchOf(watch));
  const { demand, ...rest } = watch;
  return packValue({ ...rest, demand: demandGroups(demand) });
}

/**
 * Decodes a watch request.
 *
 * @throws {WireError} when the bytes are not a watch request.
 */
export function decodeWatch(bytes: Uint8Array): Watch {
  const value = unpackValue<
    Omit<Watch, "demand"> & { readonly demand: readonly DemandGroup[] }
  >(bytes);
  if (isCompact(value)) return watchOfCompact(value);
  const { demand, ...rest } = value;
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

/** Encodes the response to a watch request. @default with named fields */
export function encodeWatchAnswer(
  answer: WatchAnswer,
  form = namedForm,
): Uint8Array<ArrayBuffer> {
  if (answer.kind !== "news") return packValue(answer);
  if (form.isCompact) return packValue(compactUpdateOf(answer.delta));
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
      readonly ranges: readonly RangeGroup[];
    }
  >(bytes);
  if (isCompact(answer)) return updateOfCompact(answer);
  if (answer.kind !== "news") return answer;
  return {
    kind: answer.kind,
    delta: {
      ...answer.delta,
      // A leader of an earlier version sends none of these.
      itemsDigest: answer.delta.itemsDigest ?? null,
      tableDigest: answer.delta.tableDigest ?? null,
      suspects: answer.delta.suspects ?? null,
      relays: answer.delta.relays ?? null,
      targets: answer.targets.map(targetView),
      ranges: rangeViews(answer.ranges),
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

/** Whether the response to a watch request is in the compact form. */
export function isCompactAnswer(bytes: Uint8Array): boolean {
  return isCompact(unpackValue(bytes));
}

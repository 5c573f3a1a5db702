import { ExchangeEnd } from "@kingcupglade/dispatch";
import type { LoadReport } from "@kingcupglade/dispatch";
import { decodeValue, encodeValue, WireError } from "@kingcupglade/protocol";

/** Requests a slot of one of a manager's targets. */
export interface SlotRequest {
  readonly kind: "request";
  readonly id: number;
  readonly route: string;
  readonly service: string;
  readonly position: number | null;
  /** Targets that the request must not go to. */
  readonly tried: readonly string[];
  /** The only targets that it may go to; null for all. */
  readonly only: readonly string[] | null;
  /** Whether the slot is for a hedge of a request that is in flight. */
  readonly isHedge: boolean;
  /** Milliseconds since the request arrived, all attempts included. */
  readonly ageMilliseconds: number;
  /** Milliseconds until the request's deadline. */
  readonly leftMilliseconds: number;
  /** Name of the request's workspace; undefined for requests without one. */
  readonly workspace?: string;
}

/** Grants a slot. */
export interface SlotGrant {
  readonly kind: "grant";
  readonly id: number;
  readonly target: string;
}

/** Confirms that the request is queued at the manager. */
export interface SlotWait {
  readonly kind: "wait";
  readonly id: number;
  /** Expected time until the slot is granted. */
  readonly waitMilliseconds: number;
}

/** Refuses the request. */
export interface SlotRefusal {
  readonly kind: "refuse";
  readonly id: number;
  readonly reason: string;
  /** Expected time until a slot would have been granted; 0 when unknown. */
  readonly waitMilliseconds: number;
  /** Whether the manager does not know the requested route or service. */
  readonly isUnknown: boolean;
}

/** Releases a slot, or cancels a request. */
export interface SlotEnd {
  readonly kind: "end";
  readonly id: number;
  /** Null when the slot was not used. */
  readonly use: {
    readonly end: ExchangeEnd;
    readonly durationMilliseconds: number;
    readonly load: LoadReport | null;
    /** Whether the target holds the position's range; null when unknown. */
    readonly isHeld: boolean | null;
    /** Limit that the response named, in requests per second; null for none. */
    readonly maximumPerSecond: number | null;
  } | null;
}

/** Message between a gateway and a slot manager, sent as one datagram. */
export type SlotMessage =
  | SlotRequest
  | SlotGrant
  | SlotWait
  | SlotRefusal
  | SlotEnd;

/** Numbers that stand for the message kinds on the wire. */
const Kind = {
  request: 0,
  grant: 1,
  wait: 2,
  refuse: 3,
  end: 4,
} as const;

type LoadRow = readonly [
  running: number,
  waiting: number,
  slots: number,
  slowdown: number,
];

type UseRow = readonly [
  end: ExchangeEnd,
  durationMilliseconds: number,
  load: LoadRow | null,
  isHeld: boolean | null,
  /** Absent if the response named none, as in messages of earlier versions. */
  ...maximumPerSecond: readonly number[],
];

type SlotRow =
  | readonly [
    typeof Kind.request,
    id: number,
    route: string,
    service: string,
    position: number | null,
    tried: readonly string[],
    only: readonly string[] | null,
    isHedge: boolean,
    ageMilliseconds: number,
    leftMilliseconds: number,
    /** Absent if there is none, as in messages of earlier releases. */
    ...workspace: readonly string[],
  ]
  | readonly [typeof Kind.grant, id: number, target: string]
  | readonly [typeof Kind.wait, id: number, waitMilliseconds: number]
  | readonly [
    typeof Kind.refuse,
    id: number,
    reason: string,
    waitMilliseconds: number,
    isUnknown: boolean,
  ]
  | readonly [typeof Kind.end, id: number, use: UseRow | null];

type Check = (value: unknown) => boolean;

const isNumber: Check = (value) => Number.isFinite(value);
const isString: Check = (value) => typeof value === "string";
const isBoolean: Check = (value) => typeof value === "boolean";
const isEnd: Check = (value) =>
  Object.values(ExchangeEnd).includes(value as ExchangeEnd);
const isStrings: Check = (value) =>
  Array.isArray(value) && value.every(isString);
const orNull = (check: Check): Check => (value) =>
  value === null || check(value);
const isRow = (...checks: readonly Check[]): Check => (value) =>
  Array.isArray(value) && value.length === checks.length &&
  checks.every((check, at) => check(value[at]));

const useChecks = [
  isEnd,
  isNumber,
  orNull(isRow(isNumber, isNumber, isNumber, isNumber)),
  orNull(isBoolean),
];
const isUnlimitedUse = isRow(...useChecks);
const isLimitedUse = isRow(...useChecks, isNumber);
const isUse: Check = (value) => isUnlimitedUse(value) || isLimitedUse(value);

const requestChecks = [
  isNumber,
  isNumber,
  isString,
  isString,
  orNull(isNumber),
  isStrings,
  orNull(isStrings),
  isBoolean,
  isNumber,
  isNumber,
];
const isPlainRequest = isRow(...requestChecks);
const isWorkspaceRequest = isRow(...requestChecks, isString);

/**
 * Checks of each kind's row, written by hand because a schema library costs
 * more than the rest of the decoding.
 */
const rowChecks: Readonly<Record<number, Check>> = {
  [Kind.request]: (row) => isPlainRequest(row) || isWorkspaceRequest(row),
  [Kind.grant]: isRow(isNumber, isNumber, isString),
  [Kind.wait]: isRow(isNumber, isNumber, isNumber),
  [Kind.refuse]: isRow(isNumber, isNumber, isString, isNumber, isBoolean),
  [Kind.end]: isRow(isNumber, isNumber, orNull(isUse)),
};

/** Encodes a message together with the secret that all VMs share. */
export function encodeSlotMessage(
  message: SlotMessage,
  secret: string,
): Uint8Array {
  return encodeValue([secret, rowOf(message)]);
}

/**
 * Decodes a message from another VM.
 *
 * @throws {WireError} when the datagram is malformed or lacks the secret.
 */
export function decodeSlotMessage(
  bytes: Uint8Array,
  secret: string,
): SlotMessage {
  const value = decodeValue<unknown>(bytes);
  const [receivedSecret, row] = Array.isArray(value) ? value : [];
  const check = Array.isArray(row) ? rowChecks[row[0]] : undefined;
  if (receivedSecret !== secret || !check?.(row)) {
    throw new WireError(
      "the datagram holds no message of this fleet: malformed or wrong secret",
    );
  }
  return messageOf(row as SlotRow);
}

function rowOf(message: SlotMessage): SlotRow {
  switch (message.kind) {
    case "request":
      return [
        Kind.request,
        message.id,
        message.route,
        message.service,
        message.position,
        [...message.tried],
        message.only && [...message.only],
        message.isHedge,
        message.ageMilliseconds,
        message.leftMilliseconds,
        ...(message.workspace === undefined ? [] : [message.workspace]),
      ];
    case "grant":
      return [Kind.grant, message.id, message.target];
    case "wait":
      return [Kind.wait, message.id, message.waitMilliseconds];
    case "refuse": {
      const { reason, waitMilliseconds, isUnknown } = message;
      return [Kind.refuse, message.id, reason, waitMilliseconds, isUnknown];
    }
    case "end":
      return [Kind.end, message.id, message.use && useRow(message.use)];
  }
}

function messageOf(row: SlotRow): SlotMessage {
  const [kind, id] = row;
  switch (kind) {
    case Kind.request: {
      const [, , route, service, position, tried, only, isHedge, age, left] =
        row;
      const [, , , , , , , , , , workspace] = row;
      return {
        kind: "request",
        id,
        route,
        service,
        position,
        tried,
        only,
        isHedge,
        ageMilliseconds: age,
        leftMilliseconds: left,
        ...(workspace !== undefined && { workspace }),
      };
    }
    case Kind.grant:
      return { kind: "grant", id, target: row[2] };
    case Kind.wait:
      return { kind: "wait", id, waitMilliseconds: row[2] };
    case Kind.refuse: {
      const [, , reason, waitMilliseconds, isUnknown] = row;
      return { kind: "refuse", id, reason, waitMilliseconds, isUnknown };
    }
    case Kind.end:
      return { kind: "end", id, use: row[2] && useOf(row[2]) };
  }
}

type Use = NonNullable<SlotEnd["use"]>;

function useRow(use: Use): UseRow {
  const { end, durationMilliseconds, load, isHeld, maximumPerSecond } = use;
  const row: UseRow = [
    end,
    Math.round(durationMilliseconds),
    load && [load.running, load.waiting, load.slots, load.slowdown],
    isHeld,
  ];
  return maximumPerSecond === null ? row : [...row, maximumPerSecond];
}

function useOf(row: UseRow): Use {
  const [end, durationMilliseconds, load, isHeld, maximumPerSecond = null] =
    row;
  return {
    end,
    durationMilliseconds,
    load: load && {
      running: load[0],
      waiting: load[1],
      slots: load[2],
      slowdown: load[3],
    },
    isHeld,
    maximumPerSecond,
  };
}

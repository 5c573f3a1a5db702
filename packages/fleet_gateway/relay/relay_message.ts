import { timingSafeEqual } from "node:crypto";
import { decodeValue, encodeValue, WireError } from "@kingcupglade/protocol";

/** Header of a relayed request, and of the response to it. */
export const relayHeader = "kingcupglade-relay";

/**
 * Header of the response to a relayed request, which is in chunks, if its target
 * marked the end of the body by that of its connection alone.
 */
export const relayFramingHeader = "kingcupglade-relay-framing";

/** Only value of {@link relayFramingHeader}. */
export const openRelayFraming = "connection";

/**
 * Value of the header `te` of a relayed request whose gateway reads
 * {@link relayFramingHeader}. Gateways of earlier releases ignore it, and do not
 * forward that header.
 */
export const relayFramingCoding = "kingcupglade-open";

/** What a gateway tells another one about a request that it relays. */
export interface RelayRequest {
  /** Identifies the attempt; the response carries it as well. */
  readonly id: string;
  /** Name of the gateway that relays the request. */
  readonly from: string;
  readonly route: string;
  /** Version of the route; the other gateway must have the same. */
  readonly routeVersion: number;
  readonly service: string;
  /** Milliseconds since the request arrived at the first gateway. */
  readonly ageMilliseconds: number;
  /** Milliseconds in which the response must be complete. */
  readonly leftMilliseconds: number;
  /** Names of targets that the request has reached. */
  readonly arrived: readonly string[];
  /** Workspace of the request's key; undefined for requests that need none. */
  readonly workspace?: RelayedWorkspace;
  /**
   * Milliseconds in which it must be sent to a target, as the lease under which
   * its gateway counted it ends then; only with a workspace that has a limit.
   */
  readonly quotaLeftMilliseconds?: number;
}

/** Workspace of a relayed request. */
export interface RelayedWorkspace {
  readonly name: string;
  /** Digest of the key, as 64 hexadecimal digits; never the key. */
  readonly keyDigest: string;
}

/** What a gateway decides on a relayed request. */
export const RelayDecision = {
  /** The response is for the caller. */
  taken: "taken",
  /** Its table has another version of the route; the request was sent nowhere. */
  otherTable: "other-table",
  /** It takes no requests now; the request was sent nowhere. */
  unable: "unable",
} as const;
export type RelayDecision = typeof RelayDecision[keyof typeof RelayDecision];

/** What a gateway tells about a relayed request with its response. */
export interface RelayReply {
  readonly id: string;
  readonly decision: RelayDecision;
  /** Name of the target that responded; empty if none did. */
  readonly target: string;
}

type RequestRow = readonly [
  secret: string,
  id: string,
  from: string,
  route: string,
  routeVersion: number,
  service: string,
  ageMilliseconds: number,
  leftMilliseconds: number,
  arrived: readonly string[],
  /**
   * Name, digest, and milliseconds of the lease of the limit; each absent without
   * it, as in earlier releases.
   */
  ...workspace: readonly string[],
];

type ReplyRow = readonly [
  id: string,
  decision: RelayDecision,
  target: string,
];

/** Length of the row of a request without a workspace. */
const rowLength = 9;

/** Encodes the header of a relayed request. */
export function encodeRelayRequest(
  relay: RelayRequest,
  secret: string,
): string {
  const row: RequestRow = [
    secret,
    relay.id,
    relay.from,
    relay.route,
    relay.routeVersion,
    relay.service,
    Math.max(0, Math.round(relay.ageMilliseconds)),
    Math.max(1, Math.round(relay.leftMilliseconds)),
    relay.arrived,
    ...(relay.workspace
      ? [
        relay.workspace.name,
        relay.workspace.keyDigest,
        ...(relay.quotaLeftMilliseconds === undefined
          ? []
          : [String(Math.floor(relay.quotaLeftMilliseconds))]),
      ]
      : []),
  ];
  return encodeRow(row);
}

/**
 * Decodes the header of a relayed request.
 *
 * @throws {WireError} when it is malformed or lacks the secret.
 */
export function decodeRelayRequest(
  header: unknown,
  secret: string,
): RelayRequest {
  const row = decodeRow(header);
  if (!isRequestRow(row) || !isEqual(row[0], secret)) throw unreadable();
  const [, id, from, route, routeVersion, service, age, left, arrived] = row;
  const [name, keyDigest, quotaLeft] = row.slice(
    rowLength,
  ) as readonly string[];
  return {
    id,
    from,
    route,
    routeVersion,
    service,
    ageMilliseconds: age,
    leftMilliseconds: left,
    arrived,
    ...(name !== undefined && keyDigest !== undefined &&
      { workspace: { name, keyDigest } }),
    ...(quotaLeft !== undefined &&
      { quotaLeftMilliseconds: Number(quotaLeft) }),
  };
}

/** Encodes the header of the response to a relayed request. */
export function encodeRelayReply(reply: RelayReply): string {
  const row: ReplyRow = [reply.id, reply.decision, reply.target];
  return encodeRow(row);
}

/**
 * Decodes the header of the response to a relayed request.
 *
 * @throws {WireError} when it is malformed.
 */
export function decodeRelayReply(header: unknown): RelayReply {
  const row = decodeRow(header);
  if (!isReplyRow(row)) throw unreadable();
  const [id, decision, target] = row;
  return { id, decision, target };
}

function encodeRow(row: RequestRow | ReplyRow): string {
  return Buffer.from(encodeValue(row)).toString("base64url");
}

function decodeRow(header: unknown): unknown {
  if (typeof header !== "string") throw unreadable();
  return decodeValue(Buffer.from(header, "base64url"));
}

function isRequestRow(row: unknown): row is RequestRow {
  return Array.isArray(row) &&
    [0, 2, 3].includes(row.length - rowLength) &&
    !Number.isNaN(Number(row[rowLength + 2] ?? 0)) &&
    row.slice(rowLength).every((each) => typeof each === "string") &&
    [0, 1, 2, 3, 5].every((at) => typeof row[at] === "string") &&
    [4, 6, 7].every((at) => Number.isFinite(row[at])) &&
    row[6] >= 0 && row[7] > 0 && Array.isArray(row[8]) &&
    row[8].every((each) => typeof each === "string");
}

function isReplyRow(row: unknown): row is ReplyRow {
  return Array.isArray(row) && row.length === 3 &&
    typeof row[0] === "string" &&
    Object.values(RelayDecision).includes(row[1]) &&
    typeof row[2] === "string";
}

function isEqual(left: string, right: string): boolean {
  const [first, second] = [Buffer.from(left), Buffer.from(right)];
  return first.length === second.length && timingSafeEqual(first, second);
}

function unreadable(): WireError {
  return new WireError(
    "the request is not relayed by a gateway of this fleet: malformed or wrong secret",
  );
}

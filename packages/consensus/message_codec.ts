import type { ConsensusMessage } from "./types.ts";

type FieldOf<Kind extends ConsensusMessage["kind"]> = Exclude<
  keyof Extract<ConsensusMessage, { readonly kind: Kind }>,
  "kind" | "from" | "to" | "term"
>;

/**
 * The fields of each message kind, in the order in which they are encoded. A
 * kind is encoded as its position here, so the order is part of the format.
 */
const fieldsByKind: {
  readonly [Kind in ConsensusMessage["kind"]]: readonly FieldOf<Kind>[];
} = {
  preVoteRequest: ["lastIndex", "lastTerm"],
  preVoteResponse: ["granted"],
  voteRequest: ["lastIndex", "lastTerm", "transfer"],
  voteResponse: ["granted"],
  appendRequest: [
    "previousIndex",
    "previousTerm",
    "entries",
    "commitIndex",
    "sentAt",
  ],
  appendResponse: ["accepted", "index", "sentAt"],
  contactResponse: ["sentAt"],
  snapshotRequest: ["snapshot", "offset", "totalBytes", "sentAt"],
  snapshotResponse: ["snapshotIndex", "received", "sentAt"],
  timeoutNow: [],
};

const messageKinds = Object.keys(
  fieldsByKind,
) as readonly ConsensusMessage["kind"][];

/** Packs a message into an array of its values, without field names. */
export function packMessage(message: ConsensusMessage): readonly unknown[] {
  const values = message as unknown as Readonly<Record<string, unknown>>;
  return [
    messageKinds.indexOf(message.kind),
    message.from,
    message.to,
    message.term,
    ...fieldsByKind[message.kind].map((field) => values[field]),
  ];
}

/**
 * Unpacks a message without validating its values; returns undefined if the
 * input is not a packed message.
 */
export function unpackMessage(packed: unknown): unknown {
  if (!Array.isArray(packed)) return undefined;
  const [kindNumber, from, to, term, ...values] = packed;
  const kind = messageKinds[kindNumber];
  if (!kind || values.length !== fieldsByKind[kind].length) return undefined;
  const namedValues = fieldsByKind[kind].map((
    field,
    position,
  ) => [field, values[position]]);
  return { kind, from, to, term, ...Object.fromEntries(namedValues) };
}

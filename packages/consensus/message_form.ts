import type { ConsensusMessage } from "./types.ts";

type FieldOf<Kind extends ConsensusMessage["kind"]> = Exclude<
  keyof Extract<ConsensusMessage, { readonly kind: Kind }>,
  "kind" | "from" | "to" | "term"
>;

/** The fields of each kind in the order in which they are sent. */
const fields: {
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

const kinds = Object.keys(fields) as readonly ConsensusMessage["kind"][];

/** The values of a message without the names of its fields. */
export function packMessage(message: ConsensusMessage): readonly unknown[] {
  const values = message as unknown as Readonly<Record<string, unknown>>;
  return [
    kinds.indexOf(message.kind),
    message.from,
    message.to,
    message.term,
    ...fields[message.kind].map((field) => values[field]),
  ];
}

/** The named fields of a packed message; undefined when it is none. */
export function unpackMessage(packed: unknown): unknown {
  if (!Array.isArray(packed)) return undefined;
  const [kindNumber, from, to, term, ...values] = packed;
  const kind = kinds[kindNumber];
  if (!kind || values.length !== fields[kind].length) return undefined;
  const named = fields[kind].map((field, at) => [field, values[at]]);
  return { kind, from, to, term, ...Object.fromEntries(named) };
}

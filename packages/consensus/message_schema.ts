import { z } from "zod";
import { EntryKind } from "./types.ts";
import type { ConsensusMessage } from "./types.ts";

const index = z.number().int().min(0);
const term = z.number().int().min(0);
const replica = z.string().min(1).max(128);
const bytes = z.instanceof(Uint8Array);
const time = z.number();

const configuration = z.strictObject({
  voters: z.array(replica).max(64),
  learners: z.array(replica).max(64),
});

const entry = z.strictObject({
  index,
  term,
  kind: z.enum(EntryKind),
  payload: bytes,
  configuration: configuration.optional(),
}).refine(
  (each) =>
    (each.kind === EntryKind.configuration) ===
      (each.configuration !== undefined),
  "a configuration belongs to configuration entries",
);

const snapshot = z.strictObject({ index, term, configuration, data: bytes });

const head = { from: replica, to: replica, term };
const lastEntry = { lastIndex: index, lastTerm: term };

const message = z.discriminatedUnion("kind", [
  z.strictObject({ kind: z.literal("preVoteRequest"), ...head, ...lastEntry }),
  z.strictObject({
    kind: z.literal("preVoteResponse"),
    ...head,
    granted: z.boolean(),
  }),
  z.strictObject({
    kind: z.literal("voteRequest"),
    ...head,
    ...lastEntry,
    transfer: z.boolean(),
  }),
  z.strictObject({
    kind: z.literal("voteResponse"),
    ...head,
    granted: z.boolean(),
  }),
  z.strictObject({
    kind: z.literal("appendRequest"),
    ...head,
    previousIndex: index,
    previousTerm: term,
    entries: z.array(entry),
    commitIndex: index,
    sentAt: time,
  }).refine(
    ({ entries, previousIndex }) =>
      entries.every((each, at) => each.index === previousIndex + 1 + at),
    "the entries do not follow each other",
  ),
  z.strictObject({
    kind: z.literal("appendResponse"),
    ...head,
    accepted: z.boolean(),
    index,
    sentAt: time,
  }),
  z.strictObject({
    kind: z.literal("contactResponse"),
    ...head,
    sentAt: time,
  }),
  z.strictObject({
    kind: z.literal("snapshotRequest"),
    ...head,
    snapshot,
    offset: index,
    totalBytes: index,
    sentAt: time,
  }),
  z.strictObject({
    kind: z.literal("snapshotResponse"),
    ...head,
    snapshotIndex: index,
    received: index,
    sentAt: time,
  }),
  z.strictObject({ kind: z.literal("timeoutNow"), ...head }),
]);

/** A message of another replica whose shape is wrong. */
export class MessageError extends Error {
  override readonly name = "MessageError";
}

/**
 * Checks the shape of a message of another replica.
 *
 * @throws {MessageError} naming the first fault.
 */
export function parseConsensusMessage(candidate: unknown): ConsensusMessage {
  const result = message.safeParse(candidate);
  if (result.success) return result.data;
  const issue = result.error.issues[0];
  throw new MessageError(
    `a replica sent a faulty message: ${
      issue?.path.join(".") || "message"
    }: ${issue?.message}`,
  );
}

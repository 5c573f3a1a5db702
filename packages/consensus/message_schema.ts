import { z } from "zod";
import { EntryKind } from "./types.ts";
import type { ConsensusMessage } from "./types.ts";

const index = z.number().int().min(0);
const term = z.number().int().min(0);
const replica = z.string().min(1).max(128);
const bytes = z.instanceof(Uint8Array);
const timestamp = z.number();

const configurationSchema = z.strictObject({
  voters: z.array(replica).max(64),
  learners: z.array(replica).max(64),
});

const entrySchema = z.strictObject({
  index,
  term,
  kind: z.enum(EntryKind),
  payload: bytes,
  configuration: configurationSchema.optional(),
}).refine(
  (entry) =>
    (entry.kind === EntryKind.configuration) ===
      (entry.configuration !== undefined),
  "only configuration entries have a configuration, and they require one",
);

const snapshotSchema = z.strictObject({
  index,
  term,
  configuration: configurationSchema,
  data: bytes,
});

const header = { from: replica, to: replica, term };
const lastEntry = { lastIndex: index, lastTerm: term };

const messageSchema = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal("preVoteRequest"),
    ...header,
    ...lastEntry,
  }),
  z.strictObject({
    kind: z.literal("preVoteResponse"),
    ...header,
    granted: z.boolean(),
  }),
  z.strictObject({
    kind: z.literal("voteRequest"),
    ...header,
    ...lastEntry,
    transfer: z.boolean(),
  }),
  z.strictObject({
    kind: z.literal("voteResponse"),
    ...header,
    granted: z.boolean(),
  }),
  z.strictObject({
    kind: z.literal("appendRequest"),
    ...header,
    previousIndex: index,
    previousTerm: term,
    entries: z.array(entrySchema),
    commitIndex: index,
    sentAt: timestamp,
  }).refine(
    ({ entries, previousIndex }) =>
      entries.every((each, at) => each.index === previousIndex + 1 + at),
    "entry indexes are not consecutive",
  ),
  z.strictObject({
    kind: z.literal("appendResponse"),
    ...header,
    accepted: z.boolean(),
    index,
    sentAt: timestamp,
  }),
  z.strictObject({
    kind: z.literal("contactResponse"),
    ...header,
    sentAt: timestamp,
  }),
  z.strictObject({
    kind: z.literal("snapshotRequest"),
    ...header,
    snapshot: snapshotSchema,
    offset: index,
    totalBytes: index,
    sentAt: timestamp,
  }),
  z.strictObject({
    kind: z.literal("snapshotResponse"),
    ...header,
    snapshotIndex: index,
    received: index,
    sentAt: timestamp,
  }),
  z.strictObject({ kind: z.literal("timeoutNow"), ...header }),
]);

/** Thrown when a message from another replica is invalid. */
export class MessageError extends Error {
  override readonly name = "MessageError";
}

/**
 * Validates a message from another replica.
 *
 * @throws {MessageError} when the message is invalid; names the first issue.
 */
export function parseConsensusMessage(candidate: unknown): ConsensusMessage {
  const result = messageSchema.safeParse(candidate);
  if (result.success) return result.data;
  const issue = result.error.issues[0];
  throw new MessageError(
    `invalid message from a replica: ${
      issue?.path.join(".") || "message"
    }: ${issue?.message}`,
  );
}

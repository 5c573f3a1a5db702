import { Feature } from "./feature.ts";
import type { LeaderSession } from "./leader_session.ts";
import type { Watch, WatchAnswer } from "./watch.ts";
import { encodeWatchAnswer, encodeWatchOwnPart } from "./watch_codec.ts";

/** Encoded fields of the response to a watch call. */
export interface EncodedWatchResponse {
  readonly answer: Uint8Array;
  /** Empty if there is no part for this gateway alone. */
  readonly own: Uint8Array;
}

const nothing = new Uint8Array();

/** Answers the watch request of a gateway. */
export async function answerWatch(
  watch: Watch,
  leadership: {
    /** The state of the leader; undefined if this VM is not the leader. */
    readonly watchedSession: LeaderSession | undefined;
    readonly redirect: WatchAnswer;
  },
): Promise<EncodedWatchResponse> {
  const session = leadership.watchedSession;
  if (!session) return only(leadership.redirect);
  if (!mayWatch(watch, session)) return only(noLeader);
  if (watch.isSearch) return only({ kind: "leads" });
  const { answer, own } = await session.watch(watch);
  if (leadership.watchedSession !== session) return only(leadership.redirect);
  // The first workspace may have been added in the meantime.
  if (!mayWatch(watch, session)) return only(noLeader);
  return { answer, own: encodeWatchOwnPart(own) };
}

/**
 * Response to a gateway of an earlier release, which would serve without keys
 * from a table with workspaces.
 */
const noLeader: WatchAnswer = { kind: "elsewhere", leader: null };

function mayWatch(
  { features }: Watch,
  { hasWorkspaces }: LeaderSession,
): boolean {
  return !hasWorkspaces || features.includes(Feature.workspaces);
}

function only(answer: WatchAnswer): EncodedWatchResponse {
  return { answer: encodeWatchAnswer(answer), own: nothing };
}

import type { ResolvedConsensusOptions } from "./types.ts";

/** Time for a connection to be opened, and for the messages on it to arrive. */
const roundTripsMilliseconds = 100;

/**
 * Returns the time limit for one delivery of messages to a replica, in
 * milliseconds. An interval of heartbeats, this time and the next delivery end
 * before followers stand for election, so that a lost heartbeat costs no leader.
 */
export function deliveryTimeoutMilliseconds(
  { heartbeatMilliseconds, electionMilliseconds }: Pick<
    ResolvedConsensusOptions,
    "heartbeatMilliseconds" | "electionMilliseconds"
  >,
): number {
  return electionMilliseconds - heartbeatMilliseconds - roundTripsMilliseconds;
}

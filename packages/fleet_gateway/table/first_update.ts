import { setTimeout as pause } from "node:timers/promises";

/** Each wait for a response is longer than the one before. */
const waitGrowthFactor = 2;

/** Options of {@link requestUntilBegun}. */
export interface FirstUpdateOptions<Update> {
  /**
   * Requests the update; calls back when the response begins, and rejects if it
   * does not end in time.
   */
  readonly request: (onHeader: () => void) => Promise<Update>;
  /** Makes further requests use new connections. */
  readonly renewConnections: () => void;
  /** Time in which a leader that receives a request begins its response. */
  readonly waitMilliseconds: number;
  /** Whether the update is no longer awaited. */
  readonly hasEnded: () => boolean;
}

/**
 * Requests an update that may be large, and resolves with the first one that
 * arrives. As long as no response has begun, the request may have been lost with
 * its connection, and is repeated beside those before it.
 *
 * @throws {Error} when a request fails before any has succeeded.
 */
export async function requestUntilBegun<Update>(
  options: FirstUpdateOptions<Update>,
): Promise<Update> {
  const { request, renewConnections, hasEnded } = options;
  let { waitMilliseconds } = options;
  let hasBegun = false;
  const onHeader = () => {
    hasBegun = true;
  };
  const requests = [request(onHeader)];
  for (;;) {
    const update = Promise.race(requests);
    const isSettled = await Promise.race([
      update.then(() => true, () => true),
      pause(waitMilliseconds, false, { ref: false }),
    ]);
    if (isSettled || hasBegun || hasEnded()) return await update;
    renewConnections();
    requests.push(request(onHeader));
    waitMilliseconds *= waitGrowthFactor;
  }
}

import type { Server } from "node:net";
import {
  setImmediate as nextTurn,
  setTimeout as pause,
} from "node:timers/promises";

/**
 * A caller whose response was sent reconnects within this time: one round trip
 * until it has the response, one for the handshake (16 ms each), and 28 ms for its
 * processing.
 */
const quietMilliseconds = 60;
/**
 * Longest wait for a time without new connections, or for the queue to be empty.
 * Requests on the connections accepted meanwhile wait as well.
 */
const maximumWaitMilliseconds = 500;
/** Share of the limit for which a time without new connections is waited for. */
const quietShare = 0.8;
/**
 * A connection can be completed after the event loop has looked at the queue, so
 * the loop's turn must be short. A turn without work takes about 0.05 ms.
 */
const maximumTurnMilliseconds = 0.25;
/** Time without new connections after which a longer turn suffices. */
const longTurnQuietMilliseconds = 100;

/** What a listener that is about to close does next. */
export const QueueStep = {
  /** Closes in this turn of the event loop. */
  close: "close",
  /** Looks at the queue again in the next turn. */
  look: "look",
  /** Looks again when the listener may have been quiet for long enough. */
  pause: "pause",
} as const;
export type QueueStep = (typeof QueueStep)[keyof typeof QueueStep];

/** What a listener that is about to close knows of its queue; times are in ms. */
export interface QueueState {
  /** Whether a connection was accepted in the last turn of the event loop. */
  readonly hasAccepted: boolean;
  readonly turnMilliseconds: number;
  /** Time since a connection was accepted, or since the wait began. */
  readonly quietMilliseconds: number;
  readonly elapsedMilliseconds: number;
  /** Time in which all requests must be answered. */
  readonly maximumMilliseconds: number;
}

/** Returns what a listener that is about to close does next. */
export function nextQueueStep(state: QueueState): QueueStep {
  const { elapsedMilliseconds: elapsed, maximumMilliseconds } = state;
  if (elapsed >= maximumWaitOf(maximumMilliseconds)) return QueueStep.close;
  if (state.hasAccepted) return QueueStep.look;
  const quietWait = maximumQuietWaitOf(maximumMilliseconds);
  if (elapsed >= quietWait) return QueueStep.close;
  const isQuiet = state.quietMilliseconds >= quietMilliseconds;
  if (!isQuiet && elapsed < quietWait * quietShare) return QueueStep.pause;
  return state.turnMilliseconds <= maximumTurnMilliseconds ||
      state.quietMilliseconds >= longTurnQuietMilliseconds
    ? QueueStep.close
    : QueueStep.look;
}

// Requests that wait meanwhile must still be answered in time.
function maximumQuietWaitOf(maximumMilliseconds: number): number {
  return Math.min(maximumWaitMilliseconds, maximumMilliseconds / 5);
}

function maximumWaitOf(maximumMilliseconds: number): number {
  return Math.min(maximumWaitMilliseconds, maximumMilliseconds / 3);
}

/**
 * The connections that the kernel has completed for a server. When the server
 * closes, the kernel resets those that were not accepted. Node.js does not tell
 * their number.
 */
export class AcceptQueue {
  #acceptedCount = 0;
  #acceptedAt = -Infinity;

  constructor(server: Server) {
    const record = () => {
      this.#acceptedCount += 1;
      this.#acceptedAt = performance.now();
    };
    server.on("connection", record);
    // A connection above the server's maximum is accepted and closed.
    server.on("drop", record);
  }

  /**
   * Waits until the server can be closed; the caller must close it at once.
   *
   * @param options.maximumMilliseconds is the time in which all requests must be
   * answered; the wait takes a third of it at most, and 500 ms at most.
   * @returns the time, by `performance.now()`, at which the last turn of the event
   * loop began. Connections that were completed later are reset.
   */
  async untilEmpty(options: {
    readonly maximumMilliseconds: number;
  }): Promise<number> {
    const { maximumMilliseconds } = options;
    const startedAt = performance.now();
    for (;;) {
      await nextTurn();
      const acceptedCount = this.#acceptedCount;
      const turnAt = performance.now();
      // A turn accepts one connection at least, if any waits.
      await nextTurn();
      const now = performance.now();
      const quietAt = Math.max(startedAt, this.#acceptedAt);
      const step = nextQueueStep({
        hasAccepted: this.#acceptedCount > acceptedCount,
        turnMilliseconds: now - turnAt,
        quietMilliseconds: now - quietAt,
        elapsedMilliseconds: now - startedAt,
        maximumMilliseconds,
      });
      if (step === QueueStep.close) return turnAt;
      if (step === QueueStep.look) continue;
      const nextLookAt = Math.min(
        quietAt + quietMilliseconds,
        startedAt + maximumQuietWaitOf(maximumMilliseconds) * quietShare,
      );
      await pause(Math.max(nextLookAt - now, 1));
    }
  }
}

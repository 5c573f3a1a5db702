import { setTimeout as pause } from "node:timers/promises";

/** Each wait for a response is longer than the one before. */
const waitGrowthFactor = 2;

/** One of the requests for an update. */
export interface UpdateRequest {
  /** Whether it is sent beside an earlier one, which may have been lost. */
  readonly isRepeated: boolean;
  /** To be called when the response begins. */
  readonly onHeader: () => void;
  /** Aborts the request. */
  readonly signal: AbortSignal;
}

/** Options of {@link requestUntilBegun}. */
export interface FirstUpdateOptions<Update> {
  /** Requests the update; rejects if it does not arrive. */
  readonly request: (request: UpdateRequest) => Promise<Update>;
  /** Makes further requests use new connections. */
  readonly renewConnections: () => void;
  /** Time in which a leader that receives a request begins its response. */
  readonly waitMilliseconds: number;
  /** Time in which a response has to begin. */
  readonly limitMilliseconds: number;
  /** Ends the requests when it is no longer awaited. */
  readonly signal: AbortSignal;
}

/**
 * Requests an update that may be large, and resolves with the first one that
 * arrives. As long as no response has begun, the request may have been lost with
 * its connection, and is repeated beside those before it; when one begins, the
 * others are aborted.
 *
 * @throws {Error} when all requests have failed, or none is answered in time.
 */
export async function requestUntilBegun<Update>(
  options: FirstUpdateOptions<Update>,
): Promise<Update> {
  const attempts = new Set<Attempt<Update>>();
  const hasBegun = () => [...attempts].some((each) => each.hasBegun);
  const abort = () => {
    for (const each of attempts) each.abort();
  };
  options.signal.addEventListener("abort", abort, { once: true });
  let { waitMilliseconds, limitMilliseconds: left } = options;
  try {
    while (!options.signal.aborted && left > 0) {
      if (attempts.size > 0) options.renewConnections();
      attempts.add(
        new Attempt({ ...options, attempts, isRepeated: attempts.size > 0 }),
      );
      const update = firstOf(attempts);
      const wait = Math.min(waitMilliseconds, left);
      const isSettled = await Promise.race([
        update.then(() => true, () => true),
        pause(wait, false, { ref: false }),
      ]);
      if (isSettled || hasBegun()) return await update;
      left -= wait;
      waitMilliseconds *= waitGrowthFactor;
    }
    throw new Error("no update has begun in time");
  } finally {
    options.signal.removeEventListener("abort", abort);
    abort();
  }
}

class Attempt<Update> {
  readonly update: Promise<Update>;
  hasBegun = false;
  readonly #controller = new AbortController();

  constructor(
    { request, attempts, isRepeated }:
      & Pick<FirstUpdateOptions<Update>, "request">
      & {
        readonly attempts: ReadonlySet<Attempt<Update>>;
        readonly isRepeated: boolean;
      },
  ) {
    this.update = request({
      isRepeated,
      signal: this.#controller.signal,
      onHeader: () => {
        this.hasBegun = true;
        for (const each of attempts) if (each !== this) each.abort();
      },
    });
  }

  abort(): void {
    this.#controller.abort();
  }
}

async function firstOf<Update>(
  attempts: ReadonlySet<Attempt<Update>>,
): Promise<Update> {
  try {
    return await Promise.any([...attempts].map(({ update }) => update));
  } catch (failure) {
    if (!(failure instanceof AggregateError)) throw failure;
    throw failure.errors.at(-1);
  }
}

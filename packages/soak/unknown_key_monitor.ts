import type { KeyHistory } from "./key_history.ts";
import type { KeyedArrival, KeyedRequest } from "./keyed_request.ts";

/** Options of an {@link UnknownKeyMonitor}. */
export interface UnknownKeyMonitorOptions {
  readonly history: KeyHistory;
  readonly onViolation: (violation: string) => void;
}

/**
 * Checks that no request reaches a target without a key that a workspace has or
 * had, unless its route is public.
 */
export class UnknownKeyMonitor {
  readonly #options: UnknownKeyMonitorOptions;

  constructor(options: UnknownKeyMonitorOptions) {
    this.#options = options;
  }

  recordArrival(request: KeyedRequest, { target }: KeyedArrival): void {
    const { history, onViolation } = this.#options;
    const { id, gateway, key, isPublic } = request;
    if (isPublic) return;
    if (key !== undefined && history.holderOf(key) !== undefined) return;
    onViolation(
      `${target} received ${id} from ${gateway} with ${
        key === undefined ? "no key" : "a key that never existed"
      }`,
    );
  }
}

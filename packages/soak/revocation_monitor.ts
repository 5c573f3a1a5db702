import type { KeyHistory } from "./key_history.ts";
import type { KeyedArrival, KeyedRequest } from "./keyed_request.ts";

/** Options of a {@link RevocationMonitor}. */
export interface RevocationMonitorOptions {
  readonly history: KeyHistory;
  /** Time from the acknowledgement of a revocation until it is in force. */
  readonly revokeMilliseconds: number;
  readonly onViolation: (violation: string) => void;
}

/**
 * Checks that no request reaches a target that was sent with a key later than
 * the bound after the acknowledgement of its revocation. No gateway is excused.
 */
export class RevocationMonitor {
  readonly #options: RevocationMonitorOptions;
  /** Number of requests that were sent later than the bound, by gateway. */
  readonly judgedCounts = new Map<string, number>();

  constructor(options: RevocationMonitorOptions) {
    this.#options = options;
  }

  /** Number of requests that were sent later than the bound. */
  get judgedCount(): number {
    return [...this.judgedCounts.values()].reduce((sum, each) => sum + each, 0);
  }

  recordRequest(request: KeyedRequest): void {
    if (!(this.#lateness(request) > 0)) return;
    const { gateway } = request;
    const count = this.judgedCounts.get(gateway) ?? 0;
    this.judgedCounts.set(gateway, count + 1);
  }

  recordArrival(request: KeyedRequest, { target }: KeyedArrival): void {
    const lateness = this.#lateness(request);
    if (!(lateness > 0)) return;
    const { revokeMilliseconds, onViolation } = this.#options;
    onViolation(
      `${target} received ${request.id} from ${request.gateway}, sent ${
        Math.round(lateness + revokeMilliseconds)
      } ms after the acknowledgement that its key was revoked`,
    );
  }

  /** Time from the bound until the request was sent; negative before it. */
  #lateness({ key, isPublic, sentAt }: KeyedRequest): number {
    if (key === undefined || isPublic) return -Infinity;
    const { history, revokeMilliseconds } = this.#options;
    return sentAt - history.revokedAt(key) - revokeMilliseconds;
  }
}

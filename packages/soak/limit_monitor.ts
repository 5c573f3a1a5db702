/** Limits apply this long after a target first named one. */
const settleMilliseconds = 3000;
/** A gateway counts this long after it forwarded a response with the limit. */
const noticeMilliseconds = 500;
/** A gateway counts again this long after a fault. */
const excuseMilliseconds = 3000;
const windowMilliseconds = 4000;
const toleratedRatio = 1.5;
const toleratedExtraRequests = 5;

/** Limit that one target names in every response. */
export interface NamedLimit {
  readonly target: string;
  /** Requests per second from all gateways together. */
  readonly perSecond: number;
}

/** Checks that gateways together keep the limit that a target names. */
export class LimitMonitor {
  readonly #limit: NamedLimit;
  readonly #fail: (violation: string) => void;
  /** First response of the target's current incarnation. */
  #namedAt = Infinity;
  /** When each gateway first forwarded a response of the target. */
  readonly #toldAt = new Map<string, number>();
  readonly #excusedUntil = new Map<string, number>();
  /** Counted requests of the current window. */
  #arrivals: number[] = [];

  constructor(limit: NamedLimit, fail: (violation: string) => void) {
    this.#limit = limit;
    this.#fail = fail;
  }

  /** Records that a new incarnation of the target starts. */
  restart(): void {
    this.#namedAt = Infinity;
    this.#toldAt.clear();
    this.#arrivals = [];
  }

  /** Excuses a gateway while it is faulty; a restarted one has to be told again. */
  recordFault(gateway: string, isFaulty: boolean, now: number): void {
    this.#toldAt.delete(gateway);
    this.#excusedUntil.set(
      gateway,
      isFaulty ? Infinity : now + excuseMilliseconds,
    );
  }

  /** Records that a gateway forwarded a response with the limit. */
  recordResponse(gateway: string, now: number): void {
    this.#namedAt = Math.min(this.#namedAt, now);
    if (!this.#toldAt.has(gateway)) this.#toldAt.set(gateway, now);
  }

  /** Records that a request from a gateway arrives at the target. */
  recordArrival(gateway: string, now: number): void {
    const isCounted = now >= this.#namedAt + settleMilliseconds &&
      now >= (this.#toldAt.get(gateway) ?? Infinity) + noticeMilliseconds &&
      now >= (this.#excusedUntil.get(gateway) ?? 0);
    if (!isCounted) return;
    this.#arrivals = this.#arrivals.filter((at) =>
      at > now - windowMilliseconds
    );
    this.#arrivals.push(now);
    const { target, perSecond } = this.#limit;
    const maximum = toleratedRatio * perSecond * windowMilliseconds / 1000 +
      toleratedExtraRequests;
    if (this.#arrivals.length <= maximum) return;
    this.#fail(
      `${target} named a limit of ${perSecond} a second and received ${this.#arrivals.length} requests in 4 s`,
    );
    this.#arrivals = [];
  }
}

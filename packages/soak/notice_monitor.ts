/** A gateway acts on a response this long after it was sent. */
const noticeMilliseconds = 500;
/** Requests that may reach a target in a pause that it asked for. */
const toleratedRequests = 2;

interface Pause {
  readonly from: number;
  readonly until: number;
  requests: number;
}

/** Checks that gateways act on what one target says in its responses. */
export class NoticeMonitor {
  readonly #target: string;
  readonly #fail: (violation: string) => void;
  /** Pauses that the target asked for, by gateway. */
  readonly #pauses = new Map<string, Pause>();
  /** When the target first told each gateway that it leaves. */
  readonly #leaving = new Map<string, number>();
  readonly #faulty = new Set<string>();

  constructor(target: string, fail: (violation: string) => void) {
    this.#target = target;
    this.#fail = fail;
  }

  /** Records that a new incarnation of the target starts. */
  restart(): void {
    this.#pauses.clear();
    this.#leaving.clear();
  }

  /** Excuses a gateway that becomes faulty or is repaired from what it knew. */
  recordFault(gateway: string, isFaulty: boolean): void {
    this.#pauses.delete(gateway);
    this.#leaving.delete(gateway);
    if (isFaulty) this.#faulty.add(gateway);
    else this.#faulty.delete(gateway);
  }

  /** Records that the target asked a gateway for a pause. */
  recordPause(gateway: string, now: number, milliseconds: number): void {
    const known = this.#pauses.get(gateway);
    if (this.#faulty.has(gateway) || (known && known.until > now)) return;
    this.#pauses.set(gateway, {
      from: now + noticeMilliseconds,
      until: now + milliseconds,
      requests: 0,
    });
  }

  /** Records that the target told a gateway that it leaves. */
  recordLeaving(gateway: string, now: number): void {
    if (this.#faulty.has(gateway) || this.#leaving.has(gateway)) return;
    this.#leaving.set(gateway, now);
  }

  /**
   * Records that a request from a gateway arrives at the target. The details are
   * named in a violation.
   */
  recordArrival(gateway: string, now: number, details = "a request"): void {
    const toldAt = this.#leaving.get(gateway) ?? Infinity;
    if (now > toldAt + noticeMilliseconds) {
      this.#fail(
        `${this.#target} leaves and received ${details} from ${gateway}, ${
          Math.round(now - toldAt)
        } ms after it had said so there`,
      );
    }
    const pause = this.#pauses.get(gateway);
    if (!pause || now < pause.from || now >= pause.until) return;
    pause.requests += 1;
    if (pause.requests === toleratedRequests + 1) {
      this.#fail(
        `${this.#target} pauses and received ${pause.requests} requests from ${gateway}, the last ${details}`,
      );
    }
  }
}

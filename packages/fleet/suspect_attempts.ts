/** An attempt of a suspect that a VM asks to make. */
export interface AttemptRequest {
  readonly digest: string;
  readonly service: string;
  /** Name of the gateway that makes the attempt. */
  readonly holder: string;
  /** Whether no other suspect of the service may be attempted meanwhile. */
  readonly isExclusive: boolean;
  /** Time at which the attempt has ended in any case. */
  readonly expiresAt: number;
}

/** Time for which an exclusive attempt that waits delays others. */
const exclusiveWaitMilliseconds = 400;

/**
 * Lets each suspect run at one target at a time, and those that ended several
 * targets without any other suspect of the service. Times are in milliseconds.
 */
export class SuspectAttempts {
  readonly #attempts = new Map<string, AttemptRequest>();
  /** Exclusive attempts that wait, by service. */
  readonly #waiting = new Map<
    string,
    { readonly digest: string; readonly until: number }
  >();

  /** Grants an attempt; returns false if it has to wait. */
  request(request: AttemptRequest, now: number): boolean {
    this.#expire(now);
    const { digest, service, isExclusive } = request;
    if (this.#attempts.has(digest)) return false;
    const running = [...this.#attempts.values()].filter((each) =>
      each.service === service
    );
    if (running.some((each) => each.isExclusive)) return false;
    const first = this.#waiting.get(service);
    if (first && first.digest !== digest) return false;
    if (isExclusive && running.length > 0) {
      const until = now + exclusiveWaitMilliseconds;
      this.#waiting.set(service, { digest, until });
      return false;
    }
    this.#waiting.delete(service);
    this.#attempts.set(digest, request);
    return true;
  }

  /** Ends an attempt; returns whether the holder made it exclusively. */
  end(digest: string, holder: string): boolean {
    const attempt = this.#attempts.get(digest);
    if (attempt?.holder !== holder) return false;
    this.#attempts.delete(digest);
    return attempt.isExclusive;
  }

  #expire(now: number): void {
    for (const [digest, { expiresAt }] of this.#attempts) {
      if (expiresAt <= now) this.#attempts.delete(digest);
    }
    for (const [service, { until }] of this.#waiting) {
      if (until <= now) this.#waiting.delete(service);
    }
  }
}

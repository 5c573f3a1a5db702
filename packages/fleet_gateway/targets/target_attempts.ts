const noTargets: ReadonlySet<string> = new Set();

/** The targets that one request may be sent to next. */
export interface TargetLimitation {
  /** Targets that are not chosen. */
  readonly tried: ReadonlySet<string>;
  /** The only targets that may be chosen; null for all. */
  readonly only: ReadonlySet<string> | null;
}

/**
 * Targets that a request was sent to, at most `maximumTargets` different ones. A
 * target that took no connection does not count, as nothing reached it.
 */
export class TargetAttempts {
  readonly #maximumTargets: number;
  readonly #sent: Set<string>;
  readonly #unreached = new Set<string>();

  constructor(options: {
    readonly maximumTargets: number;
    /** Targets that the request has reached before. @default none */
    readonly reached?: readonly string[] | undefined;
  }) {
    this.#maximumTargets = options.maximumTargets;
    this.#sent = new Set(options.reached);
  }

  /** Whether the request may be sent to a target that it has not reached. */
  get mayTryNew(): boolean {
    return this.#sent.size < this.#maximumTargets;
  }

  /** Targets that were tried, including those that were not reached. */
  get tried(): ReadonlySet<string> {
    return this.#unreached.size === 0
      ? this.#sent
      : new Set([...this.#sent, ...this.#unreached]);
  }

  /** The targets for the next attempt. */
  get next(): TargetLimitation {
    return this.mayTryNew
      ? { tried: this.tried, only: null }
      : { tried: noTargets, only: this.#sent };
  }

  /** Records that the request is being sent to a target. */
  recordSend(target: string): void {
    this.#sent.add(target);
    this.#unreached.delete(target);
  }

  /** Records that nothing was sent to a target that the request never reached. */
  recordUnreached(target: string): void {
    this.#sent.delete(target);
    this.#unreached.add(target);
  }

  /** Records that the request is not sent to a target that it never reached. */
  recordNotSent(target: string): void {
    this.#sent.delete(target);
  }

  /** Allows the targets that were not reached again; false if there are none. */
  retryUnreached(): boolean {
    if (this.#unreached.size === 0) return false;
    this.#unreached.clear();
    return true;
  }

  /** Forgets all targets. */
  clear(): void {
    this.#sent.clear();
    this.#unreached.clear();
  }
}

/** A balancer that asked within this time before a stop is still there. */
const presentMilliseconds = 5000;
/** Balancers take a VM out after two answers that it is not ready. */
const neededAnswers = 2;

/** Answers a balancer whether a VM is ready, and knows what it was told. */
export class Readiness {
  readonly #isReady: () => boolean;
  readonly #now: () => number;
  #askedAt = -Infinity;
  #leavingSince: number | undefined;
  #refusals = 0;

  constructor(options: {
    readonly isReady: () => boolean;
    /** Milliseconds of a monotonic clock. @default that of the process */
    readonly now?: () => number;
  }) {
    this.#isReady = options.isReady;
    this.#now = options.now ?? (() => performance.now());
  }

  /** Answers one question. */
  ask(): boolean {
    this.#askedAt = this.#now();
    if (this.#leavingSince === undefined) return this.#isReady();
    this.#refusals += 1;
    return false;
  }

  /** Answers that the VM is not ready from now on. */
  leave(): void {
    this.#leavingSince ??= this.#now();
  }

  /** Whether the balancer, if there is one, was told that the VM leaves. */
  get isAnnounced(): boolean {
    const since = this.#leavingSince ?? this.#now();
    const isAsked = this.#askedAt >= since - presentMilliseconds;
    return !isAsked || this.#refusals >= neededAnswers;
  }
}

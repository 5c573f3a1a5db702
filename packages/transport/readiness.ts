/** A load balancer is active if it probed at most this long before the VM leaves. */
const activeBalancerMilliseconds = 5000;
/** Load balancers remove a VM after two not-ready responses. */
const requiredNotReadyResponses = 2;

/** Answers the readiness probes of a load balancer and tracks its responses. */
export class Readiness {
  readonly #isReady: () => boolean;
  readonly #now: () => number;
  #lastProbeAt = -Infinity;
  #leavingSince: number | undefined;
  #notReadyResponses = 0;

  constructor(options: {
    readonly isReady: () => boolean;
    /** Milliseconds of a monotonic clock. @default `performance.now` */
    readonly now?: () => number;
  }) {
    this.#isReady = options.isReady;
    this.#now = options.now ?? (() => performance.now());
  }

  /** Records a probe and returns whether the VM is ready. */
  answerProbe(): boolean {
    this.#lastProbeAt = this.#now();
    if (this.#leavingSince === undefined) return this.#isReady();
    this.#notReadyResponses += 1;
    return false;
  }

  /** Makes all further probes report that the VM is not ready. */
  startLeaving(): void {
    this.#leavingSince ??= this.#now();
  }

  /**
   * Whether the load balancer has received enough not-ready responses, or none is
   * active.
   */
  get isBalancerNotified(): boolean {
    const since = this.#leavingSince ?? this.#now();
    const isBalancerActive =
      this.#lastProbeAt >= since - activeBalancerMilliseconds;
    return !isBalancerActive ||
      this.#notReadyResponses >= requiredNotReadyResponses;
  }
}

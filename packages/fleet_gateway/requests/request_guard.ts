/**
 * Runs the work of one request, which is spread over timers and responses, so
 * that a fault in it ends that request and not the process.
 */
export class RequestGuard {
  readonly #onFault: (failure: unknown) => void;

  /** @param onFault is called with each failure, and must not throw. */
  constructor(onFault: (failure: unknown) => void) {
    this.#onFault = onFault;
  }

  /** Runs a function; returns `otherwise` if it throws. */
  run<Result>(work: () => Result, otherwise: Result): Result {
    try {
      return work();
    } catch (failure) {
      this.#onFault(failure);
      return otherwise;
    }
  }

  /** Watches an asynchronous function. */
  watch(work: Promise<void>): void {
    work.catch((failure) => this.#onFault(failure));
  }
}

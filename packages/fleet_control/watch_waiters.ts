/** Watch requests that wait for an update. */
export class WatchWaiters {
  readonly #waiters = new Set<() => void>();
  /** The latest of them, by gateway. */
  readonly #byGateway = new Map<string, () => void>();

  /** Waits until the gateway is woken, for the given time at most. */
  wait(gateway: string, milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#waiters.delete(wake);
        if (this.#byGateway.get(gateway) === wake) {
          this.#byGateway.delete(gateway);
        }
        resolve();
      };
      const timer = setTimeout(wake, milliseconds);
      this.#waiters.add(wake);
      this.#byGateway.set(gateway, wake);
    });
  }

  /** Ends the latest wait of a gateway. */
  wake(gateway: string): void {
    this.#byGateway.get(gateway)?.();
  }

  /** Ends the wait of every gateway. */
  wakeAll(): void {
    for (const wake of this.#waiters) wake();
  }
}

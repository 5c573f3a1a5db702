/** A lease granted to one incarnation of a holder. */
export interface Lease {
  readonly boot: string;
  /** When the grantor may consider the lease lapsed, on the grantor's clock. */
  readonly lapsesAt: number;
}

/** Lease duration and maximum clock drift. */
export interface LeaseOptions {
  readonly leaseMilliseconds: number;
  /** Maximum share by which a holder's clock runs slow. @default 0.01 */
  readonly driftShare?: number;
}

/**
 * Tracks leases by holder on the grantor's side. A grantor that has just taken
 * over, at `startedAt`, treats every unknown holder as having a lease for one
 * full term.
 */
export class LeaseTable {
  readonly #leases = new Map<string, Lease>();
  /** Duration of a lease on the grantor's clock, with the maximum drift. */
  readonly #termMilliseconds: number;
  readonly #startedAt: number;

  constructor(options: LeaseOptions, startedAt: number) {
    this.#termMilliseconds = options.leaseMilliseconds *
      (1 + (options.driftShare ?? 0.01));
    this.#startedAt = startedAt;
  }

  /** Grants or renews a lease at `now`. */
  renew(holder: string, boot: string, now: number): void {
    this.#leases.set(holder, { boot, lapsesAt: now + this.#termMilliseconds });
  }

  /** Ends a lease that its holder has released. */
  release(holder: string): void {
    this.#leases.set(holder, { boot: "", lapsesAt: -Infinity });
  }

  /**
   * Returns the incarnation that last renewed the holder's lease; empty if it
   * was released, and undefined if the holder is unknown.
   */
  bootOf(holder: string): string | undefined {
    return this.#leases.get(holder)?.boot;
  }

  /** Returns the time at which the holder's lease lapses. */
  lapsesAt(holder: string): number {
    return this.#leases.get(holder)?.lapsesAt ??
      this.#startedAt + this.#termMilliseconds;
  }

  /** Returns whether the holder can no longer act on its lease. */
  hasLapsed(holder: string, now: number): boolean {
    return now > this.lapsesAt(holder);
  }
}

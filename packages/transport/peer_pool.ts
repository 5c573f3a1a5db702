import type { Pool } from "undici";

/** Thrown for a call after the connections were closed. */
export class PeerPoolError extends Error {
  override readonly name = "PeerPoolError";

  constructor() {
    super("the connections to the VM are closed");
  }
}

/** Options of a {@link PeerPool}. */
export interface PeerPoolOptions {
  /** Creates a pool without open connections. */
  readonly create: () => Pool;
  /**
   * Called when a call was sent on an open connection and timed out before its
   * response began. @default ignored
   */
  readonly onSilence?: () => void;
}

/** Connections to one VM, which are replaced once one of them was silent. */
export class PeerPool {
  readonly #options: PeerPoolOptions;
  #current: Pool | undefined;
  #isDestroyed = false;
  /** Pools that get no further calls, until their last one has ended. */
  readonly #retired = new Set<Pool>();

  constructor(options: PeerPoolOptions) {
    this.#options = options;
  }

  /**
   * Pool for the next call.
   *
   * @throws {PeerPoolError} after {@link destroy}.
   */
  get current(): Pool {
    if (this.#isDestroyed) throw new PeerPoolError();
    return this.#current ??= this.#options.create();
  }

  /**
   * Uses new connections for further calls; the calls in progress end on theirs.
   */
  renew(): void {
    const pool = this.#current;
    if (!pool) return;
    this.#current = undefined;
    this.#retired.add(pool);
    const forget = () => this.#retired.delete(pool);
    pool.close().then(forget, forget);
  }

  /**
   * Records that a call got no byte of a response in time on an open connection
   * of a pool. What silences one connection mostly silences all that are open: a
   * path that was lost, or a firewall that has forgotten them. Each would cost a
   * timeout, so that all are replaced.
   */
  recordSilence(pool: Pool): void {
    this.#options.onSilence?.();
    // Others of its connections may have been found silent before.
    if (pool === this.#current) this.renew();
  }

  /** Closes all connections, and opens no further ones. */
  destroy(): void {
    this.#isDestroyed = true;
    void this.#current?.destroy();
    for (const pool of this.#retired) void pool.destroy();
  }
}

/** Bytes of each body that count as part of its connection. */
const freeBytes = 16 * 1024;
/** Room for what bodies have beyond that, within a VM of 350 MB. */
const defaultMaximumBytes = 48 * 1024 * 1024;

/** Thrown when there is no room to keep more of a body in memory. */
export class BodyMemoryError extends Error {
  override readonly name = "BodyMemoryError";

  constructor() {
    super("the memory for bodies is used up");
  }
}

/** The part of a {@link BodyMemory} that one body uses. */
export interface BodyReservation {
  /**
   * Adds bytes that arrived.
   *
   * @throws {BodyMemoryError} when there is no room for them.
   */
  add(bytes: number): void;
  /** Returns bytes that were added. */
  remove(bytes: number): void;
  /** Returns all of it; later bytes count no more. */
  release(): void;
}

/**
 * Bounds the memory of all bodies that a listener keeps at a time, however many
 * callers send them and however slowly. Small bodies always fit, as the number
 * of connections bounds them.
 */
export class BodyMemory {
  readonly #maximumBytes: number;
  #usedBytes = 0;

  /** `maximumBytes` is by default 48 MiB. */
  constructor(maximumBytes = defaultMaximumBytes) {
    this.#maximumBytes = maximumBytes;
  }

  /** Bytes in use, beyond those that are part of connections. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  reserve(): BodyReservation {
    let bodyBytes = 0;
    let reserved = 0;
    let isReleased = false;
    const resize = (bytes: number) => {
      if (isReleased) return;
      const wanted = Math.max(0, bodyBytes + bytes - freeBytes) - reserved;
      if (wanted > 0 && this.#usedBytes + wanted > this.#maximumBytes) {
        throw new BodyMemoryError();
      }
      bodyBytes += bytes;
      reserved += wanted;
      this.#usedBytes += wanted;
    };
    return {
      add: resize,
      remove: (bytes) => resize(-bytes),
      release: () => {
        isReleased = true;
        this.#usedBytes -= reserved;
        reserved = 0;
      },
    };
  }
}

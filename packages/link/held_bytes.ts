/** Bytes that one exchange holds in memory. */
export interface HeldShare {
  /** Records a change of the bytes, which is progress of the exchange. */
  add(bytes: number, now: number): void;
  /** Ends the share; its bytes are free. */
  end(): void;
}

/** What was let go to make room. */
export interface LetGo {
  readonly heldBytes: number;
  /** Time since its last progress. */
  readonly idleMilliseconds: number;
}

interface Holder {
  bytes: number;
  progressAt: number;
  readonly letGo: (what: LetGo) => void;
}

/**
 * Bounds the bytes that all exchanges of a gateway hold for slow callers and slow
 * targets. Beyond it, the exchange goes first that has made no progress for the
 * longest time.
 */
export class HeldBytes {
  readonly #maximumBytes: number;
  readonly #holders = new Set<Holder>();
  #total = 0;

  constructor(options: { readonly maximumBytes: number }) {
    this.#maximumBytes = options.maximumBytes;
  }

  get total(): number {
    return this.#total;
  }

  /** Opens the share of an exchange, which `letGo` ends without an answer. */
  open(letGo: (what: LetGo) => void, now: number): HeldShare {
    const holder: Holder = { bytes: 0, progressAt: now, letGo };
    this.#holders.add(holder);
    return {
      add: (bytes, at) => {
        if (!this.#holders.has(holder)) return;
        holder.bytes += bytes;
        holder.progressAt = at;
        this.#total += bytes;
        this.#makeRoom(at);
      },
      end: () => this.#remove(holder),
    };
  }

  #makeRoom(now: number): void {
    while (this.#total > this.#maximumBytes) {
      const longest = this.#longestIdle();
      if (!longest) return;
      const { bytes, progressAt } = longest;
      this.#remove(longest);
      longest.letGo({ heldBytes: bytes, idleMilliseconds: now - progressAt });
    }
  }

  #longestIdle(): Holder | undefined {
    let longest: Holder | undefined;
    for (const each of this.#holders) {
      if (each.bytes <= 0) continue;
      if (!longest || each.progressAt < longest.progressAt) longest = each;
    }
    return longest;
  }

  #remove(holder: Holder): void {
    if (this.#holders.delete(holder)) this.#total -= holder.bytes;
  }
}

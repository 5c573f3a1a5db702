/**
 * A request, by the digest of its content, that ran at targets when they ended.
 * Exchanged between VMs, so that times are relative.
 */
export interface CrashSuspect {
  readonly digest: string;
  /** IDs of the incarnations that ended, oldest first. */
  readonly ends: readonly string[];
  /** Number of times that it was quarantined. */
  readonly quarantines: number;
  /** Time for which it is still refused; 0 if it may be attempted. */
  readonly refusedMilliseconds: number;
  /** Time until it is forgotten. */
  readonly remainingMilliseconds: number;
}

/** What may be done with a request. */
export const Standing = {
  /** Nothing is held against it. */
  clear: "clear",
  /** It may run at one target at a time. */
  suspect: "suspect",
  /** It may not run. */
  quarantined: "quarantined",
} as const;
export type Standing = typeof Standing[keyof typeof Standing];

/** A target that ended while it ran a request. */
export interface ObservedEnd {
  readonly digest: string;
  /** ID of the incarnation that ended. */
  readonly incarnation: string;
  /** Whether no other suspect of the service was attempted at the time. */
  readonly isExclusive: boolean;
}

interface Entry {
  ends: readonly string[];
  quarantines: number;
  refusedUntil: number;
  forgottenAt: number;
}

/**
 * Ended targets after which a request is quarantined, if it ran alone at the
 * last one: requests that only ran beside it are then attempted by themselves
 * and cleared.
 */
const quarantineEnds = 3;
/** Ends from which on a request is attempted without other suspects. */
const exclusiveEnds = 2;
/** Ends that are kept of one request. */
const maximumEnds = 6;
/** Duration of the first quarantine; each further one takes twice as long. */
const firstQuarantineMilliseconds = 120_000;
const maximumQuarantineMilliseconds = 3_600_000;
/** Time after the quarantine, or the last of several ends, until it is forgotten. */
const retentionMilliseconds = 600_000;
/** The same after a single end: most requests only ran beside a crash. */
const singleEndRetentionMilliseconds = 180_000;
const defaultMaximumEntries = 300;

/**
 * Requests whose runs may have ended targets. A run that ends clears a request,
 * as one that ends its targets never does. Times are in milliseconds.
 */
export class CrashSuspects {
  readonly #entries = new Map<string, Entry>();
  readonly #maximumEntries: number;

  constructor(options: { readonly maximumEntries?: number } = {}) {
    this.#maximumEntries = options.maximumEntries ?? defaultMaximumEntries;
  }

  get size(): number {
    return this.#entries.size;
  }

  standing(digest: string, now: number): Standing {
    const entry = this.#entries.get(digest);
    if (!entry) return Standing.clear;
    return now < entry.refusedUntil ? Standing.quarantined : Standing.suspect;
  }

  /** Returns the time for which a request is still refused. */
  refusedMilliseconds(digest: string, now: number): number {
    const entry = this.#entries.get(digest);
    return Math.max(0, (entry?.refusedUntil ?? -Infinity) - now);
  }

  /** Whether a request is to be attempted without other suspects. */
  needsExclusiveAttempt(digest: string): boolean {
    return (this.#entries.get(digest)?.ends.length ?? 0) >= exclusiveEnds;
  }

  /** Records an end; returns the standing that follows from it. */
  recordEnd(
    { digest, incarnation, isExclusive }: ObservedEnd,
    now: number,
  ): Standing {
    const entry = this.#entries.get(digest) ?? createEntry();
    if (!entry.ends.includes(incarnation)) {
      entry.ends = [...entry.ends, incarnation].slice(-maximumEnds);
    }
    const retention = entry.ends.length > 1
      ? retentionMilliseconds
      : singleEndRetentionMilliseconds;
    entry.forgottenAt = Math.max(entry.forgottenAt, now + retention);
    if (entry.ends.length >= quarantineEnds && isExclusive) {
      this.#quarantine(entry, now);
    }
    this.#set(digest, entry, now);
    return this.standing(digest, now);
  }

  /** Records that a run ended by itself; returns whether this cleared it. */
  clear(digest: string): boolean {
    return this.#entries.delete(digest);
  }

  /** Returns one request as another VM may merge it. */
  get(digest: string, now: number): CrashSuspect | undefined {
    const entry = this.#entries.get(digest);
    return entry && {
      digest,
      ends: entry.ends,
      quarantines: entry.quarantines,
      refusedMilliseconds: this.refusedMilliseconds(digest, now),
      remainingMilliseconds: entry.forgottenAt - now,
    };
  }

  /** Returns all requests as another VM may merge them. */
  all(now: number): readonly CrashSuspect[] {
    return [...this.#entries.keys()].map((digest) => this.get(digest, now)!);
  }

  /** Adds what another VM knows; returns whether any of it was new. */
  merge(suspect: CrashSuspect, now: number): boolean {
    const { digest, ends, quarantines } = suspect;
    const entry = this.#entries.get(digest) ?? createEntry();
    const added = ends.filter((end) => !entry.ends.includes(end));
    const isNew = added.length > 0 || quarantines > entry.quarantines;
    entry.ends = [...entry.ends, ...added].slice(-maximumEnds);
    if (quarantines > entry.quarantines) {
      entry.quarantines = quarantines;
      entry.refusedUntil = now + suspect.refusedMilliseconds;
    }
    entry.forgottenAt = Math.max(
      entry.forgottenAt,
      now + Math.min(
        suspect.remainingMilliseconds,
        maximumQuarantineMilliseconds + retentionMilliseconds,
      ),
    );
    this.#set(digest, entry, now);
    return isNew;
  }

  /** Forgets what is outdated; returns whether there was any. */
  expire(now: number): boolean {
    const before = this.size;
    for (const [digest, { forgottenAt }] of this.#entries) {
      if (forgottenAt <= now) this.#entries.delete(digest);
    }
    return this.size !== before;
  }

  #quarantine(entry: Entry, now: number): void {
    if (now < entry.refusedUntil) return;
    const milliseconds = Math.min(
      maximumQuarantineMilliseconds,
      firstQuarantineMilliseconds * 2 ** entry.quarantines,
    );
    entry.quarantines += 1;
    entry.refusedUntil = now + milliseconds;
    entry.forgottenAt = entry.refusedUntil + retentionMilliseconds;
  }

  #set(digest: string, entry: Entry, now: number): void {
    this.#entries.delete(digest);
    this.#entries.set(digest, entry);
    if (this.size <= this.#maximumEntries) return;
    const [oldest] = this.#entries.keys();
    const [evicted = oldest] = [...this.#entries].filter(([, each]) =>
      each.refusedUntil <= now
    ).map(([name]) => name);
    this.#entries.delete(evicted!);
  }
}

function createEntry(): Entry {
  return {
    ends: [],
    quarantines: 0,
    refusedUntil: -Infinity,
    forgottenAt: -Infinity,
  };
}

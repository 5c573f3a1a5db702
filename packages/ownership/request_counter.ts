import { cellOf, loadCellCount } from "./load.ts";
import type { GroupLoadReport } from "./load.ts";

/**
 * Maximum number of groups counted at once; requests of other groups are not
 * counted.
 */
const maximumCountedGroups = 8;
/**
 * Maximum number of positions tracked per group; sized for 84 hot keys that may
 * each have as few as 1 in 2000 requests.
 */
const maximumTrackedPositions = 8192;
/** Maximum number of positions reported per group. */
const maximumReportedPositions = 128;
/** Minimum share of a group's requests for a position to be reported. */
const minimumHotShare = 1 / 4096;
const minimumHotRequests = 4;

interface TrackedPosition {
  count: number;
  /** Upper bound of the counted requests that were for other positions. */
  readonly error: number;
}

/**
 * Finds the most frequent positions of a stream in bounded memory and constant
 * time per request, using the space-saving algorithm.
 */
export class FrequentPositions {
  readonly #capacity: number;
  readonly #tracked = new Map<number, TrackedPosition>();
  /** Tracked positions by count. */
  readonly #buckets = new Map<number, Set<number>>();
  #minimumCount = 1;

  constructor(capacity: number = maximumTrackedPositions) {
    this.#capacity = capacity;
  }

  /** Counts one request. */
  add(position: number): void {
    const known = this.#tracked.get(position);
    if (known) {
      this.#removeFromBucket(position, known.count);
      known.count += 1;
      this.#addToBucket(position, known.count);
    } else if (this.#tracked.size < this.#capacity) {
      this.#track(position, { count: 1, error: 0 });
    } else {
      const error = this.#evictLeastFrequent();
      this.#track(position, { count: error + 1, error });
    }
  }

  /**
   * Returns the positions whose count less its error is at least `minimum`,
   * most frequent first, each with the midpoint of its possible counts.
   */
  withMinimumCount(
    minimum: number,
  ): readonly { readonly position: number; readonly count: number }[] {
    return [...this.#tracked]
      .filter(([, { count, error }]) => count - error >= minimum)
      .map(([position, { count, error }]) => ({
        position,
        count: count - Math.floor(error / 2),
      }))
      .sort((left, right) =>
        right.count - left.count || left.position - right.position
      );
  }

  #track(position: number, tracked: TrackedPosition): void {
    this.#tracked.set(position, tracked);
    this.#addToBucket(position, tracked.count);
    this.#minimumCount = Math.min(this.#minimumCount, tracked.count);
  }

  #evictLeastFrequent(): number {
    while (!this.#buckets.has(this.#minimumCount)) this.#minimumCount += 1;
    const position: number = this.#buckets.get(this.#minimumCount)!.values()
      .next()
      .value!;
    this.#tracked.delete(position);
    this.#removeFromBucket(position, this.#minimumCount);
    return this.#minimumCount;
  }

  #addToBucket(position: number, count: number): void {
    const positions = this.#buckets.get(count);
    if (positions) positions.add(position);
    else this.#buckets.set(count, new Set([position]));
  }

  #removeFromBucket(position: number, count: number): void {
    const positions = this.#buckets.get(count);
    positions?.delete(position);
    if (positions?.size === 0) this.#buckets.delete(count);
  }
}

interface GroupCounter {
  readonly cells: Uint32Array;
  readonly frequent: FrequentPositions;
  total: number;
}

/** Counts the keyed requests of one VM by position; never receives keys. */
export class RequestCounter {
  #groups = new Map<string, GroupCounter>();

  /** Counts one request. */
  add(group: string, position: number): void {
    const counter = this.#counterOf(group);
    if (!counter) return;
    counter.total += 1;
    counter.cells[cellOf(position)]! += 1;
    counter.frequent.add(position);
  }

  /** Returns the requests counted since the last call. */
  takeReports(): readonly GroupLoadReport[] {
    const groups = this.#groups;
    this.#groups = new Map();
    return [...groups].map(([group, counter]) => ({
      group,
      cells: flattenCells(counter.cells),
      hot: counter.frequent.withMinimumCount(
        Math.max(minimumHotRequests, counter.total * minimumHotShare),
      )
        .slice(0, maximumReportedPositions)
        .flatMap(({ position, count }) => [position, count]),
    }));
  }

  #counterOf(group: string): GroupCounter | undefined {
    const known = this.#groups.get(group);
    if (known || this.#groups.size >= maximumCountedGroups) return known;
    const counter = {
      cells: new Uint32Array(loadCellCount),
      frequent: new FrequentPositions(),
      total: 0,
    };
    this.#groups.set(group, counter);
    return counter;
  }
}

function flattenCells(cells: Uint32Array): readonly number[] {
  const flat: number[] = [];
  cells.forEach((count, cell) => {
    if (count > 0) flat.push(cell, count);
  });
  return flat;
}

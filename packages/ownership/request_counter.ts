import { cellOf, loadCells } from "./load.ts";
import type { GroupLoadReport } from "./load.ts";

/** Groups counted at once at most; requests of others are not counted. */
const maximumGroups = 8;
/** Positions followed per group: one of 84 hot keys may have 1 in 2000 requests. */
const followedPositions = 8192;
/** Positions reported per group at most. */
const reportedPositions = 128;
/** A position is reported when it has at least this share of the requests. */
const hotShare = 1 / 4096;
const minimumHotRequests = 4;

interface FollowedPosition {
  count: number;
  /** Requests that may have been for another position. */
  readonly error: number;
}

/**
 * The most frequent positions of a stream in bounded memory and constant time
 * for each request, by the space-saving algorithm.
 */
export class FrequentPositions {
  readonly #capacity: number;
  readonly #followed = new Map<number, FollowedPosition>();
  /** Positions by count. */
  readonly #byCount = new Map<number, Set<number>>();
  #least = 1;

  constructor(capacity: number = followedPositions) {
    this.#capacity = capacity;
  }

  /** Counts one request. */
  add(position: number): void {
    const known = this.#followed.get(position);
    if (known) {
      this.#leave(position, known.count);
      known.count += 1;
      this.#join(position, known.count);
    } else if (this.#followed.size < this.#capacity) {
      this.#follow(position, { count: 1, error: 0 });
    } else {
      const error = this.#dropLeast();
      this.#follow(position, { count: error + 1, error });
    }
  }

  /**
   * Positions with at least `minimum` certain requests, most frequent first,
   * each with the middle of what its count may be.
   */
  above(
    minimum: number,
  ): readonly { readonly position: number; readonly count: number }[] {
    return [...this.#followed]
      .filter(([, { count, error }]) => count - error >= minimum)
      .map(([position, { count, error }]) => ({
        position,
        count: count - Math.floor(error / 2),
      }))
      .sort((left, right) =>
        right.count - left.count || left.position - right.position
      );
  }

  #follow(position: number, followed: FollowedPosition): void {
    this.#followed.set(position, followed);
    this.#join(position, followed.count);
    this.#least = Math.min(this.#least, followed.count);
  }

  #dropLeast(): number {
    while (!this.#byCount.has(this.#least)) this.#least += 1;
    const position: number = this.#byCount.get(this.#least)!.values().next()
      .value!;
    this.#followed.delete(position);
    this.#leave(position, this.#least);
    return this.#least;
  }

  #join(position: number, count: number): void {
    const positions = this.#byCount.get(count);
    if (positions) positions.add(position);
    else this.#byCount.set(count, new Set([position]));
  }

  #leave(position: number, count: number): void {
    const positions = this.#byCount.get(count);
    positions?.delete(position);
    if (positions?.size === 0) this.#byCount.delete(count);
  }
}

interface GroupCounter {
  readonly cells: Uint32Array;
  readonly frequent: FrequentPositions;
  total: number;
}

/** Counts the keyed requests of one VM; knows positions, never keys. */
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

  /** The requests counted since the last call. */
  take(): readonly GroupLoadReport[] {
    const groups = this.#groups;
    this.#groups = new Map();
    return [...groups].map(([group, counter]) => ({
      group,
      cells: flatCells(counter.cells),
      hot: counter.frequent.above(
        Math.max(minimumHotRequests, counter.total * hotShare),
      )
        .slice(0, reportedPositions)
        .flatMap(({ position, count }) => [position, count]),
    }));
  }

  #counterOf(group: string): GroupCounter | undefined {
    const known = this.#groups.get(group);
    if (known || this.#groups.size >= maximumGroups) return known;
    const counter = {
      cells: new Uint32Array(loadCells),
      frequent: new FrequentPositions(),
      total: 0,
    };
    this.#groups.set(group, counter);
    return counter;
  }
}

function flatCells(cells: Uint32Array): readonly number[] {
  const flat: number[] = [];
  cells.forEach((count, cell) => {
    if (count > 0) flat.push(cell, count);
  });
  return flat;
}

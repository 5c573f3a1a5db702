import type { KeyRange, KeyRanges } from "./types.ts";

/** One balancing move is allowed at a time per this many owners. */
const ownersPerMove = 6;
/** Narrow ranges delay few requests, so more of them may move at a time. */
const ownersPerNarrowMove = 2;
/** A range is narrow if its width is at most this share of the mean width. */
const narrowShare = 1 / 8;

/** Limits how many ranges may move at a time. */
export class MoveLimits {
  readonly #narrowWidth: number;
  readonly #maximumMoves: number;
  readonly #maximumNarrowMoves: number;
  #moving = 0;
  #movingNarrow = 0;

  constructor(ranges: KeyRanges, owners: number) {
    const positions = ranges.reduce((sum, each) => sum + widthOf(each), 0);
    this.#narrowWidth = positions / ranges.length * narrowShare;
    this.#maximumMoves = Math.ceil(owners / ownersPerMove);
    this.#maximumNarrowMoves = Math.ceil(owners / ownersPerNarrowMove);
  }

  /** Whether the range may move in addition to those recorded. */
  allows(range: KeyRange): boolean {
    return this.#isNarrow(range)
      ? this.#movingNarrow < this.#maximumNarrowMoves
      : this.#moving < this.#maximumMoves;
  }

  /** Records that a range moves. */
  record(range: KeyRange): void {
    if (this.#isNarrow(range)) this.#movingNarrow += 1;
    else this.#moving += 1;
  }

  #isNarrow(range: KeyRange): boolean {
    return widthOf(range) <= this.#narrowWidth;
  }
}

function widthOf({ from, to }: KeyRange): number {
  return to - from + 1;
}

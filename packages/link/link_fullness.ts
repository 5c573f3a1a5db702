import { busyShare } from "./link_scheduler.ts";
import type { LinkScheduler } from "./link_scheduler.ts";

/** Small messages that wait this long in the kernel make the link full. */
const maximumDebtMilliseconds = 100;
/** Large responses that have waited this long for a slice make it full. */
const maximumWaitMilliseconds = 300;
/** Granted bytes that have not moved for this long are stalled. */
const stallMilliseconds = 400;
/** One stalled transfer may have a slow peer; several tell of the link. */
const minimumStalledTransfers = 2;
/** Bytes flow as fast as the link allows, if the rate is this near its peak. */
const peakShare = 0.5;
/** The link is free after this long without a sign of being full. */
const freeMilliseconds = 200;

/** What tells that a link is full, or is free again. */
export interface LinkObservation {
  readonly queuedBytes: number;
  /** Measured kilobytes a second of the fuller direction. */
  readonly kilobytesPerSecond: number;
  readonly oldestWaitMilliseconds: number;
}

/** Options of a {@link LinkFullness}. */
export interface LinkFullnessOptions {
  readonly directions: readonly LinkScheduler[];
  /** Called when the link becomes full or free. */
  readonly onChange: (isFull: boolean, observation: LinkObservation) => void;
}

/** Whether a link is full, from queued bytes and measured rates. */
export class LinkFullness {
  readonly #options: LinkFullnessOptions;
  #fullAt = -Infinity;
  #isFull = false;

  constructor(options: LinkFullnessOptions) {
    this.#options = options;
  }

  /** Whether the link was full when it was last reviewed. */
  get isFull(): boolean {
    return this.#isFull;
  }

  /** Whether small messages wait as well. */
  delaysSmall(now: number): boolean {
    return this.#options.directions.some((each) => {
      each.settle(now);
      return each.debt > maximumDebtMilliseconds * each.rate ||
        isStalled(each, now);
    });
  }

  /** Finds out whether the link is full now. */
  review(now: number): void {
    if (this.#isFullNow(now)) this.#fullAt = now;
    const isFull = now - this.#fullAt < freeMilliseconds;
    if (isFull === this.#isFull) return;
    this.#isFull = isFull;
    this.#options.onChange(isFull, this.observe(now));
  }

  observe(now: number): LinkObservation {
    const { directions } = this.#options;
    return {
      queuedBytes: Math.round(
        directions.reduce((sum, each) => sum + queuedBytesOf(each, now), 0),
      ),
      kilobytesPerSecond: Math.round(
        Math.max(...directions.map((each) => each.meter.rate(now))),
      ),
      oldestWaitMilliseconds: Math.round(
        Math.max(...directions.map((each) => each.oldestWait(now))),
      ),
    };
  }

  #isFullNow(now: number): boolean {
    return this.delaysSmall(now) ||
      this.#options.directions.some((each) =>
        each.oldestWait(now) > maximumWaitMilliseconds ||
        each.meter.rate(now) >= each.rate * busyShare
      );
  }
}

function queuedBytesOf(direction: LinkScheduler, now: number): number {
  direction.settle(now);
  return direction.debt + direction.waitingBytes;
}

// The rate of the settings may be higher than that of the link: then grants are
// not used up, although bytes arrive as fast as they ever did.
function isStalled(direction: LinkScheduler, now: number): boolean {
  const stalled = direction.stalledSince(now - stallMilliseconds);
  if (stalled < minimumStalledTransfers) return false;
  const rate = direction.meter.rate(now);
  return rate > 0 && rate >= direction.meter.peak(now) * peakShare;
}

/**
 * How long a target stays slow when other processes on its machine are busy:
 * in load reports of the workers at both sites, the slowdown rose threefold for
 * 400 ms at a time.
 */
const episodeMilliseconds = 400;
/** Share of the time that targets were slow in those reports. */
const slowShare = 0.18;
/** Slowdown in an episode relative to the baseline, until one is observed. */
const initialEpisodeRatio = 3;
/** Reports of more than this multiple of the baseline indicate an episode. */
const slowRatio = 1.4;
/** Weight of the newest report without an episode in the baseline. */
const baselineWeight = 0.3;
/** After this many episodes in a row, the slow value becomes the baseline. */
const persistentEpisodeCount = 4;

/**
 * Estimates how much longer than usual work takes on a target that shares its
 * machine, from the slowdown reported in its responses. How much a piece of work
 * is slowed down depends on whether an episode is in progress when it begins, so
 * estimates are for the time of sending.
 */
export class Slowdown {
  /** Moving average of reports outside episodes; undefined before the first. */
  #baseline: number | undefined;
  /** Slowdown in an episode, relative to the baseline. */
  #episodeRatio = initialEpisodeRatio;
  #reportedAt = -Infinity;
  /** Start of the current episode; null if the newest report is not slow. */
  #slowSince: number | null = null;
  /** Start of the first of the current consecutive episodes. */
  #episodesSince: number | null = null;

  /** Whether the target reports its slowdown. */
  get isKnown(): boolean {
    return this.#baseline !== undefined;
  }

  /** Long-term mean slowdown, including episodes. */
  get longTermMean(): number {
    return this.#meanSlowdown(slowShare);
  }

  /** Records a reported slowdown; 1 means that work takes as long as usual. */
  record(value: number, now: number): void {
    if (!(value > 0)) return;
    this.#baseline ??= value;
    this.#reportedAt = now;
    if (value <= this.#baseline * slowRatio) return this.#setBaseline(value);
    this.#episodeRatio = value / this.#baseline;
    this.#episodesSince ??= now;
    if (
      now - this.#episodesSince > episodeMilliseconds * persistentEpisodeCount
    ) {
      this.#baseline = value;
      this.#episodeRatio = initialEpisodeRatio;
      return this.#setBaseline(value);
    }
    const isNewEpisode = this.#slowSince === null ||
      now - this.#slowSince >= episodeMilliseconds;
    if (isNewEpisode) this.#slowSince = now;
  }

  /** Returns the expected slowdown of work that begins now. */
  expected(now: number): number {
    const freshness = Math.max(
      0,
      1 - (now - this.#reportedAt) / episodeMilliseconds,
    );
    const currentShare = this.remainingMilliseconds(now) > 0 ? 1 : 0;
    return this.#meanSlowdown(
      currentShare * freshness + slowShare * (1 - freshness),
    );
  }

  /** Returns the milliseconds until the current episode is expected to end. */
  remainingMilliseconds(now: number): number {
    return this.#slowSince === null
      ? 0
      : Math.max(0, this.#slowSince + episodeMilliseconds - now);
  }

  /** Slowdown of work that begins outside an episode. */
  get baseline(): number {
    return this.#baseline ?? 1;
  }

  #setBaseline(value: number): void {
    const baseline = this.#baseline!;
    // A much lower report shows that the previous ones were from an episode.
    this.#baseline = value * slowRatio < baseline
      ? value
      : baseline + (value - baseline) * baselineWeight;
    this.#slowSince = null;
    this.#episodesSince = null;
  }

  /** Returns the mean slowdown if episodes take the given share of the time. */
  #meanSlowdown(share: number): number {
    return this.baseline * (1 + (this.#episodeRatio - 1) * share);
  }
}

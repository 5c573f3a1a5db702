/**
 * Answers with news that a leader sends in a second, to all gateways together:
 * each change costs one for each of them, and a thousand small ones cost it a
 * tenth of a core and 0.6 MB/s.
 */
const answersPerSecond = 1000;
const millisecondsPerSecond = 1000;

/** Paces news to gateways, so that many changes leave in one answer to each. */
export class NewsPace {
  #toldAt = -Infinity;

  /** Takes in that every gateway is told. */
  noteTold(now: number): void {
    this.#toldAt = now;
  }

  /** Milliseconds until the gateways should be told again. */
  pause(now: number, gateways: number): number {
    const apart = gateways * millisecondsPerSecond / answersPerSecond;
    return Math.max(0, this.#toldAt + apart - now);
  }
}

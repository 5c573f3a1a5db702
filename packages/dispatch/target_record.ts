import { ExchangeEnd } from "./exchange_end.ts";
import { Slowdown } from "./slowdown.ts";
import type { TargetPace } from "./target_pace.ts";

/** Load of a target as reported in a response. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Current duration of work at the target, relative to the usual one. */
  readonly slowdown: number;
}

/** Weight of the newest duration in its moving average. */
const durationWeight = 0.3;
/** Weight of the newest outcome in the moving average of failures. */
const failureWeight = 0.25;
/**
 * After this many mean durations, a report no longer says anything about other
 * gateways' load.
 */
const reportValidityDurations = 3;
/**
 * Responses that take up to this many times the expected duration are normal:
 * work varies, and a target may have slowed down since its last report.
 */
const toleratedStretch = 1.6;
/** Weight of the newest ratio of actual to expected duration. */
const stretchWeight = 0.2;
/**
 * Time after the last exchange at which observations expire, so that the target
 * is rated like an unknown one.
 */
const observationLifetimeMilliseconds = 4000;
/**
 * Age at which a load report is stale, because half of a slow episode may have
 * passed unnoticed. A stale target is probed if a request has no alternative.
 */
const staleMilliseconds = 200;
const initialEjectionMilliseconds = 300;
const maximumEjectionMilliseconds = 4000;

/** Whether a target's load is recent enough to choose by. */
export type LoadFreshness =
  | "fresh"
  /** The target should be probed for its load. */
  | "stale"
  /** A probe is in progress. */
  | "probing";

/** Observations of one target by a gateway. */
export class TargetRecord {
  /** Requests of this gateway that the target has not answered. */
  inFlight = 0;
  #reportAt = -Infinity;
  /** Requests of other gateways at the target when it last reported. */
  #otherLoadAtReport = 0;
  #probeEndedAt = -Infinity;
  #isProbing = false;
  readonly #slowdown = new Slowdown();
  #duration: number | undefined;
  /** Moving average of the ratio of actual to expected duration. */
  #stretch = 1;
  /** Moving average of failures, 0 to 1. */
  #failures = 0;
  #lastExchangeAt = -Infinity;
  #consecutiveBroken = 0;
  #ejectedUntil = -Infinity;
  #pace: TargetPace | undefined;

  /** Slow start of the target; undefined if it is not paced. */
  get pace(): TargetPace | undefined {
    return this.#pace?.isOver ? undefined : this.#pace;
  }

  /** Starts to pace the target, or paces it anew. */
  startPace(pace: TargetPace): void {
    this.#pace = pace;
  }

  /**
   * Whether at least two exchanges broke since the last response. One may break
   * for a cause that lies with a gateway.
   */
  get hasBrokenRepeatedly(): boolean {
    return this.#consecutiveBroken > 1;
  }

  /** Records that a request is sent to the target. */
  begin(): void {
    this.inFlight += 1;
    this.#pace?.recordSend();
  }

  /** Records how a request ended. */
  end(
    end: ExchangeEnd,
    at: {
      readonly now: number;
      readonly durationMilliseconds: number;
      /** Duration that was expected when the request was sent. */
      readonly expectedMilliseconds: number;
    },
  ): void {
    this.inFlight = Math.max(0, this.inFlight - 1);
    this.pace?.recordEnd(end, at);
    if (end === ExchangeEnd.abandoned) return;
    this.#lastExchangeAt = at.now;
    const isFailure = end === ExchangeEnd.failed ||
      end === ExchangeEnd.broken ||
      end === ExchangeEnd.rejected;
    this.#failures += ((isFailure ? 1 : 0) - this.#failures) * failureWeight;
    if (end === ExchangeEnd.broken) return this.#eject(at.now);
    this.#consecutiveBroken = 0;
    this.#ejectedUntil = -Infinity;
    if (end !== ExchangeEnd.answered) return;
    const stretch = at.durationMilliseconds /
      Math.max(1, at.expectedMilliseconds);
    this.#stretch += (stretch - this.#stretch) * stretchWeight;
    this.#duration = this.#duration === undefined
      ? at.durationMilliseconds
      : this.#duration +
        (at.durationMilliseconds - this.#duration) * durationWeight;
  }

  /** Returns whether the load is recent enough to choose by. */
  freshness(now: number): LoadFreshness {
    const isFresh = !this.#slowdown.isKnown ||
      now - this.#reportAt < staleMilliseconds;
    if (isFresh) return "fresh";
    if (this.#isProbing) return "probing";
    // A target that did not answer a probe is used without a report.
    return now - this.#probeEndedAt < staleMilliseconds ? "fresh" : "stale";
  }

  /** Records the start of a probe for the target's load. */
  recordProbeStart(): void {
    this.#isProbing = true;
  }

  /** Records the end of a probe, with the load if it was received. */
  recordProbeEnd(report: LoadReport | undefined, now: number): void {
    this.#isProbing = false;
    this.#probeEndedAt = now;
    if (report) this.report(report, now);
  }

  /**
   * Records the load reported in a response. The answered request must have
   * been removed from {@link inFlight} before.
   */
  report(report: LoadReport, now: number): void {
    this.#slowdown.record(report.slowdown, now);
    this.#reportAt = now;
    this.#otherLoadAtReport = Math.max(
      0,
      report.running + report.waiting - this.inFlight,
    );
  }

  /** Returns the estimated requests at the target, other gateways' included. */
  load(meanMilliseconds: number, now: number): number {
    const share = (now - this.#reportAt) /
      (meanMilliseconds * reportValidityDurations);
    const others = share < 1 ? this.#otherLoadAtReport * (1 - share) : 0;
    return this.inFlight + others;
  }

  /**
   * Returns the expected duration, in milliseconds, of work that begins now,
   * given its duration at a target of average speed.
   */
  expectedDuration(workMilliseconds: number, now: number): number {
    return this.#slowdown.isKnown
      ? workMilliseconds * this.#slowdown.expected(now) * this.#excessRatio(now)
      : this.#observedDuration(workMilliseconds, now);
  }

  /** Returns the long-term mean duration of responses in milliseconds. */
  meanDuration(workMilliseconds: number, now: number): number {
    return this.#slowdown.isKnown
      ? workMilliseconds * this.#slowdown.longTermMean * this.#excessRatio(now)
      : this.#observedDuration(workMilliseconds, now);
  }

  /**
   * Returns how many milliseconds to wait until a slow target is expected to
   * recover; 0 if work that begins now is expected to finish sooner.
   */
  recommendedPause(workMilliseconds: number, now: number): number {
    const remaining = this.#slowdown.remainingMilliseconds(now);
    if (remaining === 0) return 0;
    const saved = workMilliseconds *
      (this.#slowdown.expected(now) - this.#slowdown.baseline);
    return remaining < saved ? remaining : 0;
  }

  /** Returns whether the target has answered recently. */
  hasAnsweredRecently(now: number): boolean {
    return this.#duration !== undefined && this.#expiredShare(now) < 1;
  }

  /** Returns the share of recent failures, which decreases with their age. */
  failureShare(now: number): number {
    return this.#failures * (1 - this.#expiredShare(now));
  }

  /** Returns whether the target is ejected after broken exchanges. */
  isEjected(now: number): boolean {
    // After repeated breaks, one request at a time probes whether the target
    // has recovered.
    return now < this.#ejectedUntil ||
      (this.hasBrokenRepeatedly && this.inFlight > 0);
  }

  #observedDuration(workMilliseconds: number, now: number): number {
    const own = this.#duration ?? workMilliseconds;
    return own + (workMilliseconds - own) * this.#expiredShare(now);
  }

  /**
   * Returns how many times as long as tolerated responses take; at least 1, and
   * 1 again when the observations expire.
   */
  #excessRatio(now: number): number {
    const excess = Math.max(1, this.#stretch / toleratedStretch);
    return excess + (1 - excess) * this.#expiredShare(now);
  }

  #eject(now: number): void {
    this.#consecutiveBroken += 1;
    const pause = Math.min(
      maximumEjectionMilliseconds,
      initialEjectionMilliseconds * 2 ** (this.#consecutiveBroken - 1),
    );
    this.#ejectedUntil = now + pause;
  }

  /** Returns the elapsed share of the lifetime of the observations, 0 to 1. */
  #expiredShare(now: number): number {
    return Math.min(
      1,
      Math.max(
        0,
        (now - this.#lastExchangeAt) / observationLifetimeMilliseconds,
      ),
    );
  }
}

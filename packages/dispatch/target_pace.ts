import { ExchangeEnd } from "./exchange_end.ts";

/** Why the bound of a paced target changed. */
export const PaceReason = {
  /** The target is new, or has a new incarnation. */
  appeared: "appeared",
  coldPeriodEnded: "cold-period-ended",
  /** Its data centre is in service again, or it no longer leaves. */
  returned: "returned",
  /** An exchange broke. */
  broken: "broken",
  rejected: "rejected",
  /** A response took much longer than expected. */
  slow: "slow",
  /** A response arrived in time. */
  inTime: "in-time",
  /** Time passed without bad news. */
  elapsed: "elapsed",
  /** The target has been in use for so long that it is no longer new. */
  expired: "expired",
} as const;
export type PaceReason = typeof PaceReason[keyof typeof PaceReason];

/** What the pace of a target says of one more request. */
export const PaceDecision = {
  /** The request may not be sent to the target now. */
  closed: "closed",
  /** The target is chosen by its cost, like any other. */
  open: "open",
  /**
   * The target is chosen before others, as its share of the requests is due. By
   * cost alone, a share of this share would be sent to it.
   */
  due: "due",
} as const;
export type PaceDecision = typeof PaceDecision[keyof typeof PaceDecision];

/** A change of the bound. */
export interface PaceChange {
  /** Requests in flight that were allowed before; null if not paced. */
  readonly before: number | null;
  /** Requests in flight that are allowed now; null if no longer paced. */
  readonly after: number | null;
  readonly reason: PaceReason;
  /** Milliseconds since the pacing began. */
  readonly ageMilliseconds: number;
  /** Duration of the response that caused the change; null for other causes. */
  readonly durationMilliseconds: number | null;
  /** Duration that was expected of that response; null for other causes. */
  readonly expectedMilliseconds: number | null;
}

/** Circumstances in which a request may be sent. */
export interface PaceSituation {
  readonly now: number;
  /** Requests of this chooser in flight at the target. */
  readonly inFlight: number;
  /** Number of VMs that choose the target independently of each other. */
  readonly choosers: number;
  /** Mean duration of the service's responses. */
  readonly meanMilliseconds: number;
}

/** How a request to a paced target ended. */
export interface PaceEnd {
  readonly now: number;
  readonly durationMilliseconds: number;
  /** Duration that was expected when the request was sent. */
  readonly expectedMilliseconds: number;
}

/**
 * A response that takes more than this many times the expected duration is
 * slow: targets run at up to 1.6 times the work, which varies by half.
 */
const slowRatio = 2.5;
/**
 * Age without bad news after which a chooser that got no response from the
 * target treats it like any other. A chooser that sends so rarely has no fresh
 * observations of other targets either: they expire after 4 s.
 */
const expiryMilliseconds = 10_000;
const initialBound = 1;
/**
 * A chooser that knows all requests at the target sends it one after this time
 * without any. Otherwise a target that was slow at first would be left idle, as
 * only a response can show that it has recovered.
 */
const trialIntervalMilliseconds = 1000;

/** Options of {@link TargetPace}. */
export interface TargetPaceOptions {
  readonly now: number;
  readonly reason: PaceReason;
  /** Slots of the target. */
  readonly slots: number;
  /** Returns a number between 0 and 1. */
  readonly random: () => number;
  /** Called with each change of the bound. @default nothing */
  readonly onChange?: (change: PaceChange) => void;
}

/**
 * Slow start of one target at one chooser: a bound on requests in flight that
 * grows with responses in time and shrinks with rejections, breaks and slow
 * responses, until it equals the slots.
 *
 * Choosers that do not know of each other also limit what they send to the
 * target's share of the requests that they receive, times the bound relative to
 * the slots. Thus their total is never more than that share, however many find
 * the target idle at the same time.
 */
export class TargetPace {
  readonly #startedAt: number;
  readonly #slots: number;
  /**
   * Whether other choosers may find the target idle at the same moment. Only
   * those that had a request there know that it broke; these are few.
   */
  readonly #mayBeShared: boolean;
  readonly #onChange: (change: PaceChange) => void;
  /**
   * Part of a request to which this chooser is entitled at the start; random, so
   * that choosers do not all send their first request at the same time.
   */
  readonly #phase: number;
  #bound = initialBound;
  #sent = 0;
  /** Requests that are due for those received before the latest. */
  #accrued = 0;
  /** The target's share of the latest request received. */
  #latestShare = 0;
  /** Time of the last growth or bad news. */
  #changedAt: number;
  #badNewsAt: number;
  /** Whether the target responded in time since the start or the last break. */
  #hasResponded = false;
  #isBroken: boolean;
  /** Mean duration of the service's responses; undefined before a decision. */
  #meanMilliseconds: number | undefined;
  /** Requests sent up to the latest decision, and when one was last sent. */
  #seenSent = 0;
  #seenSentAt: number;
  #isOver = false;

  constructor(options: TargetPaceOptions) {
    const { now, reason, slots, random, onChange = () => {} } = options;
    this.#slots = Math.max(initialBound, slots);
    this.#mayBeShared = reason !== PaceReason.broken;
    this.#isBroken = reason === PaceReason.broken;
    this.#seenSentAt = now;
    this.#startedAt = now;
    this.#changedAt = now;
    this.#badNewsAt = now;
    this.#phase = random();
    this.#onChange = onChange;
    this.#report(null, reason, now);
  }

  /** Whether the bound has reached the slots and no longer applies. */
  get isOver(): boolean {
    return this.#isOver;
  }

  /** Bound on the requests in flight. */
  get bound(): number {
    return this.#bound;
  }

  /**
   * Records a request that the chooser received for the target's service.
   *
   * @param share is the target's part of the service's slots, 0 to 1.
   */
  recordReceived(share: number): void {
    this.#accrued += this.#latestShare * this.#ratio;
    this.#latestShare = share;
  }

  /** Decides whether one more request may be sent to the target now. */
  decide(situation: PaceSituation): PaceDecision {
    this.#meanMilliseconds = situation.meanMilliseconds;
    this.#grow(situation);
    if (this.#isOver) return PaceDecision.open;
    const maximumInFlight = this.#hasResponded ? this.#bound : initialBound;
    if (situation.inFlight >= maximumInFlight) return PaceDecision.closed;
    if (this.#isShared(situation)) {
      return this.#isDue(situation) ? PaceDecision.due : PaceDecision.closed;
    }
    return this.#isTrialDue(situation) ? PaceDecision.due : PaceDecision.open;
  }

  /** Records that a request is sent to the target. */
  recordSend(): void {
    this.#sent += 1;
  }

  /**
   * Ends the pacing if there was no bad news for ten seconds. For choosers that
   * do not know of each other.
   */
  expire(now: number): void {
    if (this.#isOver || now - this.#badNewsAt < expiryMilliseconds) return;
    this.#isOver = true;
    this.#report(this.#bound, PaceReason.expired, now);
  }

  /** Records how a request to the target ended. */
  recordEnd(end: ExchangeEnd, at: PaceEnd): void {
    if (this.#isOver) return;
    switch (end) {
      case ExchangeEnd.abandoned:
      // An error response shows neither that the target is overloaded nor that
      // it can take more.
      case ExchangeEnd.failed:
        return;
      case ExchangeEnd.broken:
        this.#hasResponded = false;
        this.#isBroken = true;
        return this.#shrinkTo(initialBound, PaceReason.broken, at);
      case ExchangeEnd.rejected:
        return this.#shrinkTo(
          Math.floor(this.#bound / 2),
          PaceReason.rejected,
          at,
        );
      case ExchangeEnd.answered:
        return this.#recordResponse(at);
    }
  }

  #isShared({ choosers }: PaceSituation): boolean {
    return this.#mayBeShared && choosers > 1;
  }

  #isTrialDue({ now, inFlight }: PaceSituation): boolean {
    if (this.#seenSent !== this.#sent) {
      this.#seenSent = this.#sent;
      this.#seenSentAt = now;
    }
    return !this.#isBroken && inFlight === 0 &&
      now - this.#seenSentAt >= trialIntervalMilliseconds;
  }

  /** Bound relative to the slots. */
  get #ratio(): number {
    return Math.min(1, this.#bound / this.#slots);
  }

  #recordResponse(at: PaceEnd): void {
    this.#isBroken = false;
    const limit = Math.max(1, at.expectedMilliseconds) * slowRatio;
    if (at.durationMilliseconds > limit) {
      return this.#shrinkTo(this.#bound - 1, PaceReason.slow, at);
    }
    this.#hasResponded = true;
    this.#changedAt = at.now;
    const before = this.#bound;
    this.#bound = Math.min(this.#slots, before + 1);
    this.#isOver = this.#bound >= this.#slots && (
      this.#isNormal(at) || at.now - this.#badNewsAt >= expiryMilliseconds
    );
    if (this.#bound === before && !this.#isOver) return;
    this.#report(before, PaceReason.inTime, at.now, at);
  }

  /**
   * Whether a response took no longer than usual in the service. The expected
   * duration is that of this target, which may have been slow before.
   */
  #isNormal({ durationMilliseconds }: PaceEnd): boolean {
    return this.#meanMilliseconds === undefined ||
      durationMilliseconds <= this.#meanMilliseconds * slowRatio;
  }

  #shrinkTo(bound: number, reason: PaceReason, at: PaceEnd): void {
    const before = this.#bound;
    this.#bound = Math.max(initialBound, bound);
    this.#changedAt = at.now;
    this.#badNewsAt = at.now;
    if (this.#bound !== before) this.#report(before, reason, at.now, at);
  }

  /**
   * Raises the bound after each mean duration without bad news. Otherwise many
   * choosers, each of which sees few of the responses, would leave the target
   * idle.
   */
  #grow(situation: PaceSituation): void {
    if (!this.#isShared(situation)) return;
    const { now, meanMilliseconds } = situation;
    this.expire(now);
    const isDue = now - this.#changedAt >= meanMilliseconds;
    if (this.#isOver || !isDue || this.#bound >= this.#slots) return;
    this.#changedAt = now;
    const before = this.#bound;
    this.#bound = Math.min(this.#slots, before + 1);
    this.#report(before, PaceReason.elapsed, now);
  }

  /**
   * Whether the share of the requests that this chooser received, or an equal
   * share of what the slots can do, if that is more, allows one more request.
   */
  #isDue(
    { now, choosers, meanMilliseconds }: PaceSituation,
  ): boolean {
    const equalShare = (now - this.#startedAt) * this.#slots /
      (meanMilliseconds * choosers);
    const due = Math.max(
      this.#accrued + this.#latestShare * this.#ratio,
      equalShare * this.#ratio,
    );
    return this.#phase + due >= this.#sent + 1;
  }

  #report(
    before: number | null,
    reason: PaceReason,
    now: number,
    response?: PaceEnd,
  ): void {
    this.#onChange({
      before,
      after: this.#isOver ? null : this.#bound,
      reason,
      ageMilliseconds: now - this.#startedAt,
      durationMilliseconds: response?.durationMilliseconds ?? null,
      expectedMilliseconds: response?.expectedMilliseconds ?? null,
    });
  }
}

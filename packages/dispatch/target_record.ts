/** What an answer tells of its target's load. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Duration of work there at this moment, relative to the usual one. */
  readonly slowdown: number;
}

/** How a request at a target ended, as far as choices go. */
export const ExchangeEnd = {
  answered: "answered",
  /** The target said that it did not run the request. */
  rejected: "rejected",
  /** The target answered that it failed. */
  failed: "failed",
  /** No connection, no answer, or one that cannot be trusted. */
  broken: "broken",
  /** Nobody waits for the answer any more. */
  abandoned: "abandoned",
} as const;
export type ExchangeEnd = typeof ExchangeEnd[keyof typeof ExchangeEnd];

/** Weight of the newest duration in the mean. */
const durationWeight = 0.3;
/** Weight of the newest outcome in the share of failures. */
const failureWeight = 0.25;
/** A report says little of other gateways' work after so many usual durations. */
const reportDurations = 3;
/** The slowdown changes many times a second. */
const slowdownMilliseconds = 400;
/** After this long without news a target is taken as good as the others. */
const forgiveMilliseconds = 4000;
const firstEjectionMilliseconds = 300;
const mostEjectionMilliseconds = 4000;

/** What a gateway has seen of one target. */
export class TargetRecord {
  /** Requests of this gateway that it has not answered. */
  inFlight = 0;
  #report: LoadReport | undefined;
  #reportAt = -Infinity;
  #othersAtReport = 0;
  #duration: number | undefined;
  #failures = 0;
  #seenAt = -Infinity;
  #brokenInTurn = 0;
  #ejectedUntil = -Infinity;

  /** Takes in that a request leaves for the target. */
  begin(): void {
    this.inFlight += 1;
  }

  /** Takes in how a request ended. */
  end(
    end: ExchangeEnd,
    at: { now: number; durationMilliseconds: number },
  ): void {
    this.inFlight = Math.max(0, this.inFlight - 1);
    if (end === ExchangeEnd.abandoned) return;
    this.#seenAt = at.now;
    const isBad = end === ExchangeEnd.failed || end === ExchangeEnd.broken ||
      end === ExchangeEnd.rejected;
    this.#failures += ((isBad ? 1 : 0) - this.#failures) * failureWeight;
    if (end === ExchangeEnd.broken) return this.#eject(at.now);
    this.#brokenInTurn = 0;
    this.#ejectedUntil = -Infinity;
    if (end !== ExchangeEnd.answered) return;
    this.#duration = this.#duration === undefined
      ? at.durationMilliseconds
      : this.#duration +
        (at.durationMilliseconds - this.#duration) * durationWeight;
  }

  /** Takes in what an answer says of the load; the answered request is done. */
  report(report: LoadReport, now: number): void {
    this.#report = report;
    this.#reportAt = now;
    this.#othersAtReport = Math.max(
      0,
      report.running + report.waiting - this.inFlight,
    );
  }

  /** Requests thought to be there, those of other gateways included. */
  load(usualMilliseconds: number, now: number): number {
    const share = (now - this.#reportAt) /
      (usualMilliseconds * reportDurations);
    const others = share < 1 ? this.#othersAtReport * (1 - share) : 0;
    return this.inFlight + others;
  }

  /** Mean duration of its answers, or the given one when it is not known. */
  duration(usualMilliseconds: number, now: number): number {
    const share = this.#staleness(now);
    const own = this.#duration ?? usualMilliseconds;
    return own + (usualMilliseconds - own) * share;
  }

  /** Whether it answered lately. */
  isSeen(now: number): boolean {
    return this.#duration !== undefined && this.#staleness(now) < 1;
  }

  /** How much longer than usual work takes there now. */
  slowdown(now: number): number {
    return now - this.#reportAt < slowdownMilliseconds
      ? Math.max(1, this.#report?.slowdown ?? 1)
      : 1;
  }

  /** Share of its latest requests that it did not answer well. */
  failureShare(now: number): number {
    return this.#failures * (1 - this.#staleness(now));
  }

  /** Whether it broke off and is to be left alone for now. */
  isEjected(now: number): boolean {
    // One request at a time finds out whether it is back.
    return now < this.#ejectedUntil ||
      (this.#brokenInTurn > 1 && this.inFlight > 0);
  }

  #eject(now: number): void {
    this.#brokenInTurn += 1;
    const pause = Math.min(
      mostEjectionMilliseconds,
      firstEjectionMilliseconds * 2 ** (this.#brokenInTurn - 1),
    );
    this.#ejectedUntil = now + pause;
  }

  #staleness(now: number): number {
    return Math.min(1, Math.max(0, (now - this.#seenAt) / forgiveMilliseconds));
  }
}

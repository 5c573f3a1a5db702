import type { TargetRecord } from "@kingcupglade/ownership";

/** How long a peak of running and waiting requests counts as demand. */
const peakMilliseconds = 1000;

/**
 * A VM's report to the holder of the target's shard, which grants its credits.
 * The fields are those of `TargetCreditReport`.
 */
export interface CreditAccountReport {
  readonly target: string;
  readonly held: number;
  readonly credits: number;
  readonly wanted: number;
  readonly answered: number;
  readonly coldBoot: string;
}

/** Credits that a VM holds and uses for one target. */
export class CreditAccount {
  readonly target: string;
  #boot: string;
  #credits = 0;
  #validUntil = -Infinity;
  #inProgress = 0;
  #queued = 0;
  #answered = 0;
  #coldBoot = "";
  #peak = 0;
  #peakAt = -Infinity;
  /**
   * Credits requested in the last report; after the response, at most those
   * that the VM holds.
   */
  #requested = 0;
  /** The only report whose response may still be applied. */
  #latest: CreditAccountReport | undefined;
  #reportedAt = -Infinity;
  #mustReport = false;
  /** Credits that the holder has recorded for this VM. */
  #reserved = 0;

  constructor(target: Pick<TargetRecord, "target" | "boot">) {
    this.target = target.target;
    this.#boot = target.boot;
  }

  get inProgress(): number {
    return this.#inProgress;
  }

  /** Returns the number of credits that have not lapsed. */
  credits(now: number): number {
    return now < this.#validUntil ? this.#credits : 0;
  }

  /** Returns whether the VM holds and wants no credits and owes no report. */
  isIdle(now: number): boolean {
    return this.#inProgress === 0 && this.credits(now) === 0 &&
      this.wanted(now) === 0 && !this.#mustReport;
  }

  /** Returns whether a report should be sent to the holder now. */
  isReportDue(
    now: number,
    times: {
      /** Minimum milliseconds between reports of changed demand. */
      readonly changeIntervalMilliseconds: number;
      /** Milliseconds between reports that only renew the lease. */
      readonly renewIntervalMilliseconds: number;
    },
  ): boolean {
    if (this.needsMore || this.isUrgent(now)) return true;
    const silence = now - this.#reportedAt;
    if (this.wanted(now) !== this.#requested) {
      return silence >= times.changeIntervalMilliseconds;
    }
    return silence >= times.renewIntervalMilliseconds && !this.isIdle(now);
  }

  /**
   * Returns how many credits the VM could use: the recent peak of running and
   * waiting requests.
   */
  wanted(now: number): number {
    const used = this.#inProgress + this.#queued;
    return now - this.#peakAt < peakMilliseconds
      ? Math.max(used, this.#peak)
      : used;
  }

  /** Returns whether the holder has recorded more credits than the VM keeps. */
  mustReturn(now: number): boolean {
    return this.#reserved > Math.max(this.credits(now), this.#inProgress);
  }

  /** Returns whether to report even if an earlier report is unanswered. */
  isUrgent(now: number): boolean {
    return this.#mustReport || this.mustReturn(now);
  }

  /** Whether waiting requests need more credits than were requested. */
  get needsMore(): boolean {
    return this.#queued > 0 &&
      this.#inProgress + this.#queued > this.#requested;
  }

  /** Drops the credits of an earlier incarnation of the target. */
  updateTarget(target: Pick<TargetRecord, "boot">): void {
    if (target.boot === this.#boot) return;
    this.#boot = target.boot;
    this.#dropCredits();
  }

  /** Records the start of a request. */
  begin(now: number): void {
    this.#inProgress += 1;
    this.#recordPeak(now);
  }

  /** Records the end of a request. */
  end(outcome: { readonly answered: boolean }): void {
    this.#inProgress -= 1;
    if (outcome.answered) this.#answered += 1;
  }

  /** Records the number of waiting requests. */
  recordQueueLength(length: number, now: number): void {
    this.#queued = length;
    this.#recordPeak(now);
  }

  /**
   * Records a sign that the target has become cold. No requests start until the
   * holder has responded.
   */
  recordPossiblyCold(): void {
    this.#coldBoot = this.#boot;
    this.#dropCredits();
  }

  /**
   * Returns unused credits at the holder's request and creates a report.
   * Responses to earlier reports are then ignored.
   */
  recall(
    now: number,
    options: { readonly cold: boolean },
  ): CreditAccountReport {
    const used = this.#inProgress + this.#queued;
    const idle = Math.max(0, this.credits(now) - used);
    const kept = used + Math.floor(idle / 2);
    this.#peak = Math.min(this.#peak, kept);
    this.#credits = options.cold ? 0 : Math.min(this.#credits, kept);
    const coldBoot = this.#coldBoot;
    const report = this.report(now);
    this.#latest = undefined;
    this.#coldBoot = coldBoot;
    // The holder treats the request for more credits as withdrawn, so it must
    // be sent again.
    this.#requested = Math.min(report.wanted, report.held);
    this.#mustReport = options.cold || coldBoot !== "";
    return { ...report, coldBoot: "" };
  }

  /** Creates a report; responses to earlier reports are then ignored. */
  report(now: number): CreditAccountReport {
    const wanted = this.wanted(now);
    const credits = Math.min(this.credits(now), wanted);
    this.#credits = credits;
    this.#requested = wanted;
    this.#mustReport = false;
    this.#reportedAt = now;
    const report = {
      target: this.target,
      held: Math.max(credits, this.#inProgress),
      credits,
      wanted,
      answered: this.#answered,
      coldBoot: this.#coldBoot,
    };
    this.#answered = 0;
    this.#coldBoot = "";
    this.#reserved = report.held;
    this.#latest = report;
    return report;
  }

  /** Applies the holder's response to a report, unless it is out of date. */
  applyGrant(
    report: CreditAccountReport,
    response: { readonly credits: number; readonly validUntil: number },
  ): void {
    if (report !== this.#latest) return;
    const { credits, validUntil } = response;
    this.#credits = credits;
    this.#requested = Math.min(this.#requested, Math.max(credits, report.held));
    this.#reserved = Math.max(this.#reserved, credits);
    this.#validUntil = validUntil;
  }

  /** Records that a report was not answered. */
  recordReportFailure(report: CreditAccountReport): void {
    if (report === this.#latest) this.#requested = 0;
    this.#answered += report.answered;
    this.#coldBoot ||= report.coldBoot;
  }

  #dropCredits(): void {
    this.#credits = 0;
    this.#latest = undefined;
    this.#mustReport = true;
  }

  #recordPeak(now: number): void {
    const used = this.#inProgress + this.#queued;
    if (used < this.#peak && now - this.#peakAt < peakMilliseconds) return;
    this.#peak = used;
    this.#peakAt = now;
  }
}

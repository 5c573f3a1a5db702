/** How closely the limits of workspaces are kept, over all gateways. */
export interface QuotaSettings {
  /** Length of the sliding window, in milliseconds. */
  readonly windowMilliseconds: number;
  /** Share by which the requests in a window may exceed the limit. */
  readonly overage: number;
  /** Requests in a window beyond the limit and the overage. */
  readonly slack: number;
}

/** Limit of a workspace. */
export interface QuotaLimit {
  /** Requests per second over all gateways; 0 for no limit. */
  readonly ratePerSecond: number;
  /** Requests beyond the rate that may come at once. */
  readonly burst: number;
}

/** Used where the settings of the fleet have no section for quotas. */
export const defaultQuotaSettings: QuotaSettings = {
  windowMilliseconds: 5000,
  overage: 0.1,
  slack: 20,
};

/**
 * Time for which a leader counts a loan from its answer on, in milliseconds. It
 * is above the longest time between two answers, 1.2 s, by the time of two
 * searches for a new leader.
 */
export const loanMilliseconds = 4000;

/**
 * Time for which a gateway uses a loan, counted from its report. It is 2 %
 * shorter than the leader's, as the clocks of two VMs may drift by that much.
 */
export const leaseMilliseconds = loanMilliseconds * 0.98;

/**
 * Share of overage and slack that is not lent: requests reach targets at times
 * that differ more than those at which they were sent. Chosen, not measured.
 */
const keptShare = 0.1;

const millisecondsPerSecond = 1000;

/**
 * Returns the sum of the allowances that may be outstanding, which is at most the
 * number of requests that may be sent in any window. Infinite without a limit.
 */
export function totalAllowance(
  { ratePerSecond, burst }: QuotaLimit,
  { windowMilliseconds, overage, slack }: QuotaSettings,
): number {
  if (ratePerSecond <= 0) return Infinity;
  const base = ratePerSecond * windowMilliseconds / millisecondsPerSecond +
    burst;
  const lent = base + (base * overage + slack) * (1 - keptShare);
  // Rounding errors of the product must not cost a request.
  return Math.floor(lent + 1e-9);
}

/** Share of a duration by which the clocks of two VMs may differ in rate. */
const clockDriftShare = 0.02;
/**
 * Time in which a gateway may stand still between the check of its lease and the
 * write of the request, without noticing.
 */
const pauseAllowanceMilliseconds = 250;

/** Permission of a gateway to rely on its table of keys. */
export interface KeyLease {
  /** When the lease ends, in milliseconds of the gateway's elapsed clock. */
  readonly endsAt: number;
}

/** State before the first response of a leader. */
export const noKeyLease: KeyLease = { endsAt: -Infinity };

/** What a watch response tells about the lease. */
export interface LeaseRenewal {
  /** When the watch request was sent, on the gateway's elapsed clock. */
  readonly sentAt: number;
  /**
   * How long before it received the request the leader was confirmed by a
   * quorum; undefined if it never was.
   */
  readonly confirmedAgeMilliseconds: number | undefined;
  /** Whether the table agrees with the leader's after the response. */
  readonly isTableCurrent: boolean;
}

/** Returns the duration of a lease, 0 if revocation leaves no time for one. */
export function leaseMilliseconds(revokeMilliseconds: number): number {
  return Math.max(
    0,
    revokeMilliseconds * (1 - clockDriftShare) - pauseAllowanceMilliseconds,
  );
}

/**
 * Returns the lease after a watch response. It is counted from the time at which
 * the request was sent, minus the age of the leader's confirmation: no change
 * that the leader lacks was acknowledged before that. The time of the response
 * would be too late, as the response may have been on its way for long.
 */
export function renewLease(
  lease: KeyLease,
  renewal: LeaseRenewal,
  durationMilliseconds: number,
): KeyLease {
  const { sentAt, confirmedAgeMilliseconds: age, isTableCurrent } = renewal;
  if (age === undefined || !(age >= 0) || !isTableCurrent) return lease;
  return {
    endsAt: Math.max(lease.endsAt, sentAt - age + durationMilliseconds),
  };
}

/** Whether a lease holds at a time of the gateway's elapsed clock. */
export function holdsLease({ endsAt }: KeyLease, now: number): boolean {
  return now < endsAt;
}

/**
 * Returns the age to send with a watch response, relative to the receipt of the
 * request; undefined if no quorum has confirmed the leader. All times are of the
 * leader's elapsed clock.
 */
export function confirmedAge(
  { confirmedAt, receivedAt }: {
    /** When a quorum last confirmed the leader, before its table was read. */
    readonly confirmedAt: number;
    /** When the watch request was received. */
    readonly receivedAt: number;
  },
): number | undefined {
  if (!Number.isFinite(confirmedAt)) return undefined;
  return Math.max(0, receivedAt - confirmedAt);
}

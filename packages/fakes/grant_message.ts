/** A range that a target may serve under an epoch. */
export interface HeldGrant {
  readonly group: string;
  readonly start: number;
  readonly end: number;
  readonly epoch: number;
}

/** A push of grants; later pushes have a higher version or sequence. */
export interface GrantMessage {
  readonly boot: string;
  readonly version: number;
  readonly sequence: number;
  readonly grants: readonly HeldGrant[];
}

/** Position of a push of grants in the order of all pushes to a target. */
export interface PushOrder {
  readonly version: number;
  readonly sequence: number;
}

/** Order before the first push. */
export const noPush: PushOrder = { version: 0, sequence: 0 };

/** Returns whether a push precedes another. */
export function isBefore(
  candidate: PushOrder,
  reference: PushOrder,
): boolean {
  return candidate.version < reference.version ||
    (candidate.version === reference.version &&
      candidate.sequence < reference.sequence);
}

/** The response to a target's announcement. */
export interface AnnouncementResponse {
  readonly leaseMilliseconds?: number;
  /** The first push that is valid under a lease that begins now. */
  readonly grantsFrom?: PushOrder;
}

/** Returns whether a grant covers the request's position and exact epoch. */
export function coversRequest(
  grants: readonly HeldGrant[],
  request: {
    readonly group: string;
    readonly position: number;
    readonly epoch: number;
  },
): boolean {
  const { group, position, epoch } = request;
  return grants.some((grant) =>
    grant.group === group && grant.start <= position &&
    position < grant.end && grant.epoch === epoch
  );
}

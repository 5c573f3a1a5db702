import { LeaseTable, RateLimiter } from "@kingcupglade/membership";
import type { Announcement } from "@kingcupglade/membership";
import type { Grant, TargetRecord, TargetView } from "@kingcupglade/ownership";

/** Maximum number of registered targets. */
const maximumTargets = 4096;
/** Time for which pushes may fail before the target's lease is refused. */
const confirmTimeoutMilliseconds = 1000;
/** Time since the first failed push after which a lease is granted again. */
const readmissionDelayMilliseconds = 5000;
/** Rate limit for changes of a target's description: burst, and per second. */
const descriptionChangeRate = { burst: 8, perSecond: 2 } as const;

/** Delay before a failed push is retried. */
const pushRetryDelayMilliseconds = 100;

/** Identifies a push to a target and orders the pushes of all leaders. */
export interface PushId {
  /** Table version that the grants are derived from. */
  readonly version: number;
  /** Orders the pushes of a version. */
  readonly sequence: number;
}

/** A push of grants to a target. */
export interface SequencedPush extends PushId {
  readonly target: string;
  readonly boot: string;
  readonly grants: readonly Grant[];
}

interface TrackedTarget {
  readonly boot: string;
  /** The last confirmed push; null if the target's grants are not certain. */
  readonly confirmed: SequencedPush | null;
  /** Whether the target has confirmed a push during this lease. */
  readonly acceptsGrants: boolean;
  /** The push in progress; confirmations of other pushes are ignored. */
  readonly pushing: PushId | null;
  /** Time since which pushes have failed; null if the last one succeeded. */
  readonly failingSince: number | null;
  readonly retryAt: number;
}

/** Tracks the leases and the confirmed grants of targets for the leader. */
export class TargetTracker {
  readonly #leases: LeaseTable;
  readonly #tracked = new Map<string, TrackedTarget>();
  readonly #changeLimiter = new RateLimiter(descriptionChangeRate);

  constructor(leaseMilliseconds: number, since: number) {
    this.#leases = new LeaseTable({ leaseMilliseconds }, since);
  }

  /**
   * Returns why a target gets no lease now, or null. `targets` are the
   * registered targets.
   */
  findRefusal(
    announcement: Announcement,
    targets: ReadonlyMap<string, TargetRecord>,
    now: number,
  ): string | null {
    const record = targets.get(announcement.target);
    if (!record) {
      return targets.size < maximumTargets
        ? null
        : `${maximumTargets} targets are known already`;
    }
    return record.boot === announcement.boot
      ? this.#findSameBootRefusal(announcement, record, now)
      : this.#findNewBootRefusal(announcement, record, now);
  }

  /** Returns whether a target may change its description now. */
  allowsChange(target: string, now: number): boolean {
    return this.#changeLimiter.take(target, now);
  }

  /**
   * Renews a lease. The confirmed grants become unknown if the target reports
   * that it acts on others.
   */
  renew(announcement: Announcement, now: number): void {
    const { target, boot } = announcement;
    const known = this.#tracked.get(target);
    // The grants of a new incarnation, or of one whose lease had lapsed, are
    // unknown until it confirms a push.
    if (known?.boot !== boot || this.#leases.hasLapsed(target, now)) {
      const failingSince = known?.boot === boot ? known.failingSince : null;
      this.#tracked.set(target, {
        boot,
        confirmed: null,
        acceptsGrants: false,
        pushing: null,
        failingSince,
        retryAt: -Infinity,
      });
    } else if (contradictsConfirmed(announcement, known.confirmed)) {
      this.#tracked.set(target, { ...known, confirmed: null });
    }
    this.#leases.renew(target, boot, now);
  }

  /** Removes the state of a target that control has removed. */
  forget(target: string): void {
    this.#tracked.delete(target);
    this.#changeLimiter.forget(target);
  }

  /** Returns the state of the target's lease and grants for the planner. */
  view(target: string, now: number): TargetView {
    return {
      lapsed: this.#leases.hasLapsed(target, now),
      lapsesAt: this.#leases.lapsesAt(target),
      held: this.#tracked.get(target)?.confirmed?.grants ?? null,
      acceptsGrants: this.#tracked.get(target)?.acceptsGrants ?? false,
    };
  }

  /** Returns whether the retry delay after a failed push is over. */
  mayPush(target: string, now: number): boolean {
    return now >= (this.#tracked.get(target)?.retryAt ?? -Infinity);
  }

  /**
   * Begins a push; returns false if none may be sent now. Until the push is
   * confirmed, the target may hold either its previous or the new grants.
   */
  beginPush(push: Omit<SequencedPush, "grants">): boolean {
    const known = this.#tracked.get(push.target);
    if (!known || known.boot !== push.boot || known.pushing) return false;
    const { version, sequence } = push;
    this.#tracked.set(push.target, {
      ...known,
      confirmed: null,
      pushing: { version, sequence },
    });
    return true;
  }

  /** Records the result of a push. */
  endPush(
    push: SequencedPush,
    result: { readonly confirmed: boolean; readonly now: number },
  ): void {
    const known = this.#tracked.get(push.target);
    if (!known?.pushing || !isSamePush(known.pushing, push)) return;
    const { confirmed, now } = result;
    this.#tracked.set(push.target, {
      ...known,
      confirmed: confirmed ? push : null,
      acceptsGrants: known.acceptsGrants || confirmed,
      pushing: null,
      failingSince: confirmed ? null : known.failingSince ?? now,
      retryAt: confirmed ? -Infinity : now + pushRetryDelayMilliseconds,
    });
  }

  #findSameBootRefusal(
    announcement: Announcement,
    record: TargetRecord,
    now: number,
  ): string | null {
    const { target, service, address } = announcement;
    if (record.service !== service) {
      return `target "${target}" announced service "${record.service}" before; restart it to change its service`;
    }
    const known = this.#tracked.get(target);
    if (!known || known.failingSince === null) return null;
    const failingMilliseconds = now - known.failingSince;
    if (failingMilliseconds > readmissionDelayMilliseconds) {
      this.#tracked.set(target, { ...known, failingSince: null });
      return null;
    }
    return failingMilliseconds > confirmTimeoutMilliseconds
      ? `no grants can be delivered to ${address}; see that the control VMs reach it there`
      : null;
  }

  // A process at the same address has replaced the previous one; a process at
  // another address may run concurrently with it until the lease lapses.
  #findNewBootRefusal(
    announcement: Announcement,
    record: TargetRecord,
    now: number,
  ): string | null {
    const { target, address } = announcement;
    return record.address === address || this.#leases.hasLapsed(target, now)
      ? null
      : `target "${target}" holds a lease at ${record.address}; wait until it lapses, or choose another name`;
  }
}

/** Returns whether a target reports grants other than those it confirmed. */
function contradictsConfirmed(
  announcement: Announcement,
  confirmed: SequencedPush | null,
): boolean {
  const { actsOn } = announcement;
  return actsOn !== undefined && confirmed !== null &&
    !isSamePush(actsOn, confirmed);
}

function isSamePush(left: PushId, right: PushId): boolean {
  return left.version === right.version && left.sequence === right.sequence;
}

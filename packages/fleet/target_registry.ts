import type { Announcement } from "./announcement.ts";
import type { Departure, TargetIncarnation } from "./types.ts";

/** Registered state of a target, from its heartbeats. */
export interface RegisteredTarget {
  readonly incarnation: TargetIncarnation;
  readonly service: string;
  readonly address: string;
  readonly dataCentre: string;
  readonly slots: number;
  /** Whether it receives no new requests. */
  readonly isLeaving: boolean;
  /**
   * Whether its last heartbeat reported it as cold, so that it can take only
   * little load.
   */
  readonly isCold: boolean;
  readonly sequence: number;
  /** Local monotonic time of the last heartbeat, in milliseconds. */
  readonly lastSeenAt: number;
  /** Revision of the last change that gateways must learn. */
  readonly revision: number;
  /**
   * Whether its data centre returned to service and no heartbeat has arrived
   * since.
   */
  readonly isUnconfirmed: boolean;
  /**
   * Requests per second that it accepts from all gateways together, as gateways
   * reported; null if it names no limit.
   */
  readonly maximumPerSecond: number | null;
}

/** Counts the changes that gateways must learn. */
export class RevisionCounter {
  #current = 0;

  get current(): number {
    return this.#current;
  }

  next(): number {
    return ++this.#current;
  }
}

/** Targets without a heartbeat for this long are removed. */
const removeAfterMilliseconds = 60_000;

/**
 * Targets without a heartbeat for this long leave their address to others. A late
 * heartbeat of an earlier target of the address arrives sooner.
 */
const silentHolderMilliseconds = 10_000;

/** Targets known to the leader from their heartbeats. */
export class TargetRegistry {
  readonly #targets = new Map<string, RegisteredTarget>();
  /** Names of targets by address. */
  readonly #addresses = new Map<string, Set<string>>();
  /** Revisions of removals by target name. */
  readonly #removals = new Map<string, number>();
  readonly #revisions: RevisionCounter;

  constructor(revisions: RevisionCounter) {
    this.#revisions = revisions;
  }

  get(target: string): RegisteredTarget | undefined {
    return this.#targets.get(target);
  }

  all(): Iterable<RegisteredTarget> {
    return this.#targets.values();
  }

  /** Returns the names of the targets removed after a revision. */
  removedSince(revision: number): readonly string[] {
    return [...this.#removals].filter(([, removalRevision]) =>
      removalRevision > revision
    ).map(([name]) => name);
  }

  /**
   * Records a heartbeat. Returns whether it is the newest of its target and of
   * its address; an older or repeated one changes nothing.
   */
  recordHeartbeat(
    announcement: Announcement,
    context: {
      readonly now: number;
      readonly departure: Departure | undefined;
    },
  ): boolean {
    const { incarnation, address } = announcement;
    const known = this.#targets.get(incarnation.target);
    if (known && isOutdated(announcement, known)) return false;
    if (this.#hasNewerAt(announcement, context.now)) return false;
    this.#removeOthersAt(address, incarnation);
    const isLeaving = announcement.isDraining ||
      hasDeparted(incarnation, context.departure);
    const next: RegisteredTarget = {
      incarnation,
      service: announcement.service,
      address,
      dataCentre: announcement.dataCentre,
      slots: announcement.slots,
      isLeaving,
      isCold: announcement.coldMilliseconds > 0,
      sequence: announcement.sequence,
      lastSeenAt: context.now,
      revision: known?.revision ?? 0,
      isUnconfirmed: false,
      maximumPerSecond: known?.incarnation.bornAt === incarnation.bornAt
        ? known.maximumPerSecond
        : null,
    };
    if (known && known.address !== address) this.#releaseAddress(known);
    this.#namesAt(address).add(incarnation.target);
    this.#targets.set(
      incarnation.target,
      known && !isChanged(known, next)
        ? next
        : { ...next, revision: this.#nextRevision() },
    );
    this.#removals.delete(incarnation.target);
    return true;
  }

  /** Records the departure of a target. */
  recordDeparture(target: string, departure: Departure): void {
    const known = this.#targets.get(target);
    if (
      !known || known.isLeaving || !hasDeparted(known.incarnation, departure)
    ) return;
    this.#targets.set(target, {
      ...known,
      isLeaving: true,
      revision: this.#nextRevision(),
    });
  }

  /** Records the limit that a target names; null for none. */
  recordLimit(target: string, perSecond: number | null): void {
    const known = this.#targets.get(target);
    if (!known || known.maximumPerSecond === perSecond) return;
    this.#targets.set(target, {
      ...known,
      maximumPerSecond: perSecond,
      revision: this.#nextRevision(),
    });
  }

  /** Publishes a target to the gateways again. */
  touch(target: string): void {
    const known = this.#targets.get(target);
    if (!known) return;
    this.#targets.set(target, { ...known, revision: this.#nextRevision() });
  }

  /**
   * Marks the targets of a data centre as unconfirmed, which counts as cold,
   * until their next heartbeats.
   */
  markUnconfirmed(dataCentre: string): void {
    for (const [name, known] of this.#targets) {
      if (known.dataCentre !== dataCentre) continue;
      this.#targets.set(name, {
        ...known,
        isUnconfirmed: true,
        revision: this.#nextRevision(),
      });
    }
  }

  /**
   * Removes the targets that have sent no heartbeat for {@link
   * removeAfterMilliseconds}.
   */
  removeSilent(now: number): void {
    for (const [name, known] of this.#targets) {
      if (now - known.lastSeenAt > removeAfterMilliseconds) this.#remove(name);
    }
  }

  #remove(name: string): void {
    const known = this.#targets.get(name);
    if (known) this.#releaseAddress(known);
    this.#targets.delete(name);
    this.#removals.set(name, this.#nextRevision());
  }

  // An address belongs to the incarnation that started last.
  #removeOthersAt(address: string, incarnation: TargetIncarnation): void {
    for (const name of [...this.#namesAt(address)]) {
      if (name !== incarnation.target) this.#remove(name);
    }
  }

  // The clocks of two targets may differ, so the later start counts only as long
  // as its target is heard.
  #hasNewerAt({ address, incarnation }: Announcement, now: number): boolean {
    return [...this.#namesAt(address)].some((name) => {
      const other = this.#targets.get(name)!;
      return name !== incarnation.target &&
        other.incarnation.bornAt > incarnation.bornAt &&
        now - other.lastSeenAt < silentHolderMilliseconds;
    });
  }

  #namesAt(address: string): Set<string> {
    const names = this.#addresses.get(address) ?? new Set<string>();
    this.#addresses.set(address, names);
    return names;
  }

  #releaseAddress(
    { address, incarnation }: RegisteredTarget,
  ): void {
    const names = this.#namesAt(address);
    names.delete(incarnation.target);
    if (names.size === 0) this.#addresses.delete(address);
  }

  #nextRevision(): number {
    return this.#revisions.next();
  }
}

/** Whether a departure applies to this incarnation. */
export function hasDeparted(
  incarnation: TargetIncarnation,
  departure: Departure | undefined,
): boolean {
  return departure !== undefined && incarnation.bornAt <= departure.bornAt;
}

function isOutdated(
  { incarnation, sequence }: Announcement,
  known: RegisteredTarget,
): boolean {
  if (
    incarnation.bornAt !== known.incarnation.bornAt
  ) return incarnation.bornAt < known.incarnation.bornAt;
  return sequence <= known.sequence;
}

function isChanged(
  before: RegisteredTarget,
  after: RegisteredTarget,
): boolean {
  return before.incarnation.bornAt !== after.incarnation.bornAt ||
    before.address !== after.address || before.service !== after.service ||
    before.slots !== after.slots || before.isLeaving !== after.isLeaving ||
    before.dataCentre !== after.dataCentre || before.isUnconfirmed ||
    before.isCold !== after.isCold;
}

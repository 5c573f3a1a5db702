import { DepartureKind } from "@kingcupglade/fleet";
import type {
  Departure,
  TargetIncarnation,
  TargetRegistry,
} from "@kingcupglade/fleet";
import type { Clock } from "@kingcupglade/tasks";
import { describeFailure } from "@kingcupglade/telemetry";
import type { Logger } from "@kingcupglade/telemetry";
import { HeldTargets } from "./held_targets.ts";
import type { FleetReplica } from "./leader_session.ts";
import { LatestStarts } from "./latest_starts.ts";
import { isFromFuture } from "./may_register.ts";
import type { Watch } from "./watch.ts";

/** Options of {@link TargetDepartures}. */
export interface TargetDeparturesOptions {
  readonly replica: FleetReplica;
  readonly registry: TargetRegistry;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Time in which every live target sends the leader a heartbeat. */
  readonly hearingMilliseconds: number;
  /** Whether every live target has had time to send a heartbeat. */
  readonly isComplete: () => boolean;
  /** Called after a departure was recorded. */
  readonly notifyChange: () => void;
}

/** Records that targets leave, in the log and in the leader's registry. */
export class TargetDepartures {
  readonly #options: TargetDeparturesOptions;
  readonly #held: HeldTargets;
  readonly #latest: LatestStarts;

  constructor(options: TargetDeparturesOptions) {
    this.#options = options;
    this.#held = new HeldTargets(options);
    this.#latest = new LatestStarts({ ...options, held: this.#held });
  }

  /**
   * Records that a target has ended or is about to end. Returns whether that may
   * be acknowledged: not while its start is neither named nor known, as an
   * acknowledgement binds later leaders too.
   */
  async remove(target: string, bornAt: number | null): Promise<boolean> {
    const { registry, isComplete } = this.#options;
    // An incomplete leader may have heard from an earlier incarnation alone, by a
    // late heartbeat.
    const known = isComplete() ? registry.get(target) : undefined;
    const start = bornAt ?? known?.incarnation.bornAt;
    if (start === undefined) return this.#removeUnheard(target);
    await this.depart(target, { bornAt: start, kind: DepartureKind.gone });
    if (bornAt === null) this.#held.release(target);
    return true;
  }

  /**
   * Records that a target says that it drains. Returns whether that may be
   * acknowledged: an impossible start is not recorded.
   */
  async drain(incarnation: TargetIncarnation): Promise<boolean> {
    if (isFromFuture(incarnation)) return false;
    const { target, bornAt } = incarnation;
    await this.depart(target, { bornAt, kind: DepartureKind.draining });
    return true;
  }

  /** Departure that applies to an incarnation, if there may be one. */
  departureOf({ target, bornAt }: TargetIncarnation): Departure | undefined {
    const certain = this.certainOf(target);
    return this.#held.has(target)
      ? { kind: DepartureKind.gone, bornAt, changedAt: certain?.changedAt ?? 0 }
      : certain;
  }

  /** Departure of a target up to the start that is known to have left. */
  certainOf(target: string): Departure | undefined {
    return this.#latest.certainOf(target);
  }

  async #removeUnheard(target: string): Promise<boolean> {
    const { registry, clock, logger, notifyChange } = this.#options;
    const { hearingMilliseconds } = this.#options;
    const held = this.#held.hold(target);
    const known = registry.get(target);
    if (known) {
      const departure = this.departureOf(known.incarnation);
      if (departure) registry.recordDeparture(target, departure);
    }
    const isHeardOut = clock.now() - held.since >= hearingMilliseconds;
    // Again before an acknowledgement, which may be for a later incarnation than
    // the first request was.
    if (!held.isRecorded || isHeardOut) {
      const index = await this.#recordUnheard(target);
      held.isRecorded = true;
      logger.info("target-held", { target, isHeard: !!known, index });
    }
    notifyChange();
    return isHeardOut && !registry.get(target);
  }

  // By the entry, gateways of all terms stop to use the incarnation that they
  // know, and later leaders use none up to the start that it names.
  async #recordUnheard(target: string): Promise<number | null> {
    const { replica, registry } = this.#options;
    const bornAt = Math.max(
      Date.now(),
      replica.state.departures.get(target)?.bornAt ?? 0,
      registry.get(target)?.incarnation.bornAt ?? 0,
    );
    this.#latest.add(target, bornAt);
    const departure = DepartureKind.gone;
    await replica.propose({ kind: "depart", target, bornAt, departure });
    return replica.state.departures.get(target)?.changedAt ?? null;
  }

  /** Commits a departure, unless it is known. */
  async depart(
    target: string,
    departure: { readonly bornAt: number; readonly kind: DepartureKind },
  ): Promise<void> {
    const { replica, registry, logger, notifyChange } = this.#options;
    const { bornAt, kind } = departure;
    const known = this.certainOf(target);
    const isKnown = known && known.bornAt >= bornAt &&
      (known.kind === kind || known.kind === DepartureKind.gone);
    if (!isKnown) {
      await replica.propose({
        kind: "depart",
        target,
        bornAt: this.#latest.namedFor(target, bornAt),
        departure: kind,
      });
      this.#latest.confirm(target, bornAt);
      const index = replica.state.departures.get(target)?.changedAt ?? null;
      logger.info("target-leaves", { target, kind, bornAt, index });
    }
    const stored = this.certainOf(target);
    if (stored) registry.recordDeparture(target, stored);
    notifyChange();
  }

  /**
   * Records targets that told a gateway that they leave, which they may do before
   * they can tell control, and before a new leader has heard from them.
   */
  recordLeaving({ gateway, leaving }: Watch): void {
    const { logger } = this.#options;
    for (const { target, bornAt } of leaving) {
      const kind = DepartureKind.draining;
      if (this.hasLaterIncarnation(target, { bornAt })) continue;
      this.depart(target, { bornAt, kind }).catch((failure) =>
        logger.warn("departure-not-recorded", {
          target,
          gateway,
          reason: describeFailure(failure),
        })
      );
    }
  }

  /**
   * Whether a later incarnation of a target is known. Gateways apply a departure
   * to whatever incarnation they know.
   */
  hasLaterIncarnation(
    target: string,
    { bornAt }: Pick<Departure, "bornAt">,
  ): boolean {
    const known = this.#options.registry.get(target)?.incarnation;
    return known !== undefined && known.bornAt > bornAt &&
      !this.#held.has(target);
  }
}

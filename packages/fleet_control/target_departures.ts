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

  constructor(options: TargetDeparturesOptions) {
    this.#options = options;
    this.#held = new HeldTargets(options);
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
    const stored = this.#options.replica.state.departures.get(target);
    return this.#held.has(target)
      ? { kind: DepartureKind.gone, bornAt, changedAt: stored?.changedAt ?? 0 }
      : stored;
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
    if (!held.isRecorded) {
      const index = await this.#recordUnheard(target);
      held.isRecorded = true;
      logger.info("target-held", { target, isHeard: !!known, index });
    }
    notifyChange();
    return !known && clock.now() - held.since >= hearingMilliseconds;
  }

  // By the entry, gateways of all terms stop to use the incarnation that they
  // know. It names the latest start that earlier entries name, as no other is
  // certain.
  async #recordUnheard(target: string): Promise<number | null> {
    const { replica } = this.#options;
    const { bornAt = 0 } = replica.state.departures.get(target) ?? {};
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
    const known = replica.state.departures.get(target);
    const isKnown = known && known.bornAt >= bornAt &&
      (known.kind === kind || known.kind === DepartureKind.gone);
    if (!isKnown) {
      await replica.propose({
        kind: "depart",
        target,
        bornAt,
        departure: kind,
      });
      const index = replica.state.departures.get(target)?.changedAt ?? null;
      logger.info("target-leaves", { target, kind, bornAt, index });
    }
    const stored = replica.state.departures.get(target);
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

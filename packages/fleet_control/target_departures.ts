import { DepartureKind } from "@kingcupglade/fleet";
import type { Departure, TargetRegistry } from "@kingcupglade/fleet";
import { describeFailure } from "@kingcupglade/telemetry";
import type { Logger } from "@kingcupglade/telemetry";
import type { FleetReplica } from "./leader_session.ts";
import type { Watch } from "./watch.ts";

/** Options of {@link TargetDepartures}. */
export interface TargetDeparturesOptions {
  readonly replica: FleetReplica;
  readonly registry: TargetRegistry;
  readonly logger: Logger;
  /** Called after a departure was recorded. */
  readonly notifyChange: () => void;
}

/** Records that targets leave, in the log and in the leader's registry. */
export class TargetDepartures {
  readonly #options: TargetDeparturesOptions;

  constructor(options: TargetDeparturesOptions) {
    this.#options = options;
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
    return known !== undefined && known.bornAt > bornAt;
  }
}

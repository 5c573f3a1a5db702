import type { TargetRecord } from "@kingcupglade/ownership";
import { chooseTarget, notRun, Reason } from "@kingcupglade/routing";
import type {
  Candidate,
  CapacityGate,
  MatchedRequest,
  Refusal,
  TargetObservations,
} from "@kingcupglade/routing";
import type { Clock } from "@kingcupglade/tasks";
import type { RoutingTask } from "../control/routing_task.ts";
import type { Destination } from "./destination.ts";

/** Chooses one of the candidates; undefined when there are none. */
export type CandidateSelector = (
  candidates: readonly Candidate[],
) => Candidate | undefined;

/** Options of a {@link TargetChooser}. */
export interface TargetChooserOptions {
  readonly routing: RoutingTask;
  readonly capacity: CapacityGate;
  readonly observations: TargetObservations;
  readonly clock: Clock;
  readonly dataCentre: string;
  readonly region: string;
  /** A number of at least 0 and less than 1. */
  readonly random: () => number;
  /**
   * Replaces the choice among eligible targets.
   *
   * @default prefers nearby targets with free capacity, then the faster of two
   */
  readonly choice?: CandidateSelector | undefined;
}

/** Chooses a target for requests that any target of a service can serve. */
export class TargetChooser {
  readonly #options: TargetChooserOptions;
  readonly #selectCandidate: CandidateSelector;

  constructor(options: TargetChooserOptions) {
    const { clock, dataCentre, region, random } = options;
    this.#options = options;
    this.#selectCandidate = options.choice ??
      ((candidates) => {
        const now = clock.now();
        return chooseTarget(candidates, { dataCentre, region, random, now });
      });
  }

  /** Returns a target for the request, or the reason why there is none. */
  choose(matched: MatchedRequest): Destination | Refusal {
    const chosen = this.#selectCandidate(this.#candidates(matched));
    return chosen
      ? this.#destination(chosen.target)
      : notRun(Reason.noTarget, { retryAfterSeconds: 1 });
  }

  /** Returns another target for a request that is late at its first target. */
  chooseAlternative(
    matched: MatchedRequest,
    first: TargetRecord,
  ): Destination | undefined {
    const chosen = this.#selectCandidate(
      this.#candidates(matched).filter((each) =>
        each.queued === 0 && each.target.target !== first.target
      ),
    );
    return chosen && this.#destination(chosen.target);
  }

  #candidates(matched: MatchedRequest): readonly Candidate[] {
    const { routing, capacity, observations } = this.#options;
    const { table } = routing;
    const homeRegions = table.homeRegionsOf(matched.service, matched.tenant);
    return table.targetsOf(matched.service).flatMap((target) =>
      this.#isEligible(target) && homeRegions.includes(target.region)
        ? [{
          target,
          observation: observations.get(target.target),
          available: capacity.available(target),
          load: capacity.load(target),
          queued: capacity.queued(target),
        }]
        : []
    );
  }

  #isEligible(target: TargetRecord): boolean {
    return (target.condition === "serving" || target.condition === "cold") &&
      this.#options.routing.table.isInService(target.dataCentre);
  }

  #destination(target: TargetRecord): Destination {
    const { routing } = this.#options;
    return {
      target,
      headers: {},
      begin: () => () => {},
      // The target may have left while the request was waiting for it.
      isCurrent: () => {
        const current = routing.table.targets.get(target.target);
        return current?.boot === target.boot && this.#isEligible(current);
      },
    };
  }
}

import { notRun, Reason } from "@kingcupglade/routing";
import type { MatchedRequest, Refusal } from "@kingcupglade/routing";
import type { RoutingTask } from "../control/routing_task.ts";
import type { Destination } from "./destination.ts";

/** Chooses among the targets of a service that any of them can serve. */
export class TargetChooser {
  readonly #routing: RoutingTask;

  constructor(options: { readonly routing: RoutingTask }) {
    this.#routing = options.routing;
  }

  /** A target that is fit for the request, or why there is none now. */
  choose(matched: MatchedRequest): Destination | Refusal {
    const { table } = this.#routing;
    const home = table.homeRegionsOf(matched.service, matched.tenant);
    const fit = table.targetsOf(matched.service).filter((target) =>
      (target.condition === "serving" || target.condition === "cold") &&
      home.includes(target.region) && table.isInService(target.dataCentre)
    );
    const target = fit[Math.floor(Math.random() * fit.length)];
    if (!target) return notRun(Reason.noTarget, { retryAfterSeconds: 1 });
    return {
      target,
      headers: {},
      begin: () => () => {},
      isCurrent: () => true,
    };
  }
}

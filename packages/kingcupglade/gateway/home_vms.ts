import type { VmRecord } from "@kingcupglade/ownership";
import type { MatchedRequest } from "@kingcupglade/routing";
import type { RoutingTask } from "../control/routing_task.ts";

/** Options of {@link HomeVms}. */
export interface HomeVmsOptions {
  readonly routing: RoutingTask;
  /** Region of this VM. */
  readonly region: string;
}

/** Finds the VMs in the home regions of a request. */
export class HomeVms {
  readonly #options: HomeVmsOptions;
  #choiceCount = 0;

  constructor(options: HomeVmsOptions) {
    this.#options = options;
  }

  /** Whether this VM may serve a request itself. */
  isHome(matched: MatchedRequest): boolean {
    return this.#homeRegionsOf(matched).includes(this.#options.region);
  }

  /** Chooses a home VM of a request, round-robin; null when there is none. */
  choose(matched: MatchedRequest): VmRecord | null {
    const { table } = this.#options.routing;
    const homeRegions = this.#homeRegionsOf(matched);
    const eligible = [...table.vms.values()].filter((vm) =>
      homeRegions.includes(vm.region) && !vm.leaving &&
      table.isInService(vm.dataCentre)
    );
    this.#choiceCount += 1;
    return eligible[this.#choiceCount % eligible.length] ?? null;
  }

  #homeRegionsOf({ service, tenant }: MatchedRequest): readonly string[] {
    return this.#options.routing.table.homeRegionsOf(service, tenant);
  }
}

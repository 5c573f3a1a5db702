import { PoolSelector } from "@kingcupglade/dispatch";
import type { Pool } from "@kingcupglade/dispatch";
import type { GatewayTable } from "../table/gateway_table.ts";
import type { RoutedRequest } from "../requests/routed_request.ts";
import type { TargetSelector } from "../targets/target_selector.ts";

const noDataCentres: ReadonlySet<string> = new Set();

/** Options of {@link SlotPools}. */
export interface SlotPoolsOptions {
  readonly table: () => GatewayTable;
  readonly selector: Pick<
    TargetSelector,
    "isHomeRegion" | "distanceTo" | "usableSlots"
  >;
  /** Whether a manager, at IP:PORT, is not suspected of being unreachable. */
  readonly isHealthy: (manager: string) => boolean;
  /** Returns a number between 0 and 1. */
  readonly random: () => number;
}

/** Chooses the manager of a slot request from the routing table. */
export class SlotPools {
  readonly #options: SlotPoolsOptions;
  readonly #poolSelector: PoolSelector;
  /** Pools by service; cleared when the table changes. */
  readonly #pools = new Map<string, readonly Pool[]>();

  constructor(options: SlotPoolsOptions) {
    this.#options = options;
    this.#poolSelector = new PoolSelector(options);
  }

  /** Discards what was derived from the previous table. */
  handleTableChange(): void {
    this.#pools.clear();
  }

  /**
   * Returns the pool whose manager gets the slot request; undefined when this
   * gateway has to choose the target itself.
   *
   * @param excludedManagers holds addresses of managers to exclude.
   * @param excludedDataCentres holds names of data centres to exclude.
   */
  poolFor(
    request: Pick<RoutedRequest, "route" | "service" | "position">,
    excludedManagers: ReadonlySet<string>,
    excludedDataCentres: ReadonlySet<string> = noDataCentres,
  ): Pool | undefined {
    const { table, selector, isHealthy } = this.#options;
    const { route, service, position } = request;
    if (table().pools.isEmpty) return undefined;
    const pools = position === undefined
      ? this.#poolsOf(service)
      : this.#ownerPool(service, position);
    return this.#poolSelector.next(
      pools.filter(({ manager, dataCentre }) =>
        !excludedManagers.has(manager) &&
        !excludedDataCentres.has(dataCentre) &&
        isHealthy(manager) &&
        selector.isHomeRegion(route, { dataCentre })
      ),
    );
  }

  #ownerPool(service: string, position: number): readonly Pool[] {
    const table = this.#options.table();
    const range = table.range(service, position);
    const owner = range && !range.isMoving
      ? table.target(range.owner)
      : undefined;
    const manager = owner && table.mayServe(owner)
      ? table.pools.managerOf(owner)
      : undefined;
    if (!owner || !manager) return [];
    return [{
      manager: manager.address,
      dataCentre: owner.dataCentre,
      distance: this.#options.selector.distanceTo(owner.dataCentre),
      slots: owner.slots,
    }];
  }

  #poolsOf(service: string): readonly Pool[] {
    const existing = this.#pools.get(service);
    if (existing) return existing;
    const { table, selector } = this.#options;
    const { pools } = table();
    const poolsByManager = new Map<string, Pool>();
    for (const target of table().targetsOf(service)) {
      const manager = target.isCold ? undefined : pools.managerOf(target);
      if (!manager) continue;
      const { address, dataCentre } = manager;
      poolsByManager.set(address, {
        manager: address,
        dataCentre,
        distance: selector.distanceTo(dataCentre),
        slots: (poolsByManager.get(address)?.slots ?? 0) +
          selector.usableSlots(target),
      });
    }
    const servicePools = [...poolsByManager.values()];
    this.#pools.set(service, servicePools);
    return servicePools;
  }
}

import { createHash } from "node:crypto";

/** VM that can be ranked by hash and contacted. */
export interface VmEndpoint {
  readonly name: string;
  /** IP:PORT; the peer address, unless stated otherwise. */
  readonly address: string;
  readonly dataCentre: string;
}

/** Intended number of targets per manager, whose slots form one pool. */
const targetsPerManager = 8;
/**
 * With fewer gateways, each one sees enough traffic of every target to choose
 * targets without a manager.
 */
const minimumGateways = 5;
/**
 * With more gateways than the first and fewer than the second bound, each
 * gateway chooses targets without a manager.
 */
const maximumSmallFleet = 30;
const minimumLargeFleet = 150;

/**
 * Maps targets to their managers: gateways that allocate the slots of some of
 * the targets in their data centres. The result depends only on the set of
 * managers.
 */
export class PoolMap {
  readonly #managers = new Map<string, VmEndpoint[]>();
  readonly #byTarget = new Map<string, VmEndpoint | undefined>();

  constructor(managers: readonly VmEndpoint[]) {
    for (const manager of managers) {
      const managersInDataCentre = this.#managers.get(manager.dataCentre) ?? [];
      this.#managers.set(manager.dataCentre, managersInDataCentre);
      managersInDataCentre.push(manager);
    }
  }

  /** Whether there are no managers, so that no target is managed. */
  get isEmpty(): boolean {
    return this.#managers.size === 0;
  }

  /**
   * Returns the manager of a target, or undefined if its data centre has none.
   */
  managerOf(target: {
    readonly name: string;
    readonly dataCentre: string;
  }): VmEndpoint | undefined {
    const id = `${target.dataCentre}/${target.name}`;
    if (this.#byTarget.has(id)) return this.#byTarget.get(id);
    const [manager] = rankByHash(
      this.#managers.get(target.dataCentre) ?? [],
      target.name,
    );
    this.#byTarget.set(id, manager);
    return manager;
  }
}

/**
 * Chooses the managers of a fleet's targets. Managers keep their role while
 * they are present and needed, and every leader chooses the same ones.
 */
export function chooseManagers(fleet: {
  /** Gateways in contact with the leader that are not leaving. */
  readonly gateways: readonly VmEndpoint[];
  /** Number of targets by data centre. */
  readonly targets: ReadonlyMap<string, number>;
}): readonly VmEndpoint[] {
  const { gateways, targets } = fleet;
  if (!shouldUseManagers(gateways.length)) return [];
  return [...targets].sort().flatMap(([dataCentre, count]) =>
    rankByHash(
      gateways.filter((each) => each.dataCentre === dataCentre),
      dataCentre,
    ).slice(0, Math.ceil(count / targetsPerManager))
  );
}

function shouldUseManagers(gateways: number): boolean {
  return (gateways >= minimumGateways && gateways <= maximumSmallFleet) ||
    gateways >= minimumLargeFleet;
}

/**
 * Orders VMs by rendezvous hashing with a name, so that adding or removing a VM
 * keeps the order of the others.
 */
export function rankByHash(
  vms: readonly VmEndpoint[],
  name: string,
): readonly VmEndpoint[] {
  return vms.map((vm) => ({
    vm,
    rank: hashOf(`${vm.name}/${name}`),
  })).sort((left, right) =>
    left.rank - right.rank ||
    (left.vm.name < right.vm.name ? -1 : 1)
  ).map(({ vm }) => vm);
}

function hashOf(text: string): number {
  return createHash("sha1").update(text).digest().readUInt32BE(0);
}

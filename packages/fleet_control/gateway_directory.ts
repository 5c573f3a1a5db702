import type { RegisteredTarget, VmEndpoint } from "@kingcupglade/fleet";
import type { Watch } from "./watch.ts";

/** Gateways that have sent no watch request for this long are not counted. */
const activeMilliseconds = 2000;
/**
 * Number of gateways that share the small capacity of a target that is cold or
 * names a limit.
 */
const gatewaysPerSlowTarget = 3;

interface KnownGateway {
  readonly name: string;
  readonly dataCentre: string;
  readonly region: string;
  readonly address: string;
  readonly isLeaving: boolean;
  readonly isCutOff: boolean;
  readonly features: readonly string[];
  readonly lastWatchAt: number;
}

/**
 * Gateways in contact with the leader, and which of them may send requests to
 * cold targets.
 */
export class GatewayDirectory {
  readonly #gateways = new Map<string, KnownGateway>();
  /**
   * Chosen gateways per target incarnation; kept while the target is cold, so
   * that no other gateway is added.
   */
  readonly #coldGateways = new Map<string, readonly string[]>();
  readonly #regionOf: (dataCentre: string) => string;

  constructor(options: {
    readonly regionOf: (dataCentre: string) => string;
  }) {
    this.#regionOf = options.regionOf;
  }

  record(watch: Watch, now: number): void {
    const { gateway: name, dataCentre, region, address } = watch;
    const { isLeaving, isCutOff, features } = watch;
    this.#gateways.set(name, {
      name,
      dataCentre,
      region,
      address,
      isLeaving,
      isCutOff,
      features,
      lastWatchAt: now,
    });
  }

  /** Returns the gateways in contact that may manage targets. */
  managerCandidates(now: number): readonly VmEndpoint[] {
    return this.#activeGateways(now).filter(({ isLeaving }) => !isLeaving)
      .map(({ name, address, dataCentre }) => ({ name, address, dataCentre }));
  }

  /** Returns the gateways in contact that may take others' requests. */
  relayCandidates(now: number): readonly VmEndpoint[] {
    return this.#activeGateways(now).filter(({ isLeaving, isCutOff }) =>
      !isLeaving && !isCutOff
    ).map(({ name, address, dataCentre }) => ({ name, address, dataCentre }));
  }

  /** Returns the names of the gateways in contact with the leader. */
  activeNames(now: number): readonly string[] {
    return this.#activeGateways(now).map(({ name }) => name);
  }

  /** Returns the names of the gateways in contact that lack a feature. */
  namesWithout(feature: string, now: number): readonly string[] {
    return this.#activeGateways(now).filter(({ features }) =>
      !features.includes(feature)
    ).map(({ name }) => name);
  }

  /**
   * Returns the gateways that may send requests to a target while it is cold:
   * its manager, or a few nearby gateways if it has none.
   */
  coldGateways(
    target: RegisteredTarget,
    now: number,
    manager?: VmEndpoint,
  ): readonly string[] {
    const id = incarnationId(target);
    const known = this.#coldGateways.get(id);
    if (known) return known;
    if (manager) {
      this.#coldGateways.set(id, [manager.name]);
      return [manager.name];
    }
    const chosen = this.nearestGateways(target, now);
    if (chosen.length > 0) this.#coldGateways.set(id, chosen);
    return chosen;
  }

  /** Returns the names of the few gateways nearest to a target. */
  nearestGateways(target: RegisteredTarget, now: number): readonly string[] {
    const id = incarnationId(target);
    const region = this.#regionOf(target.dataCentre);
    return this.#activeGateways(now).map((gateway) => ({
      name: gateway.name,
      distance: gateway.dataCentre === target.dataCentre
        ? 0
        : gateway.region === region
        ? 1
        : 2,
      order: hashOf(`${gateway.name}/${id}`),
    })).sort((left, right) =>
      left.distance - right.distance || left.order - right.order
    ).slice(0, gatewaysPerSlowTarget).map(({ name }) => name);
  }

  #activeGateways(now: number): readonly KnownGateway[] {
    return [...this.#gateways.values()].filter(({ lastWatchAt }) =>
      now - lastWatchAt < activeMilliseconds
    );
  }
}

function incarnationId({ incarnation }: RegisteredTarget): string {
  return `${incarnation.target}/${incarnation.bornAt}`;
}

// Spreads the targets over the gateways; every leader computes the same hash.
function hashOf(text: string): number {
  let hash = 2166136261;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 16777619);
  }
  return hash >>> 0;
}

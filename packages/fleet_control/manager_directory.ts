import { chooseManagers, PoolMap } from "@kingcupglade/fleet";
import type {
  RegisteredTarget,
  RevisionCounter,
  TargetRegistry,
  VmEndpoint,
} from "@kingcupglade/fleet";
import type { Logger } from "@kingcupglade/telemetry";
import type { GatewayDirectory } from "./gateway_directory.ts";

/** Options of a {@link ManagerDirectory}. */
export interface ManagerDirectoryOptions {
  readonly gateways: GatewayDirectory;
  readonly registry: TargetRegistry;
  readonly revisions: RevisionCounter;
  readonly logger: Logger;
  readonly term: number;
}

/** Gateways that the leader has chosen as managers of targets' slots. */
export class ManagerDirectory {
  readonly #options: ManagerDirectoryOptions;
  #managers: readonly VmEndpoint[] = [];
  #revision = 0;
  #pools = new PoolMap([]);

  constructor(options: ManagerDirectoryOptions) {
    this.#options = options;
  }

  get managers(): readonly VmEndpoint[] {
    return this.#managers;
  }

  /** Revision of the last change of managers. */
  get revision(): number {
    return this.#revision;
  }

  /** Chooses the managers from the present gateways and targets. */
  choose(now: number): void {
    const { gateways, registry, revisions, logger, term } = this.#options;
    const targets = new Map<string, number>();
    for (const { dataCentre } of registry.all()) {
      targets.set(dataCentre, (targets.get(dataCentre) ?? 0) + 1);
    }
    const managers = chooseManagers({
      gateways: gateways.managerCandidates(now),
      targets,
    });
    const names = namesOf(managers);
    if (names === namesOf(this.#managers)) return;
    logger.info("managers-changed", {
      managers: names,
      before: this.#managers.length,
      term,
    });
    this.#managers = managers;
    this.#pools = new PoolMap(managers);
    this.#revision = revisions.next();
  }

  /**
   * Returns the gateways that may send requests to a target while it is cold.
   */
  coldGateways(target: RegisteredTarget, now: number): readonly string[] {
    return this.#options.gateways.coldGateways(
      target,
      now,
      this.#managerOf(target),
    );
  }

  /**
   * Returns the gateways that share the limit of a target without a manager,
   * which would keep the limit.
   */
  limitGateways(target: RegisteredTarget, now: number): readonly string[] {
    if (target.maximumPerSecond === null || this.#managerOf(target)) return [];
    return this.#options.gateways.nearestGateways(target, now);
  }

  #managerOf(
    { incarnation, dataCentre }: RegisteredTarget,
  ): VmEndpoint | undefined {
    return this.#pools.managerOf({ name: incarnation.target, dataCentre });
  }
}

function namesOf(managers: readonly VmEndpoint[]): string {
  return managers.map(({ name }) => name).join();
}

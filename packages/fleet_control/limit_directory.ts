import type { TargetRegistry } from "@kingcupglade/fleet";
import type { Logger } from "@kingcupglade/telemetry";
import type { ManagerDirectory } from "./manager_directory.ts";
import type { Watch } from "./watch.ts";

/** Options of a {@link LimitDirectory}. */
export interface LimitDirectoryOptions {
  readonly registry: Pick<
    TargetRegistry,
    "all" | "get" | "recordLimit" | "touch"
  >;
  readonly managers: Pick<ManagerDirectory, "limitGateways">;
  readonly logger: Logger;
}

/**
 * Limits of requests that targets named to gateways, and the gateways that share
 * each of them.
 */
export class LimitDirectory {
  readonly #options: LimitDirectoryOptions;
  /** Names of the gateways that share a target's limit. */
  #gateways: ReadonlyMap<string, readonly string[]> = new Map();

  constructor(options: LimitDirectoryOptions) {
    this.#options = options;
  }

  /** Returns the names of the gateways that share a target's limit. */
  gatewaysOf(target: string): readonly string[] {
    return this.#gateways.get(target) ?? [];
  }

  /** Records the limits that a gateway reports. */
  recordWatch({ limits, gateway }: Watch, now: number): void {
    const { registry, logger } = this.#options;
    for (const { target, perSecond } of limits) {
      const known = registry.get(target);
      if (!known || known.maximumPerSecond === perSecond) continue;
      registry.recordLimit(target, perSecond);
      logger.info("target-limit-reported", {
        target,
        gateway,
        perSecond,
        before: known.maximumPerSecond,
      });
    }
    if (limits.length > 0) this.choose(now);
  }

  /**
   * Chooses the gateways that share each limit, and publishes the targets for
   * which they have changed; called periodically.
   */
  choose(now: number): void {
    const { registry, managers } = this.#options;
    const gateways = new Map<string, readonly string[]>();
    for (const target of [...registry.all()]) {
      if (target.maximumPerSecond === null) continue;
      const name = target.incarnation.target;
      const chosen = managers.limitGateways(target, now);
      gateways.set(name, chosen);
      if (chosen.join() !== this.gatewaysOf(name).join()) registry.touch(name);
    }
    this.#gateways = gateways;
  }
}

import { totalAllowance } from "./quota_settings.ts";
import type { QuotaLimit, QuotaSettings } from "./quota_settings.ts";
import type { SimulatedNetwork } from "./simulated_network_fixture.ts";

/** A gateway gives up a call after this time. */
export const callTimeoutMilliseconds = 300;
/** Time until gateways find the next leader or manager. */
export const electionMilliseconds = 1500;

/** Workspaces and gateways of a simulated fleet. */
export interface SimulatedFleetOptions {
  readonly network: SimulatedNetwork;
  readonly gateways: number;
  readonly settings: QuotaSettings;
  /** Limits by workspace; may be changed while the fleet runs. */
  readonly limits: Map<string, QuotaLimit>;
  /** Largest difference of the rates of two clocks. @default 0 */
  readonly drift?: number;
}

/** A request that may be sent to a target. */
export interface SimulatedUse {
  send(): boolean;
  release(): void;
}

/** A way to keep the limits over all gateways. */
export abstract class SimulatedPolicy {
  protected readonly options: SimulatedFleetOptions;

  constructor(options: SimulatedFleetOptions) {
    this.options = options;
  }

  /** Decides on a request, now or later; undefined rejects it. */
  abstract request(
    request: { readonly gateway: number; readonly workspace: string },
    decide: (use: SimulatedUse | undefined) => void,
  ): void;

  /** The limits were changed. */
  abstract limitsChanged(): void;

  /** The leader ends, and another VM leads after an election. */
  abstract loseLeader(): void;

  /** A gateway ends and starts again. */
  abstract restart(gateway: number): void;

  protected total(workspace: string): number {
    const limit = this.options.limits.get(workspace);
    return limit ? totalAllowance(limit, this.options.settings) : 0;
  }
}

/** Returns the name of a gateway. */
export function gatewayName(index: number): string {
  // Names differ in length, which the network takes for the region.
  return `front-${index}${index % 2 === 0 ? "" : "-"}`;
}

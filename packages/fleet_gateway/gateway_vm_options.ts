import type { RetryBudgetOptions } from "@kingcupglade/dispatch";
import type { Clock } from "@kingcupglade/tasks";
import type { Logger, Metrics } from "@kingcupglade/telemetry";
import type { Connector } from "./targets/address_pool.ts";
import type { CallerWire } from "./callers/caller_wire.ts";

/** Options of {@link GatewayVm}. */
export interface GatewayVmOptions {
  readonly name: string;
  readonly dataCentre: string;
  readonly region: string;
  /** Where callers reach this VM, as IP:PORT. */
  readonly callersAddress: string;
  /** Connections of callers at the same time; more are closed. @default 3072 */
  readonly maximumCallerConnections?: number;
  /** Requests of a caller's connection in progress at a time. @default 4 */
  readonly concurrentPerConnection?: number;
  /**
   * Wait for the processor from which requests of callers are refused.
   * @default none, and all requests are taken
   */
  readonly maximumWaitMilliseconds?: number | undefined;
  /** Where the load balancer checks the readiness of this VM, as IP:PORT. */
  readonly readinessAddress: string;
  /** Where other VMs reach this one, as IP:PORT; all VMs use the same port. */
  readonly peerAddress: string;
  /** Address to listen on for the other VMs. @default `peerAddress` */
  readonly peerListenAddress?: string | undefined;
  /**
   * IP that connections to other VMs are bound to. @default chosen by the system
   */
  readonly localAddress?: string | undefined;
  /** Addresses of control VMs that are queried for the leader first. */
  readonly seeds: readonly string[];
  /** Region of each data centre. */
  readonly regions: Readonly<Record<string, string>>;
  /** Time from a stop signal until the process is killed. */
  readonly graceMilliseconds: number;
  readonly retryBudget: RetryBudgetOptions;
  /**
   * Time after the acknowledgement of a revocation from which no request with
   * the key reaches a target. @default no bound
   */
  readonly revokeMilliseconds?: number;
  /**
   * Window over which limits of workspaces are kept.
   * @default that of `defaultQuotaSettings`
   */
  readonly quotaWindowMilliseconds?: number;
  readonly secret: string;
  readonly wire: CallerWire;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Returns a number between 0 and 1. */
  readonly random: () => number;
  /** Whether new and recovered targets are paced. @default true */
  readonly pacesTargets?: boolean;
  /** Rate of the link in each direction. @default none, and no pacing */
  readonly linkMegabitsPerSecond?: number | undefined;
  /** Opens connections to targets. @default TCP */
  readonly connectToTarget?: Connector;
}

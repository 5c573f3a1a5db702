import { Credit } from "@kingcupglade/protocol";
import { CreditGate } from "@kingcupglade/routing";
import type { TargetObservations } from "@kingcupglade/routing";
import type { Clock } from "@kingcupglade/tasks";
import type { Metrics } from "@kingcupglade/telemetry";
import type { PeerDirectory } from "../control/peers.ts";
import type { RoutingTask } from "../control/routing_task.ts";
import type { ServiceRegistry } from "@kingcupglade/transport";
import { CreditClientTask } from "./credit_client_task.ts";
import { CreditHolderTask } from "./credit_holder_task.ts";

/** Options of {@link Credits}. */
export interface CreditsOptions {
  readonly vm: string;
  readonly boot: string;
  readonly routing: RoutingTask;
  readonly peers: PeerDirectory;
  readonly clock: Clock;
  readonly observations: TargetObservations;
  readonly metrics: Pick<Metrics, "creditMessages">;
  readonly routingLeaseMilliseconds: number;
}

/**
 * Shares the slots of targets among VMs: limits this VM's requests to its
 * credits, reports their use, and grants the credits of the shards it holds.
 */
export class Credits {
  readonly gate: CreditGate;
  readonly #holder: CreditHolderTask;
  readonly #client: CreditClientTask;

  constructor(options: CreditsOptions) {
    const { routing, clock, observations } = options;
    this.gate = new CreditGate({
      clock,
      observations,
      tenantWeight: (tenant) => tenantWeight(routing, tenant),
      sharingVms: () => routing.table.vms.size,
      onReportDue: () => this.#client.schedule(),
      onPossiblyCold: () => this.#client.schedule(),
    });
    this.#holder = new CreditHolderTask({
      ...options,
      recallLocally: (recall) => this.#client.recall(recall),
    });
    this.#client = new CreditClientTask({
      ...options,
      gate: this.gate,
      exchangeLocally: (request) => this.#holder.exchange(request),
    });
  }

  /** Registers the service that other VMs call. */
  readonly addService = (registry: ServiceRegistry): void => {
    registry.service(Credit, {
      exchange: (request) => this.#holder.exchange(request),
      recall: (request) => ({ report: this.#client.recall(request) }),
    });
  };

  /** Whether this VM has been able to get credits of every shard. */
  get isReady(): boolean {
    return this.#client.isReady;
  }

  /** Stops requesting and granting credits. */
  stop(): void {
    this.#client.stop();
    this.#holder.stop();
  }
}

function tenantWeight(routing: RoutingTask, tenant: string): number {
  const tenants = routing.table.bundle?.bundle.tenants;
  return tenants?.find((each) => each.name === tenant)?.weight ?? 1;
}

import type { History, TimedEvent } from "@kingcupglade/fakes";
import { claimOf } from "@kingcupglade/ledger";
import type { Logger } from "@kingcupglade/telemetry";

/** Options of {@link ResidencyRecorder}. */
export interface ResidencyRecorderOptions {
  readonly history: History;
  readonly services: readonly string[];
  readonly tenants: readonly string[];
  readonly regionOf: (vm: string) => string;
}

/** Records which VMs get forwarded requests, store claims or log tenants. */
export class ResidencyRecorder {
  readonly #options: ResidencyRecorderOptions;
  readonly #requestsByClaim = new Map<
    string,
    { request: string; service: string }
  >();
  readonly #recorded = new Set<string>();
  #eventsRead = 0;

  constructor(options: ResidencyRecorderOptions) {
    this.#options = options;
  }

  /** Records a request that was forwarded to a VM by another one. */
  recordForwarded(request: string, vm: string): void {
    this.#recordHop(vm, { request, service: "" });
  }

  /** Records the requests whose claims a VM stores, once for each VM. */
  recordClaims(vm: string, claims: readonly string[]): void {
    this.#indexRequests();
    for (const claim of claims) {
      const known = this.#requestsByClaim.get(claim);
      const id = `${vm}/${claim}`;
      if (!known || this.#recorded.has(id)) continue;
      this.#recorded.add(id);
      this.#recordHop(vm, known);
    }
  }

  /**
   * Creates a logger for a VM that records the lines that contain a tenant
   * name.
   */
  logger(vm: string): Logger {
    const { history, tenants, regionOf } = this.#options;
    const write: Logger["info"] = (event, fields = {}) => {
      const line = JSON.stringify({ event, ...fields });
      for (const tenant of tenants.filter((each) => line.includes(each))) {
        history.record({
          kind: "logged",
          vm,
          region: regionOf(vm),
          tenant,
          line,
        });
      }
    };
    return { debug: write, info: write, warn: write, error: write };
  }

  #recordHop(
    vm: string,
    { request, service }: {
      readonly request: string;
      readonly service: string;
    },
  ): void {
    const { history, regionOf } = this.#options;
    const region = regionOf(vm);
    history.record({
      kind: "hop",
      request,
      service,
      vm,
      region,
      keeps: true,
    });
  }

  #indexRequests(): void {
    const { events } = this.#options.history;
    for (const event of events.slice(this.#eventsRead)) this.#index(event);
    this.#eventsRead = events.length;
  }

  #index(event: TimedEvent): void {
    if (event.kind !== "requestSent" || event.idempotencyKey === "") return;
    const { request, tenant, idempotencyKey } = event;
    for (const service of this.#options.services) {
      const { id } = claimOf({ service, tenant, idempotencyKey });
      this.#requestsByClaim.set(id, { request, service });
    }
  }
}

import { Agent } from "node:http";
import { sendAttempt } from "./attempt_sender.ts";
import type { ConfigurationHistory } from "./configuration_history.ts";
import { delay } from "./fault_injector.ts";
import type { InvariantMonitor } from "./invariant_monitor.ts";
import type { CalledGateway } from "./load_generator.ts";
import type { RoutePlace } from "./route_operator.ts";

const probeIntervalMilliseconds = 100;
const positionCount = 65_536;
/** Targets send short bodies to requests whose numbers differ by this. */
const idStep = 84;

/** Options of a {@link RouteProber}. */
export interface RouteProberOptions {
  readonly gateways: readonly CalledGateway[];
  readonly places: readonly RoutePlace[];
  readonly history: ConfigurationHistory;
  readonly monitor: InvariantMonitor;
  readonly random: () => number;
}

/** Asks every gateway in turn for each place of the configuration. */
export class RouteProber {
  readonly #options: RouteProberOptions;
  readonly #agent = new Agent({ keepAlive: true });
  #nextId = 1;
  #isStopped = false;
  #callers: Promise<unknown> | undefined;

  constructor(options: RouteProberOptions) {
    this.#options = options;
  }

  start(): void {
    const { gateways } = this.#options;
    this.#callers = Promise.all(gateways.map((each) => this.#ask(each)));
  }

  async stop(): Promise<void> {
    this.#isStopped = true;
    await this.#callers;
    this.#agent.destroy();
  }

  async #ask(gateway: CalledGateway): Promise<void> {
    while (!this.#isStopped) {
      for (const place of this.#options.places) {
        if (this.#isStopped) break;
        await Promise.all([
          this.#probe(gateway, place),
          delay(probeIntervalMilliseconds),
        ]);
      }
    }
  }

  async #probe(gateway: CalledGateway, place: RoutePlace): Promise<void> {
    const { history, monitor, random } = this.#options;
    const id = `c${idStep * this.#nextId++ + 1}`;
    monitor.recordProbe(id, gateway.address);
    const sentAt = performance.now();
    const { status, body, isDelimited } = await sendAttempt({
      id,
      gateway: gateway.address,
      kind: { path: `${place.pathPrefix}1`, method: "GET", isIdempotent: true },
      position: Math.floor(random() * positionCount),
      agent: this.#agent,
    });
    if (status !== 0) monitor.recordResponse(id, { status, body, isDelimited });
    history.recordProbe({
      gateway: gateway.name,
      routes: place.names,
      outerService: place.outerService ?? null,
      sentAt,
      endedAt: performance.now(),
      status,
      service: monitor.targetOf(id).split("-")[0]!,
    });
  }
}

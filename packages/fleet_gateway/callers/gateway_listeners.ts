import type { RequestListener } from "node:http";
import type { Limits } from "@kingcupglade/items";
import type { Clock } from "@kingcupglade/tasks";
import type { Logger, Metrics } from "@kingcupglade/telemetry";
import {
  HttpListener,
  PipelineLimits,
  Readiness,
} from "@kingcupglade/transport";
import type {
  ListenerCloseResult,
  UnreadableRequest,
} from "@kingcupglade/transport";
import type { CallerWire } from "./caller_wire.ts";
import { createPipelineObserver } from "./pipeline_observer.ts";
import type { StopSchedule } from "./stop_schedule.ts";

/** Headers of a relayed request: those of the caller and one of this fleet. */
const maximumRelayHeaderBytes = 32_768;
/** The load balancer removes a VM after two failed checks, one second apart. */
const leaveMilliseconds = 2200;
/** The callers' listener closes after this long without a request. */
const quietMilliseconds = 300;
/** Share of the grace period in which the callers' listener stays open. */
const drainShare = 0.75;
/** Time for readiness probes to be answered at the end of a stop. */
const maximumProbeMilliseconds = 100;
const defaultCallerConnections = 3072;
/** Idle connections are closed this long after the configured idle timeout. */
const idleMarginMilliseconds = 1500;

/** The deadline of each request, from its route, bounds its body as well. */
const requestTimeoutMilliseconds = 0;

/** Options of {@link GatewayListeners.open}. */
export interface GatewayListenersOptions {
  /** Where callers reach this VM, as IP:PORT. */
  readonly callersAddress: string;
  /** Connections of callers at the same time; more are closed. @default 3072 */
  readonly maximumCallerConnections?: number;
  /** Requests of a caller's connection in progress at a time. @default 4 */
  readonly concurrentPerConnection?: number;
  /** Where the load balancer checks the readiness of this VM, as IP:PORT. */
  readonly readinessAddress: string;
  /** Where other VMs reach this one, as IP:PORT. */
  readonly peerAddress: string;
  /** Address to listen on for the other VMs. @default `peerAddress` */
  readonly peerListenAddress?: string | undefined;
  /** Time from a stop signal until the process is killed. */
  readonly graceMilliseconds: number;
  readonly handleCaller: RequestListener;
  readonly handleRelayed: RequestListener;
  readonly isReady: () => boolean;
  readonly stopSchedule: StopSchedule;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly wire: CallerWire;
}

interface OpenListeners {
  readonly callers: HttpListener;
  readonly relays: HttpListener;
  readonly readiness: HttpListener;
}

/** The listeners of a gateway for callers, other gateways and readiness checks. */
export class GatewayListeners {
  readonly #options: GatewayListenersOptions;
  readonly #listeners: OpenListeners;
  readonly #readiness: Readiness;

  protected constructor(
    options: GatewayListenersOptions,
    listeners: OpenListeners,
    readiness: Readiness,
  ) {
    this.#options = options;
    this.#listeners = listeners;
    this.#readiness = readiness;
  }

  /**
   * Opens the listeners.
   *
   * @throws {ListenError} when an address cannot be used.
   */
  static async open(
    options: GatewayListenersOptions,
  ): Promise<GatewayListeners> {
    const readiness = new Readiness({ isReady: options.isReady });
    const onUnreadable = (request: UnreadableRequest) =>
      options.logger.info("request-unreadable", { ...request });
    const callers = await HttpListener.open({
      name: "callers",
      address: options.callersAddress,
      maximumConnections: options.maximumCallerConnections ??
        defaultCallerConnections,
      handler: options.handleCaller,
      requestTimeoutMilliseconds,
      onUnreadable,
      pipelineLimits: new PipelineLimits({
        concurrentPerConnection: options.concurrentPerConnection,
        observer: createPipelineObserver(options),
      }),
    });
    const relays = await HttpListener.open({
      name: "peers",
      address: options.peerListenAddress ?? options.peerAddress,
      maximumHeaderBytes: maximumRelayHeaderBytes,
      handler: options.handleRelayed,
      requestTimeoutMilliseconds,
      onUnreadable,
    });
    const probes = await HttpListener.open({
      name: "readiness",
      address: options.readinessAddress,
      handler: (_request, response) => {
        const status = readiness.answerProbe() ? 200 : 503;
        response.writeHead(status, { "content-length": 0 });
        response.end();
      },
    });
    const listeners = { callers, relays, readiness: probes };
    return new GatewayListeners(options, listeners, readiness);
  }

  /** Sets the timeouts for the headers and the idle connections of callers. */
  setTimeouts(
    { headerTimeoutMilliseconds, idleTimeoutMilliseconds }: Pick<
      Limits,
      "headerTimeoutMilliseconds" | "idleTimeoutMilliseconds"
    >,
  ): void {
    this.#listeners.callers.setTimeouts({
      headersTimeoutMilliseconds: headerTimeoutMilliseconds,
      idleTimeoutMilliseconds: idleTimeoutMilliseconds + idleMarginMilliseconds,
    });
  }

  /** Makes readiness checks fail from now on. */
  startLeaving(): void {
    this.#readiness.startLeaving();
  }

  /**
   * Serves requests until no more arrive, or for 75 % of the grace period at
   * most. Then finishes the requests in progress and closes.
   */
  async drain(): Promise<void> {
    const { clock, stopSchedule, graceMilliseconds } = this.#options;
    const { callers, relays, readiness } = this.#listeners;
    const limits = {
      minimumMilliseconds: leaveMilliseconds,
      quietMilliseconds,
      maximumMilliseconds: graceMilliseconds * drainShare,
      graceMilliseconds: stopSchedule.connectionsMilliseconds(clock.now()),
    };
    await Promise.all([
      this.#close("callers", () =>
        callers.drain({
          ...limits,
          isBalancerNotified: () => this.#readiness.isBalancerNotified,
        })),
      this.#close("peers", () => relays.drain(limits)),
    ]);
    await readiness.close({
      maximumMilliseconds: Math.min(
        maximumProbeMilliseconds,
        stopSchedule.connectionsMilliseconds(clock.now()),
      ),
    });
  }

  async #close(
    listener: string,
    close: () => Promise<ListenerCloseResult>,
  ): Promise<void> {
    const result = await close();
    this.#options.logger.info("listener-closed", { listener, ...result });
  }
}

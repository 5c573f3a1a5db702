import type { RequestListener } from "node:http";
import { setTimeout as pause } from "node:timers/promises";
import type { Logger } from "@kingcupglade/telemetry";
import { HttpListener } from "@kingcupglade/transport";

/** Time for the calls in progress to end, once leadership is transferred. */
const callsMilliseconds = 1000;
/** Time to send the responses to calls that a stop ends. */
const rejectionsMilliseconds = 200;

/** Options of {@link ControlListeners.open}. */
export interface ControlListenersOptions {
  /** Address to listen on for the other VMs, as IP:PORT. */
  readonly peerAddress: string;
  /** Address to listen on for targets and operators, as IP:PORT. */
  readonly controlAddress: string;
  readonly handlePeer: RequestListener;
  readonly handleExternal: RequestListener;
  /** Until it returns true, every call is answered as unavailable. */
  readonly isReady: () => boolean;
  readonly logger: Logger;
}

/** The listeners of a control VM. */
export class ControlListeners {
  readonly #peers: HttpListener;
  readonly #external: HttpListener;
  readonly #logger: Logger;

  protected constructor(
    listeners: {
      readonly peers: HttpListener;
      readonly external: HttpListener;
    },
    logger: Logger,
  ) {
    this.#peers = listeners.peers;
    this.#external = listeners.external;
    this.#logger = logger;
  }

  /**
   * Opens the listeners.
   *
   * @throws {ListenError} when an address cannot be used.
   */
  static async open(
    options: ControlListenersOptions,
  ): Promise<ControlListeners> {
    const { logger, peerAddress, controlAddress } = options;
    const whenReady =
      (handler: RequestListener): RequestListener => (request, response) => {
        if (options.isReady()) return handler(request, response);
        response.writeHead(503, { "connection": "close" }).end();
      };
    const peers = await HttpListener.open({
      name: "peers",
      address: peerAddress,
      handler: whenReady(options.handlePeer),
    });
    try {
      const external = await HttpListener.open({
        name: "control",
        address: controlAddress,
        handler: whenReady(options.handleExternal),
      });
      return new ControlListeners({ peers, external }, logger);
    } catch (failure) {
      peers.destroy();
      throw failure;
    }
  }

  /** Makes targets and operators turn to another VM for their next calls. */
  refuseReuse(): void {
    this.#external.refuseReuse();
  }

  /**
   * Closes the listeners while the replica stops. The other VMs are served until
   * then, and no other process can take their address and the data folder.
   */
  async close(stopReplica: () => Promise<void>): Promise<void> {
    const closed = this.#close("control", this.#external, {
      maximumMilliseconds: callsMilliseconds + rejectionsMilliseconds,
    });
    await Promise.race([closed, pause(callsMilliseconds)]);
    // Rejects the calls that still wait for the quorum, so that they are answered.
    await stopReplica();
    await closed;
    await this.#close("peers", this.#peers, {
      maximumMilliseconds: rejectionsMilliseconds,
    });
  }

  /** Closes every connection immediately. */
  destroy(): void {
    this.#peers.destroy();
    this.#external.destroy();
  }

  async #close(
    name: string,
    listener: HttpListener,
    limits: { readonly maximumMilliseconds: number },
  ): Promise<void> {
    const result = await listener.close(limits);
    this.#logger.info("listener-closed", { listener: name, ...result });
  }
}

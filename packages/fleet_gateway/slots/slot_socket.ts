import { createSocket } from "node:dgram";
import type { Socket } from "node:dgram";
import { describeFailure } from "@kingcupglade/telemetry";
import type { Logger } from "@kingcupglade/telemetry";
import { ListenError, splitAddress } from "@kingcupglade/transport";
import { decodeSlotMessage, encodeSlotMessage } from "./slot_messages.ts";
import type { SlotMessage } from "./slot_messages.ts";

/** Options of {@link SlotSocket.open}. */
export interface SlotSocketOptions {
  /** Where the other VMs reach this one, as IP:PORT. */
  readonly peerAddress: string;
  /** Address to receive datagrams on. @default `peerAddress` */
  readonly peerListenAddress?: string | undefined;
  readonly secret: string;
  readonly logger: Logger;
  readonly onMessage: (message: SlotMessage, from: string) => void;
}

/** Sends and receives slot messages as datagrams, any of which may be lost. */
export class SlotSocket {
  readonly #socket: Socket;
  readonly #options: SlotSocketOptions;
  #isClosed = false;

  protected constructor(socket: Socket, options: SlotSocketOptions) {
    this.#socket = socket;
    this.#options = options;
  }

  /**
   * Opens the socket.
   *
   * @throws {ListenError} when the address cannot be used.
   */
  static async open(options: SlotSocketOptions): Promise<SlotSocket> {
    const address = options.peerListenAddress ?? options.peerAddress;
    const { host, port } = splitAddress(address);
    const socket = createSocket({
      type: "udp4",
      // Addresses are numeric, so no name resolution is needed.
      lookup: (address, _options, callback) => callback(null, address, 4),
    });
    await new Promise<void>((resolve, reject) => {
      socket.once("error", (cause) =>
        reject(
          new ListenError(
            `listen.peers: cannot receive datagrams on ${address}: ${cause.message}; free the port or change the setting`,
            { cause },
          ),
        ));
      socket.bind({ port, address: host }, resolve);
    });
    const opened = new SlotSocket(socket, options);
    opened.#listen();
    return opened;
  }

  /** Sends a message to IP:PORT once, without retransmission. */
  send(message: SlotMessage, to: string): void {
    if (this.#isClosed) return;
    const { host, port } = splitAddress(to);
    this.#socket.send(
      encodeSlotMessage(message, this.#options.secret),
      port,
      host,
      (failure) => failure && this.#log("datagram-not-sent", to, failure),
    );
  }

  close(): void {
    this.#isClosed = true;
    this.#socket.close();
  }

  #listen(): void {
    const { secret, onMessage } = this.#options;
    this.#socket.on("error", (failure) => {
      this.#log("datagram-failed", "", failure);
    });
    this.#socket.on("message", (bytes, { address, port }) => {
      const from = `${address}:${port}`;
      let message: SlotMessage;
      try {
        message = decodeSlotMessage(bytes, secret);
      } catch (failure) {
        return this.#log("datagram-unreadable", from, failure);
      }
      onMessage(message, from);
    });
  }

  #log(event: string, peer: string, failure: unknown): void {
    this.#options.logger.warn(event, {
      peer,
      reason: describeFailure(failure),
    });
  }
}

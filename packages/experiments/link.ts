import { connect, createServer } from "node:net";
import type { Server, Socket } from "node:net";
import { Transform } from "node:stream";
import type { TransformCallback } from "node:stream";
import type { Network } from "./network.ts";

/** Options of {@link Link.open}. */
export interface LinkOptions {
  readonly network: Network;
  /** Name of the process that connects, and of the one that it connects to. */
  readonly from: string;
  readonly to: string;
  /** Address of the link, to which `from` connects, as IP:PORT. */
  readonly listenAt: string;
  /** Address at which `to` listens, as IP:PORT. */
  readonly address: string;
  /** Called with the bytes sent by `from`, as they reach the link. */
  readonly onBytes?: (bytes: Buffer) => void;
}

/**
 * Forwards TCP connections between two processes. While a direction is cut, its
 * bytes are held and arrive late once it is restored, as in a network that
 * loses and retransmits packets.
 */
export class Link {
  readonly #options: LinkOptions;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();

  protected constructor(options: LinkOptions) {
    this.#options = options;
    this.#server = createServer(
      { allowHalfOpen: true },
      (socket) => this.#forward(socket),
    );
  }

  /** Opens the listener. */
  static async open(options: LinkOptions): Promise<Link> {
    const link = new Link(options);
    const [host, port] = options.listenAt.split(":");
    await new Promise<void>((resolve, reject) => {
      link.#server.once("error", reject);
      link.#server.listen(
        { host, port: Number(port), backlog: 1024 },
        resolve,
      );
    });
    return link;
  }

  /** Closes the listener and every connection. */
  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #forward(inbound: Socket): void {
    const { network, from, to, address, onBytes } = this.#options;
    const [host, port] = address.split(":");
    const outbound = connect({ host, port: Number(port), allowHalfOpen: true });
    for (const socket of [inbound, outbound]) {
      socket.setNoDelay(true);
      this.#sockets.add(socket);
      socket.once("close", () => this.#sockets.delete(socket));
    }
    if (onBytes) inbound.on("data", onBytes);
    pipeOneWay(inbound, outbound, () => network.whenOpen(from, to));
    pipeOneWay(outbound, inbound, () => network.whenOpen(to, from));
  }
}

type WhenOpen = () => Promise<void> | undefined;

function pipeOneWay(source: Socket, sink: Socket, whenOpen: WhenOpen): void {
  source.pipe(new GatedStream(whenOpen)).pipe(sink);
  // The end of a connection is delayed like its bytes.
  source.once("close", (hadError) => {
    if (hadError) void runWhenOpen(whenOpen, () => sink.destroy());
  });
  source.on("error", () => {});
}

async function runWhenOpen(
  whenOpen: WhenOpen,
  action: () => void,
): Promise<void> {
  for (let open = whenOpen(); open; open = whenOpen()) await open;
  action();
}

class GatedStream extends Transform {
  readonly #whenOpen: WhenOpen;

  constructor(whenOpen: WhenOpen) {
    super();
    this.#whenOpen = whenOpen;
  }

  override _transform(
    chunk: Buffer,
    _encoding: BufferEncoding,
    done: TransformCallback,
  ): void {
    if (!this.#whenOpen()) return done(null, chunk);
    void runWhenOpen(this.#whenOpen, () => done(null, chunk));
  }

  override _flush(done: TransformCallback): void {
    void runWhenOpen(this.#whenOpen, () => done());
  }
}

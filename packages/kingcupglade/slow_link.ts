import { connect, createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import type { GatewayVmOptions } from "@kingcupglade/fleet_gateway";
import { buildConnector } from "undici";

type Connector = NonNullable<GatewayVmOptions["connectToTarget"]>;

/** Bytes of one connection on the link, or received and not read. */
const windowBytes = 64 * 1024;
/** Bytes of the headers of a packet, and of a packet that opens a connection. */
const packetBytes = 60;
const connectMilliseconds = 700;
const pollMilliseconds = 5;

/** One direction of a link: a queue that is served first in, first out. */
class Direction {
  readonly #bytesPerMillisecond: number;
  readonly #onTheirWay: (() => void)[] = [];
  #busyUntil = 0;

  constructor(megabitsPerSecond: number) {
    this.#bytesPerMillisecond = megabitsPerSecond * 125;
  }

  /** Calls back when the link has carried the bytes. */
  carry(bytes: number, arrived: () => void): void {
    const now = performance.now();
    this.#busyUntil = Math.max(now, this.#busyUntil) +
      (bytes * 1.04 + packetBytes) / this.#bytesPerMillisecond;
    // Timers whose ends differ by less than a millisecond may end in any order.
    this.#onTheirWay.push(arrived);
    setTimeout(() => this.#onTheirWay.shift()!(), this.#busyUntil - now);
  }
}

/** The link of one gateway, which all of its connections share. */
export class SlowLink {
  /** Connects to targets over the link. */
  readonly connector: Connector;
  readonly #inbound: Direction;
  readonly #outbound: Direction;
  readonly #servers: Server[] = [];
  readonly #sockets = new Set<Socket>();
  readonly #proxies = new Map<string, Promise<number>>();
  /** Sockets of the gateway, by local port. */
  readonly #gatewaySockets = new Map<number, Socket>();

  constructor(megabitsPerSecond: number) {
    this.#inbound = new Direction(megabitsPerSecond);
    this.#outbound = new Direction(megabitsPerSecond);
    const open = buildConnector({});
    this.connector = (options, callback) => {
      let isOver = false;
      const timer = setTimeout(() => {
        isOver = true;
        callback(new Error("connect timeout"), null);
      }, connectMilliseconds);
      this.#handshake(() => {
        if (isOver) return;
        clearTimeout(timer);
        void this.#proxyOf(options.hostname, Number(options.port)).then(
          (port) =>
            open(
              { ...options, hostname: "127.0.0.1", port: String(port) },
              (...result) => {
                const [, socket] = result;
                if (socket) this.#register(socket as Socket);
                callback(...result);
              },
            ),
        );
      });
    };
  }

  /** Opens a port whose connections reach the gateway over the link. */
  async listenFor(gatewayAddress: string): Promise<number> {
    const [host, port] = gatewayAddress.split(":");
    return await this.#listen((callerSide) => {
      const gatewaySide = connect({
        host: host!,
        port: Number(port),
        noDelay: true,
      });
      this.#pipe(callerSide, gatewaySide, this.#inbound);
      this.#pipe(gatewaySide, callerSide, this.#outbound);
    });
  }

  close(): void {
    for (const server of this.#servers) server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #handshake(accepted: () => void): void {
    this.#outbound.carry(0, () => this.#inbound.carry(0, accepted));
  }

  #register(socket: Socket): void {
    const { localPort } = socket;
    if (localPort === undefined) return;
    this.#gatewaySockets.set(localPort, socket);
    socket.once("close", () => this.#gatewaySockets.delete(localPort));
  }

  #proxyOf(host: string, port: number): Promise<number> {
    const name = `${host}:${port}`;
    const known = this.#proxies.get(name);
    if (known) return known;
    const created = this.#listen((gatewaySide) => {
      const targetSide = connect({ host, port, noDelay: true });
      const remotePort = gatewaySide.remotePort ?? 0;
      this.#pipe(gatewaySide, targetSide, this.#outbound);
      this.#pipe(
        targetSide,
        gatewaySide,
        this.#inbound,
        () => this.#gatewaySockets.get(remotePort)?.bytesRead,
      );
    });
    this.#proxies.set(name, created);
    return created;
  }

  async #listen(accept: (socket: Socket) => void): Promise<number> {
    const server = createServer({ noDelay: true }, accept);
    this.#servers.push(server);
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    return (server.address() as AddressInfo).port;
  }

  // A sender has at most a window on the link and unread; buffers of the kernel
  // on loopback would take far more.
  #pipe(
    from: Socket,
    to: Socket,
    direction: Direction,
    readBytes: () => number | undefined = () => undefined,
  ): void {
    this.#sockets.add(from);
    let sent = 0;
    let carried = 0;
    let hasClosed = false;
    const resume = () => {
      const unread = carried - (readBytes() ?? carried);
      if (sent - carried + unread < windowBytes) from.resume();
      else if (!hasClosed) setTimeout(resume, pollMilliseconds);
    };
    from.on("data", (chunk: Buffer) => {
      sent += chunk.length;
      from.pause();
      resume();
      direction.carry(chunk.length, () => {
        carried += chunk.length;
        if (!to.destroyed) to.write(chunk);
      });
    });
    from.on("error", () => {});
    from.on("end", () => direction.carry(0, () => to.end()));
    from.on("close", () => {
      hasClosed = true;
      this.#sockets.delete(from);
      direction.carry(0, () => to.destroy());
    });
  }
}

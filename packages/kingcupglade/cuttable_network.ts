import { connect, createServer } from "node:net";
import type { Server, Socket } from "node:net";
import type { GatewayVmOptions } from "@kingcupglade/fleet_gateway";
import { buildConnector } from "undici";

type Connector = NonNullable<GatewayVmOptions["connectToTarget"]>;

/** How a gateway is cut off from all targets. */
export const Cut = {
  /** Connections hang, also those that are open. */
  silent: "silent",
  /** Open connections are reset, and new ones are refused. */
  reset: "reset",
  /** Open connections live on, and new ones are refused. */
  refuse: "refuse",
} as const;
export type Cut = typeof Cut[keyof typeof Cut];

/** Time after which an attempt to connect over a silent path fails. */
const silentConnectMilliseconds = 700;

/** The paths of one gateway to all targets, which can be cut. */
export class CuttableNetwork {
  /** Connects to targets over these paths. */
  readonly connector: Connector;
  readonly #proxies = new Map<string, Promise<Server>>();
  readonly #sockets = new Set<Socket>();
  /** Writes that are delayed while the paths are silent. */
  readonly #delayed: (() => void)[] = [];
  #cut: Cut | null = null;

  constructor() {
    const open = buildConnector({ timeout: silentConnectMilliseconds });
    this.connector = (options, callback) => {
      if (this.#cut === Cut.silent) {
        setTimeout(
          () => callback(new Error("connect timeout"), null),
          silentConnectMilliseconds,
        );
        return;
      }
      if (this.#cut !== null) {
        setImmediate(() => callback(new Error("connect ECONNREFUSED"), null));
        return;
      }
      void this.#proxyOf(`${options.hostname}:${options.port}`).then(
        (proxy) => {
          const { port } = proxy.address() as { readonly port: number };
          open(
            { ...options, hostname: "127.0.0.1", port: String(port) },
            callback,
          );
        },
      );
    };
  }

  /** Cuts all paths. */
  cut(cut: Cut): void {
    this.#cut = cut;
    if (cut !== Cut.reset) return;
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  /** Restores all paths. */
  heal(): void {
    this.#cut = null;
    for (const write of this.#delayed.splice(0)) write();
  }

  async close(): Promise<void> {
    for (const socket of this.#sockets) socket.destroy();
    for (const proxy of this.#proxies.values()) (await proxy).close();
  }

  #proxyOf(address: string): Promise<Server> {
    const known = this.#proxies.get(address);
    if (known) return known;
    const created = this.#createProxy(address);
    this.#proxies.set(address, created);
    return created;
  }

  async #createProxy(address: string): Promise<Server> {
    const [host, port] = address.split(":");
    const server = createServer({ noDelay: true }, (gatewaySide) => {
      const targetSide = connect({ host, port: Number(port), noDelay: true });
      this.#pipe(gatewaySide, targetSide);
      this.#pipe(targetSide, gatewaySide);
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    return server;
  }

  #pipe(from: Socket, to: Socket): void {
    this.#sockets.add(from);
    const whenOpen = (write: () => void) => {
      if (this.#cut === Cut.silent) this.#delayed.push(write);
      else write();
    };
    from.on("data", (chunk) => whenOpen(() => to.write(chunk)));
    from.on("error", () => {});
    from.on("close", () => {
      this.#sockets.delete(from);
      whenOpen(() => to.destroy());
    });
  }
}

import { connect, createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";

/** Passes on connections, and can drop the bytes of those that are open. */
export class SilenceableProxy {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly #open = new Set<Socket>();
  readonly #silent = new WeakSet<Socket>();

  /** @param address Address that is passed on to, as IP:PORT. */
  constructor(address: string) {
    const [host, port] = address.split(":");
    this.#server = createServer({ noDelay: true }, (caller) => {
      const callee = connect({ host, port: Number(port), noDelay: true });
      this.#pipe(caller, callee);
      this.#pipe(callee, caller);
    });
  }

  /** Listens at an IP address, on any port by default; returns IP:PORT. */
  async listen(ip: string, port = 0): Promise<string> {
    await new Promise<void>((resolve) =>
      this.#server.listen(port, ip, resolve)
    );
    return `${ip}:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Number of connections from callers that are open and not silent. */
  get openCount(): number {
    return this.#open.size / 2;
  }

  /** Drops all that open connections carry from now on; new ones are not affected. */
  silenceOpenConnections(): void {
    for (const socket of this.#open) this.#silent.add(socket);
    this.#open.clear();
  }

  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #pipe(from: Socket, to: Socket): void {
    this.#sockets.add(from);
    this.#open.add(from);
    from.on("data", (chunk) => {
      if (!this.#silent.has(from)) to.write(chunk);
    });
    from.on("error", () => {});
    from.on("close", () => {
      this.#sockets.delete(from);
      this.#open.delete(from);
      if (!this.#silent.has(from)) to.destroy();
    });
  }
}

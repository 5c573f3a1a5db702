import { createServer } from "node:http";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { Replication } from "@kingcupglade/protocol";
import { UnaryServices } from "@kingcupglade/transport";
import { SilenceableProxy } from "./silenceable_proxy.ts";

/** Records when messages for a replica arrive, over connections that can fall silent. */
export class SilenceableReplica {
  /** Times at which messages arrived, in milliseconds. */
  readonly arrivals: number[] = [];
  readonly #server: Server;
  #proxy!: SilenceableProxy;
  #address = "";

  constructor(options: { readonly secret: string }) {
    const services = new UnaryServices(options);
    services.service(Replication, {
      deliver: () => {
        this.arrivals.push(performance.now());
        return { messages: [] };
      },
    });
    this.#server = createServer((request, response) =>
      void services.handle(request, response)
    );
  }

  /** Peer address of the VM, as IP:PORT. */
  get address(): string {
    return this.#address;
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = this.#server.address() as AddressInfo;
    this.#proxy = new SilenceableProxy(`127.0.0.1:${port}`);
    this.#address = await this.#proxy.listen("127.0.0.1");
  }

  /** Silences all open connections; returns the time of the last arrival. */
  silence(): number {
    this.#proxy.silenceOpenConnections();
    return this.arrivals.at(-1)!;
  }

  stop(): void {
    this.#proxy.close();
    this.#server.closeAllConnections();
    this.#server.close();
  }
}

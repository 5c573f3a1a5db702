import { Agent } from "node:http";
import { createClient } from "@connectrpc/connect";
import type { Client, Interceptor } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { Control, Replication } from "@kingcupglade/protocol";

/** The services of one other VM. */
export interface Peer {
  readonly control: Client<typeof Control>;
  readonly replication: Client<typeof Replication>;
}

/** Connections to the other VMs, by name. */
export class PeerDirectory {
  readonly #addresses: Readonly<Record<string, string>>;
  readonly #agent = new Agent({ keepAlive: true });
  readonly #authorize: Interceptor;
  readonly #peers = new Map<string, Peer>();

  constructor(options: {
    /** Peer listener of each VM, as IP:PORT. */
    readonly addresses: Readonly<Record<string, string>>;
    readonly secret: string;
  }) {
    this.#addresses = options.addresses;
    this.#authorize = (next) => (request) => {
      request.header.set("authorization", `Bearer ${options.secret}`);
      return next(request);
    };
  }

  /** The services of a VM, or undefined when the settings do not name it. */
  get(vm: string): Peer | undefined {
    const known = this.#peers.get(vm);
    const address = this.#addresses[vm];
    if (known || address === undefined) return known;
    const transport = createConnectTransport({
      httpVersion: "1.1",
      baseUrl: `http://${address}`,
      useBinaryFormat: true,
      nodeOptions: { agent: this.#agent },
      interceptors: [this.#authorize],
    });
    const peer: Peer = {
      control: createClient(Control, transport),
      replication: createClient(Replication, transport),
    };
    this.#peers.set(vm, peer);
    return peer;
  }

  /** Closes every connection. */
  close(): void {
    this.#agent.destroy();
  }
}

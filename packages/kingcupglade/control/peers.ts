import { Agent } from "node:http";
import { Agent as TlsAgent } from "node:https";
import type { DescService } from "@bufbuild/protobuf";
import { createClient } from "@connectrpc/connect";
import type { Client, Interceptor, Transport } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import type { ResolvedTls } from "../settings/tls.ts";

/** Connections to the other VMs, by name. */
export class PeerDirectory {
  readonly #addresses: Readonly<Record<string, string>>;
  readonly #agent: Agent;
  readonly #scheme: "http" | "https";
  readonly #authorize: Interceptor;
  readonly #transports = new Map<string, Transport>();
  readonly #clients = new Map<string, Client<DescService>>();

  constructor(options: {
    /** Peer listener of each VM, as IP:PORT. */
    readonly addresses: Readonly<Record<string, string>>;
    readonly secret: string;
    /** @default plain HTTP */
    readonly tls?: ResolvedTls;
  }) {
    const { tls } = options;
    const material = tls?.listeners.has("peers") ? tls.material : undefined;
    this.#addresses = options.addresses;
    this.#scheme = material ? "https" : "http";
    this.#agent = material
      ? new TlsAgent({
        keepAlive: true,
        cert: material.certificate,
        key: material.key,
        ca: material.authority,
      })
      : new Agent({ keepAlive: true });
    this.#authorize = (next) => (request) => {
      request.header.set("authorization", `Bearer ${options.secret}`);
      return next(request);
    };
  }

  /** A service of a VM, or undefined when the settings do not name the VM. */
  client<Service extends DescService>(
    vm: string,
    service: Service,
  ): Client<Service> | undefined {
    const id = `${vm}/${service.typeName}`;
    const transport = this.#transport(vm);
    if (!transport) return undefined;
    const known = this.#clients.get(id) as Client<Service> | undefined;
    const client = known ?? createClient(service, transport);
    if (!known) this.#clients.set(id, client as Client<DescService>);
    return client;
  }

  /** Closes every connection. */
  close(): void {
    this.#agent.destroy();
  }

  #transport(vm: string): Transport | undefined {
    const known = this.#transports.get(vm);
    const address = this.#addresses[vm];
    if (known || address === undefined) return known;
    const transport = createConnectTransport({
      httpVersion: "1.1",
      baseUrl: `${this.#scheme}://${address}`,
      useBinaryFormat: true,
      nodeOptions: { agent: this.#agent },
      interceptors: [this.#authorize],
    });
    this.#transports.set(vm, transport);
    return transport;
  }
}

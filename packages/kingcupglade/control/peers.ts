import { Agent } from "node:http";
import { Agent as TlsAgent } from "node:https";
import type { DescService } from "@bufbuild/protobuf";
import { createClient } from "@connectrpc/connect";
import type { Client, Interceptor, Transport } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { Control, Credit, Ledger, Replication } from "@kingcupglade/protocol";
import { Pool } from "undici";
import type { ResolvedTls } from "../settings/tls.ts";
import { createUnaryClient, PeerPool } from "@kingcupglade/transport";

/** Connections to each VM for calls made per request or per heartbeat. */
const unaryConnections = 16;

/** Services called so frequently that the overhead of Connect matters. */
const unaryServices: ReadonlySet<DescService> = new Set([
  Control,
  Credit,
  Ledger,
  Replication,
]);

/** Creates and caches clients of the other VMs, by VM name. */
export class PeerDirectory {
  readonly #addresses: Readonly<Record<string, string>>;
  readonly #agent: Agent;
  readonly #scheme: "http" | "https";
  readonly #authorize: Interceptor;
  readonly #transports = new Map<string, Transport>();
  readonly #pools = new Map<string, PeerPool>();
  readonly #clients = new Map<string, Client<DescService>>();
  readonly #secret: string;
  readonly #tls: ResolvedTls | undefined;

  constructor(options: {
    /** Peer listener address of each VM, as IP:PORT. */
    readonly addresses: Readonly<Record<string, string>>;
    readonly secret: string;
    /** @default plain HTTP */
    readonly tls?: ResolvedTls;
  }) {
    const { tls } = options;
    const material = tls?.listeners.has("peers") ? tls.material : undefined;
    this.#addresses = options.addresses;
    this.#secret = options.secret;
    this.#tls = material && tls;
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

  /** Returns a client of a VM's service; undefined if the VM is unknown. */
  client<Service extends DescService>(
    vm: string,
    service: Service,
  ): Client<Service> | undefined {
    const id = `${vm}/${service.typeName}`;
    const existing = this.#clients.get(id) as Client<Service> | undefined;
    if (existing || this.#addresses[vm] === undefined) return existing;
    const client = unaryServices.has(service)
      ? createUnaryClient(service, {
        connections: this.#pool(vm),
        secret: this.#secret,
      })
      : createClient(service, this.#transport(vm));
    this.#clients.set(id, client as Client<DescService>);
    return client;
  }

  /** Closes all connections. */
  close(): void {
    this.#agent.destroy();
    for (const pool of this.#pools.values()) pool.destroy();
  }

  #origin(vm: string): string {
    return `${this.#scheme}://${this.#addresses[vm]}`;
  }

  #pool(vm: string): PeerPool {
    const known = this.#pools.get(vm);
    if (known) return known;
    const pool = new PeerPool({ create: () => this.#createPool(vm) });
    this.#pools.set(vm, pool);
    return pool;
  }

  #createPool(vm: string): Pool {
    const material = this.#tls?.material;
    return new Pool(this.#origin(vm), {
      connections: unaryConnections,
      pipelining: 1,
      connect: material && {
        cert: material.certificate,
        key: material.key,
        ca: material.authority,
      },
    });
  }

  #transport(vm: string): Transport {
    const existing = this.#transports.get(vm);
    if (existing) return existing;
    const transport = createConnectTransport({
      httpVersion: "1.1",
      baseUrl: this.#origin(vm),
      useBinaryFormat: true,
      nodeOptions: { agent: this.#agent },
      interceptors: [this.#authorize],
    });
    this.#transports.set(vm, transport);
    return transport;
  }
}

import type { DescService } from "@bufbuild/protobuf";
import type { Client } from "@connectrpc/connect";
import { createUnaryClient } from "@kingcupglade/transport";
import { Pool } from "undici";

/** Maximum number of concurrent calls to one VM. */
const connectionsPerVm = 8;
/** Connection attempts to a VM without power receive no response. */
const connectTimeoutMilliseconds = 1000;
/**
 * Idle connections are closed early, before one that was lost silently is used
 * again.
 */
const keepAliveMilliseconds = 4000;

/** Clients for the services of other VMs, by peer address. */
export class PeerClients {
  readonly #secret: string;
  readonly #localAddress: string | undefined;
  readonly #pools = new Map<string, Pool>();
  readonly #clients = new Map<string, Client<DescService>>();

  constructor(options: {
    readonly secret: string;
    /** IP that connections are bound to. @default chosen by the system */
    readonly localAddress?: string | undefined;
  }) {
    this.#secret = options.secret;
    this.#localAddress = options.localAddress;
  }

  /** Returns the client for a service of the VM at an address, as IP:PORT. */
  client<Service extends DescService>(
    address: string,
    service: Service,
  ): Client<Service> {
    const id = `${address}/${service.typeName}`;
    const known = this.#clients.get(id);
    if (known) return known as Client<Service>;
    const client = createUnaryClient(service, {
      pool: this.#pool(address),
      secret: this.#secret,
    });
    this.#clients.set(id, client as Client<DescService>);
    return client;
  }

  /** Closes all connections. */
  close(): void {
    for (const pool of this.#pools.values()) void pool.destroy();
  }

  #pool(address: string): Pool {
    const known = this.#pools.get(address);
    if (known) return known;
    const pool = new Pool(`http://${address}`, {
      connections: connectionsPerVm,
      pipelining: 1,
      connect: { timeout: connectTimeoutMilliseconds },
      ...(this.#localAddress !== undefined &&
        { localAddress: this.#localAddress }),
      keepAliveTimeout: keepAliveMilliseconds,
      keepAliveMaxTimeout: keepAliveMilliseconds,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.#pools.set(address, pool);
    return pool;
  }
}

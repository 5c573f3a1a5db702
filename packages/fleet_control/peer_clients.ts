import type { DescService } from "@bufbuild/protobuf";
import type { Client } from "@connectrpc/connect";
import type { Logger } from "@kingcupglade/telemetry";
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

/** Options of {@link PeerClients}. */
export interface PeerClientsOptions {
  readonly secret: string;
  /** @default no log */
  readonly logger?: Pick<Logger, "warn">;
}

/** Connections to one VM, and the clients that use them. */
interface PeerConnections {
  readonly pool: Pool;
  /** By the name of the service. */
  readonly clients: Map<string, Client<DescService>>;
}

/** Clients for the services of other VMs, by peer address. */
export class PeerClients {
  readonly #options: PeerClientsOptions;
  readonly #connections = new Map<string, PeerConnections>();
  /** Pools that get no further calls, until their last one has ended. */
  readonly #retired = new Set<Pool>();

  constructor(options: PeerClientsOptions) {
    this.#options = options;
  }

  /**
   * Returns the client for a service of the VM at an address, as IP:PORT, for
   * the next call.
   */
  client<Service extends DescService>(
    address: string,
    service: Service,
  ): Client<Service> {
    const connections = this.#connectionsTo(address);
    const { pool, clients } = connections;
    const known = clients.get(service.typeName);
    if (known) return known as Client<Service>;
    const client = createUnaryClient(service, {
      pool,
      secret: this.#options.secret,
      onSilence: () => this.#handleSilence(address, connections),
    });
    clients.set(service.typeName, client as Client<DescService>);
    return client;
  }

  /**
   * Uses new connections for further calls to a VM; the calls in progress end on
   * theirs.
   */
  renew(address: string): void {
    const connections = this.#connections.get(address);
    if (!connections) return;
    const { pool } = connections;
    this.#connections.delete(address);
    this.#retired.add(pool);
    const forget = () => this.#retired.delete(pool);
    pool.close().then(forget, forget);
  }

  /** Closes all connections. */
  close(): void {
    for (const { pool } of this.#connections.values()) void pool.destroy();
    for (const pool of this.#retired) void pool.destroy();
  }

  // What silences one connection mostly silences all that are open: a path that
  // was lost, or a firewall that has forgotten them. Each would cost a timeout.
  #handleSilence(address: string, connections: PeerConnections): void {
    this.#options.logger?.warn("peer-silent", { address });
    // Others of these connections may have been found silent before.
    if (this.#connections.get(address) === connections) this.renew(address);
  }

  #connectionsTo(address: string): PeerConnections {
    const known = this.#connections.get(address);
    if (known) return known;
    const connections = { pool: createPool(address), clients: new Map() };
    this.#connections.set(address, connections);
    return connections;
  }
}

function createPool(address: string): Pool {
  return new Pool(`http://${address}`, {
    connections: connectionsPerVm,
    pipelining: 1,
    connect: { timeout: connectTimeoutMilliseconds },
    keepAliveTimeout: keepAliveMilliseconds,
    keepAliveMaxTimeout: keepAliveMilliseconds,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}

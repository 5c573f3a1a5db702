import type { DescService } from "@bufbuild/protobuf";
import type { Client } from "@connectrpc/connect";
import type { Logger } from "@kingcupglade/telemetry";
import { createUnaryClient, PeerPool } from "@kingcupglade/transport";
import { Pool } from "undici";

const defaultConnections = 8;
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
  /** IP that connections are bound to. @default chosen by the system */
  readonly localAddress?: string | undefined;
  /** Maximum number of concurrent calls to one VM. @default 8 */
  readonly connections?: number;
  /** @default no log */
  readonly logger?: Pick<Logger, "warn">;
}

/** Clients for the services of other VMs, by peer address. */
export class PeerClients {
  readonly #options: PeerClientsOptions;
  readonly #pools = new Map<string, PeerPool>();
  readonly #clients = new Map<string, Client<DescService>>();

  constructor(options: PeerClientsOptions) {
    this.#options = options;
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
      connections: this.#pool(address),
      secret: this.#options.secret,
    });
    this.#clients.set(id, client as Client<DescService>);
    return client;
  }

  /**
   * Uses new connections for further calls to a VM; the calls in progress end on
   * theirs.
   */
  renew(address: string): void {
    this.#pools.get(address)?.renew();
  }

  /** Closes all connections. */
  close(): void {
    for (const pool of this.#pools.values()) pool.destroy();
  }

  #pool(address: string): PeerPool {
    const known = this.#pools.get(address);
    if (known) return known;
    const { logger } = this.#options;
    const pool = new PeerPool({
      create: () => createPool(address, this.#options),
      onSilence: () => {
        if (logger) logger.warn("peer-silent", { address });
      },
    });
    this.#pools.set(address, pool);
    return pool;
  }
}

function createPool(
  address: string,
  { localAddress, connections = defaultConnections }: PeerClientsOptions,
): Pool {
  return new Pool(`http://${address}`, {
    connections,
    pipelining: 1,
    connect: { timeout: connectTimeoutMilliseconds },
    ...(localAddress !== undefined && { localAddress }),
    keepAliveTimeout: keepAliveMilliseconds,
    keepAliveMaxTimeout: keepAliveMilliseconds,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}

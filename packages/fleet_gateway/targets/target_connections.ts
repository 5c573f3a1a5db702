import { buildConnector } from "undici";
import type { Socket } from "node:net";
import type { Clock } from "@kingcupglade/tasks";
import { FramingBudget, splitAddress } from "@kingcupglade/transport";
import { AddressPool } from "./address_pool.ts";
import type {
  ConnectionCriteria,
  ConnectionObserver,
  Connector,
  TargetConnection,
} from "./address_pool.ts";

/**
 * Bytes of framing of all responses. A chunk of one byte has five, and takes 0.1 to
 * 0.2 microseconds of processor time.
 */
const framingBytesPerMillisecond = 2048;
/** Default time limit for opening a connection. */
const defaultConnectTimeoutMilliseconds = 700;
/**
 * Time limit while the link is full: with a window of 64 KiB before it, each
 * packet of a handshake waits 0.35 s at 1.5 Mbit/s.
 */
const fullLinkConnectMilliseconds = 2000;
/** Bounds the IDs that are kept for each connection. */
const maximumRequestsPerConnection = 1000;

/** Time for which lost connections are remembered. */
const lossRetentionMilliseconds = 1000;

/** Options of {@link TargetConnections}. */
export interface TargetConnectionsOptions {
  readonly clock: Clock;
  /** @default TCP */
  readonly connector?: Connector | undefined;
  /** Time limit for opening a connection. @default 700 */
  readonly connectTimeoutMilliseconds?: number;
  /** IP that connections are bound to. @default chosen by the system */
  readonly localAddress?: string | undefined;
  /** @default none */
  readonly observer?: ConnectionObserver;
  /** Budget for the framing of responses. @default one of these connections */
  readonly framing?: FramingBudget;
  /**
   * Whether the link of this VM is full, so that connections take longer.
   * @default never
   */
  readonly isLinkFull?: () => boolean;
}

/** Connections of a gateway to all targets. */
export class TargetConnections {
  readonly #pools = new Map<string, AddressPool>();
  /** Times at which targets last ended a connection, by address. */
  readonly #losses = new Map<string, number>();
  readonly #clock: Clock;
  readonly #connector: Connector;
  readonly #observer: ConnectionObserver;
  readonly #framing: FramingBudget;

  constructor(options: TargetConnectionsOptions) {
    const { connector, connectTimeoutMilliseconds } = options;
    this.#clock = options.clock;
    this.#framing = options.framing ?? createFramingBudget(options.clock);
    this.#connector = connector ?? connectorFor({
      milliseconds: connectTimeoutMilliseconds ??
        defaultConnectTimeoutMilliseconds,
      isLinkFull: options.isLinkFull,
      localAddress: options.localAddress,
    });
    const observer = options.observer ?? noObserver;
    this.#observer = {
      ...observer,
      lost: (address) => {
        this.#recordLoss(address);
        observer.lost(address);
      },
    };
  }

  /** Resolves with whether a connection is accepted within the time. */
  tryConnect(address: string, milliseconds: number): Promise<boolean> {
    const { host: hostname, port } = splitAddress(address);
    return new Promise((resolve) => {
      let socket: Socket | null = null;
      let hasEnded = false;
      const finish = (isAccepted: boolean) => {
        if (hasEnded) return;
        hasEnded = true;
        clearTimeout(timer);
        socket?.destroy();
        resolve(isAccepted);
      };
      // After a delay of the whole process, timers precede connections that were
      // accepted in time.
      const timer = setTimeout(
        () => setImmediate(() => finish(false)),
        milliseconds,
      );
      this.#connector(
        { hostname, host: address, port: String(port), protocol: "http:" },
        (...[failure, opened]) => {
          opened?.on("error", () => {});
          if (hasEnded) return opened?.destroy();
          socket = opened;
          finish(failure === null);
        },
      );
    });
  }

  /** Returns a connection to IP:PORT that carries no request. */
  acquire(address: string, criteria: ConnectionCriteria): TargetConnection {
    const connection = this.#poolOf(address).acquire(
      this.#clock.now(),
      criteria,
    );
    connection.allowance.renew();
    return connection;
  }

  /** Makes a connection available again after a complete response. */
  release(address: string, connection: TargetConnection): void {
    if (connection.client.destroyed || connection.client.closed) return;
    // A second copy of a response without an ID would be taken for the next.
    const { requestIds } = connection;
    if (requestIds.has("") || requestIds.size >= maximumRequestsPerConnection) {
      return this.end(connection);
    }
    this.#poolOf(address).release(connection, this.#clock.now());
  }

  /** Closes a connection on which unexpected bytes could still arrive. */
  end(connection: TargetConnection): void {
    void connection.client.destroy();
  }

  /**
   * Closes a connection that brought no byte of a response since a time at which a
   * request was sent, and idle ones that may be silent as well.
   */
  endSilent(
    address: string,
    { connection, sentAt }: {
      readonly connection: TargetConnection;
      readonly sentAt: number;
    },
  ): void {
    this.end(connection);
    if (connection.wasUsed) this.#poolOf(address).closeIdleSince(sentAt);
  }

  /** Closes connections to all other addresses, which no target uses now. */
  retainOnly(addresses: ReadonlySet<string>): void {
    for (const [address, pool] of this.#pools) {
      if (addresses.has(address)) continue;
      pool.close();
      this.#pools.delete(address);
    }
  }

  close(): void {
    for (const pool of this.#pools.values()) pool.close();
  }

  /** Returns the number of established connections to an address. */
  openCount(address: string): number {
    return this.#pools.get(address)?.openCount ?? 0;
  }

  /** Returns how many addresses have ended a connection since a time. */
  addressesLostSince(since: number): number {
    return [...this.#losses.values()].filter((at) => at >= since).length;
  }

  #recordLoss(address: string): void {
    const now = this.#clock.now();
    for (const [known, at] of this.#losses) {
      if (at < now - lossRetentionMilliseconds) this.#losses.delete(known);
    }
    this.#losses.set(address, now);
  }

  #poolOf(address: string): AddressPool {
    const existing = this.#pools.get(address);
    if (existing) return existing;
    const pool = new AddressPool({
      address,
      now: () => this.#clock.now(),
      connector: this.#connector,
      observer: this.#observer,
      framing: this.#framing,
    });
    this.#pools.set(address, pool);
    return pool;
  }
}

/** Creates a budget for the framing of responses to one gateway. */
export function createFramingBudget(clock: Clock): FramingBudget {
  return new FramingBudget({
    bytesPerMillisecond: framingBytesPerMillisecond,
    now: () => clock.now(),
  });
}

/** Connects over TCP, within a longer time while the link is full. */
function connectorFor(options: {
  readonly milliseconds: number;
  readonly isLinkFull: (() => boolean) | undefined;
  readonly localAddress: string | undefined;
}): Connector {
  const { milliseconds, isLinkFull, localAddress } = options;
  const usual = connectWithin(milliseconds, localAddress);
  if (!isLinkFull) return usual;
  const patient = connectWithin(
    Math.max(milliseconds, fullLinkConnectMilliseconds),
    localAddress,
  );
  return (connect, callback) =>
    (isLinkFull() ? patient : usual)(connect, callback);
}

/** Connects within a time; undici's limit ends up to a second later. */
function connectWithin(
  milliseconds: number,
  localAddress: string | undefined,
): Connector {
  const connect = buildConnector({ timeout: milliseconds });
  return (options, callback) => {
    let hasEnded = false;
    const end: typeof callback = (...result) => {
      clearTimeout(timer);
      const [, socket] = result;
      if (!hasEnded) {
        hasEnded = true;
        return callback(...result);
      }
      socket?.on("error", () => {});
      socket?.destroy();
    };
    // After a delay of the whole process, timers precede connections that were
    // accepted in time.
    const timer = setTimeout(
      () => setImmediate(() => end(new Error("connect timeout"), null)),
      milliseconds,
    );
    connect(
      localAddress === undefined ? options : { ...options, localAddress },
      end,
    );
  };
}

const noObserver: ConnectionObserver = {
  connected: () => {},
  connectTrouble: () => {},
  lost: () => {},
  surplus: () => {},
  held: () => {},
};

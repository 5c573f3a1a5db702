import { errors } from "undici";
import type { buildConnector, Client } from "undici";
import { resetIfUnanswered } from "@kingcupglade/transport";
import type { FramingBudget } from "@kingcupglade/transport";
import { BodyJoiner } from "../exchanges/body_joiner.ts";
import { ReadAllowance } from "../exchanges/read_allowance.ts";
import { ReadHold } from "../exchanges/read_hold.ts";
import { hasBeenReset } from "../exchanges/socket_end.ts";
import { SurplusDetector } from "../exchanges/surplus_detector.ts";
import { TargetClient } from "./target_client.ts";

/** Used when the target does not announce its keep-alive timeout. */
const keepAliveMilliseconds = 9000;
/** Idle connections are closed this long before the target closes them. */
const keepAliveMarginMilliseconds = 600;
/**
 * A request that may run only once uses a new connection or one that was idle
 * for at most this long: if the target closes a connection just as the request
 * is sent, it is unknown whether the request ran.
 */
const maximumFreshIdleMilliseconds = 2500;

/** The allowance of a connection ends a longer head before this limit does. */
const unreachedHeaderBytes = 64 * 1024;

/**
 * Time after surplus bytes for which the connections of a target are not reused:
 * one that repeats responses is likely to do so until it is replaced.
 */
const surplusRetentionMilliseconds = 600_000;

/** A connection that is not open after this long is reported as trouble. */
const slowConnectMilliseconds = 250;

/** Opens sockets, as `undici` requires it. */
export type Connector = buildConnector.connector;

/** Receives what happens to the connections to targets. */
export interface ConnectionObserver {
  connected(address: string): void;
  /** A target has not accepted a connection, or not yet. */
  connectTrouble(address: string): void;
  /** A target has ended a connection. */
  lost(address: string): void;
  /**
   * A target has sent bytes that belong to no request. Its connections are not
   * reused from now on.
   */
  surplus(address: string): void;
  /** A response in small chunks is read more slowly than it arrives. */
  held(address: string): void;
}

/** One connection to a target. */
export interface TargetConnection {
  readonly client: Client;
  /** Bounds the bytes that bring no progress in a response. */
  readonly allowance: ReadAllowance;
  readonly surplus: SurplusDetector;
  /**
   * Records that the target sent bytes which belong to no request in progress,
   * such as a second copy of a response.
   */
  readonly recordSurplus: () => void;
  /** Whether the connection is established. */
  isOpen: boolean;
  /** Whether a response was received on this connection before. */
  wasUsed: boolean;
  /** Stops the reading of what the target sends. */
  readonly reads: ReadHold;
  /** Whether the target sent a reset, which undici reports as a normal end. */
  wasReset: boolean;
  /** IDs of the requests that it carried; empty for one without an ID. */
  readonly requestIds: Set<string>;
  idleSince: number;
}

/** Which connections a request may use. */
export interface ConnectionCriteria {
  /** Whether the connection was in use a short time ago. */
  readonly mustBeFresh: boolean;
  /** Whether the connection has carried no request. @default false */
  readonly mustBeNew?: boolean;
  /**
   * ID that tells the response to the request from others on its connection;
   * empty if there is none. @default not checked
   */
  readonly requestId?: string;
}

/** Connections to one address, each used for one request at a time. */
export class AddressPool {
  readonly #address: string;
  readonly #connector: Connector;
  readonly #observer: ConnectionObserver;
  readonly #framing: FramingBudget;
  readonly #now: () => number;
  readonly #idle: TargetConnection[] = [];
  readonly #connections = new Set<TargetConnection>();
  /** Until then, a connection carries one request. */
  #surplusUntil = -Infinity;
  /** When a connection that was used before last brought a whole response. */
  #heardAt = -Infinity;

  constructor(options: {
    readonly address: string;
    readonly now: () => number;
    readonly connector: Connector;
    readonly observer: ConnectionObserver;
    readonly framing: FramingBudget;
  }) {
    this.#address = options.address;
    this.#framing = options.framing;
    this.#now = options.now;
    this.#connector = options.connector;
    this.#observer = options.observer;
  }

  /** Number of established connections. */
  get openCount(): number {
    return [...this.#connections].filter(({ isOpen }) => isOpen).length;
  }

  /** Returns the connection that was used last, or a new one. */
  acquire(
    now: number,
    { mustBeFresh, mustBeNew = false, requestId }: ConnectionCriteria,
  ): TargetConnection {
    const connection = mustBeNew || requestId === ""
      ? this.#open()
      : this.#reuse(now, { mustBeFresh, requestId }) ?? this.#open();
    if (requestId !== undefined) connection.requestIds.add(requestId);
    connection.surplus.begin();
    return connection;
  }

  // A response to an earlier request of the same ID may still arrive.
  #reuse(
    now: number,
    { mustBeFresh, requestId }: ConnectionCriteria,
  ): TargetConnection | undefined {
    for (;;) {
      const idle = this.#idle.pop();
      if (!idle) return undefined;
      if (idle.client.destroyed || idle.client.closed) continue;
      const isStale = mustBeFresh &&
        now - idle.idleSince > maximumFreshIdleMilliseconds;
      const isAmbiguous = requestId !== undefined &&
        idle.requestIds.has(requestId);
      if (!isStale && !isAmbiguous) return idle;
      this.#idle.push(idle);
      return undefined;
    }
  }

  /** Keeps a connection, or closes one that may still carry surplus bytes. */
  release(connection: TargetConnection, now: number): void {
    connection.surplus.end();
    if (connection.wasUsed) this.#heardAt = now;
    if (now < this.#surplusUntil) return void connection.client.destroy();
    connection.wasUsed = true;
    connection.idleSince = now;
    this.#idle.push(connection);
  }

  /**
   * Closes the connections that have been idle since a time at which a request was
   * sent on another one, which then brought no byte. What silences one connection
   * mostly silences all that are open, and each would cost one more request.
   */
  closeIdleSince(time: number): void {
    // The target is only slow.
    if (this.#heardAt >= time) return;
    for (const connection of [...this.#idle]) {
      if (connection.idleSince <= time) void connection.client.destroy();
    }
  }

  // A copy of a response may be written into any later one on its connection.
  #recordSurplus(): void {
    const now = this.#now();
    if (now >= this.#surplusUntil) this.#observer.surplus(this.#address);
    this.#surplusUntil = now + surplusRetentionMilliseconds;
    this.close();
  }

  remove(connection: TargetConnection): void {
    const index = this.#idle.indexOf(connection);
    if (index >= 0) this.#idle.splice(index, 1);
    this.#connections.delete(connection);
  }

  close(): void {
    for (const { client } of this.#idle.splice(0)) void client.destroy();
  }

  #open(): TargetConnection {
    const reads = new ReadHold();
    const joiner = new BodyJoiner({
      budget: this.#framing,
      reads,
      onHeld: () => this.#observer.held(this.#address),
    });
    const client = new TargetClient(`http://${this.#address}`, {
      joiner,
      pipelining: 1,
      connect: (options, callback) =>
        this.#connect(options, (...result: Parameters<typeof callback>) => {
          const [, socket] = result;
          if (socket) {
            connection.allowance.limit(
              socket,
              (bytes) => connection.surplus.recordRead(bytes),
            );
            reads.applyTo(socket);
            joiner.applyTo(socket);
            resetIfUnanswered(socket, client);
          }
          socket?.once("error", () => (connection.wasReset = true));
          socket?.once("end", () => {
            connection.wasReset ||= hasBeenReset(socket);
          });
          callback(...result);
        }),
      keepAliveTimeout: keepAliveMilliseconds,
      keepAliveMaxTimeout: 60_000,
      keepAliveTimeoutThreshold: keepAliveMarginMilliseconds,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: unreachedHeaderBytes,
    });
    const connection: TargetConnection = {
      client,
      allowance: new ReadAllowance(),
      reads,
      surplus: new SurplusDetector(() => this.#recordSurplus()),
      recordSurplus: () => this.#recordSurplus(),
      isOpen: false,
      wasUsed: false,
      wasReset: false,
      requestIds: new Set(),
      idleSince: -Infinity,
    };
    this.#connections.add(connection);
    client.on("connect", () => (connection.isOpen = true));
    // One connection per client: undici must not reopen a lost one by itself.
    client.on("disconnect", (_origin, _targets, failure) => {
      // Connections that undici closes by itself end with this error.
      const isClosedHere = client.destroyed ||
        failure instanceof errors.InformationalError;
      if (connection.isOpen && !isClosedHere) {
        this.#observer.lost(this.#address);
      }
      connection.isOpen = false;
      this.remove(connection);
      void client.destroy();
    });
    return connection;
  }

  #connect(
    options: buildConnector.Options,
    callback: buildConnector.Callback,
  ): void {
    const observer = this.#observer;
    const slowTimer = setTimeout(
      () => observer.connectTrouble(this.#address),
      slowConnectMilliseconds,
    );
    this.#connector(options, (...result) => {
      clearTimeout(slowTimer);
      const [failure, socket] = result;
      if (failure !== null) {
        observer.connectTrouble(this.#address);
        return callback(...result);
      }
      observer.connected(this.#address);
      // What else has arrived is read before a request is sent: it may be the
      // end of the caller's connection.
      setImmediate(() => {
        if (!socket.destroyed) return callback(...result);
        callback(new Error("the target closed the connection at once"), null);
      });
    });
  }
}

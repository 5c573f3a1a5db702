import { STATUS_CODES } from "node:http";
import type {
  IncomingMessage,
  RequestListener,
  Server,
  ServerResponse,
} from "node:http";
import { Server as TlsServer } from "node:https";
import type { Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { AcceptQueue } from "./accept_queue.ts";
import { CallerPipeline } from "./caller_pipeline.ts";
import { HeldRequests } from "./held_requests.ts";
import { ListenerConnection } from "./listener_connection.ts";
import { createListenerServer, splitAddress } from "./listener_server.ts";
import type { ListenerTls } from "./listener_server.ts";
import { lacksHost, refuseWithoutHost } from "./missing_host.ts";
import { readAbsoluteForm } from "./origin_form.ts";
import type { PipelineLimits } from "./pipeline_limits.ts";

const pollIntervalMilliseconds = 50;
const closeIntervalMilliseconds = 20;
/** A longer time makes a timer fire at once, or throws. */
const maximumTimerMilliseconds = 2 ** 31 - 1;

/** Thrown when a listener cannot be opened. */
export class ListenError extends Error {
  override readonly name = "ListenError";
}

/** Options of {@link HttpListener.open}. */
export interface HttpListenerOptions {
  /** Name of the listener in the settings. */
  readonly name: string;
  /** @default plain HTTP */
  readonly tls?: ListenerTls;
  /** Address to listen on, as IP:PORT. */
  readonly address: string;
  readonly handler: RequestListener;
  /** @default 16384 */
  readonly maximumHeaderBytes?: number;
  /** @default 4096 */
  readonly maximumConnections?: number;
  /** Time in which a client must send its headers. @default 10000 */
  readonly headersTimeoutMilliseconds?: number;
  /**
   * Time in which a client must send a whole request; 0 if whoever handles it
   * bounds that. @default 60000
   */
  readonly requestTimeoutMilliseconds?: number;
  /** Time between two checks of the timeouts. @default 30000 */
  readonly checkIntervalMilliseconds?: number;
  /** Called for each request that cannot be read. @default none */
  readonly onUnreadable?: (request: UnreadableRequest) => void;
  /** Limits of pipelined requests. @default unlimited */
  readonly pipelineLimits?: PipelineLimits;
}

/** A request that cannot be read. */
export interface UnreadableRequest {
  readonly listener: string;
  /** Status of the response; 0 if the connection was closed without one. */
  readonly status: number;
  /** Code or message of the failure. */
  readonly reason: string;
}

/** Statuses of requests that cannot be read, by the code of the failure. */
const refusalStatuses: ReadonlyMap<string | undefined, number> = new Map([
  ["ERR_HTTP_REQUEST_TIMEOUT", 408],
  ["HPE_CHUNK_EXTENSIONS_OVERFLOW", 413],
  ["HPE_HEADER_OVERFLOW", 431],
]);
const malformedStatus = 400;

/** What a listener leaves behind. */
export interface ListenerCloseResult {
  /** Connections that were open when the listener stopped to accept any. */
  readonly open: number;
  /** Requests that were read, or arrived at the end, and were not answered. */
  readonly unanswered: number;
  /**
   * Time in milliseconds from the last look at the queue of connections to the
   * close. The kernel reset connections that were completed in it.
   */
  readonly uncheckedMilliseconds: number;
}

/** An HTTP server that shuts down without interrupting requests. */
export class HttpListener {
  readonly #server: Server;
  readonly #options: HttpListenerOptions;
  /** Connections that are accepted; over TLS, also before the handshake. */
  readonly #sockets = new Set<Socket>();
  readonly #connections = new Map<Socket, ListenerConnection>();
  readonly #pipelines = new WeakMap<Socket, CallerPipeline>();
  readonly #acceptQueue: AcceptQueue;
  #unansweredCount = 0;
  #isDraining = false;
  #lastRequestAt = 0;
  /** Requests that wait until no more connections are accepted. */
  #heldRequests: HeldRequests | undefined;

  protected constructor(server: Server, options: HttpListenerOptions) {
    this.#server = server;
    this.#options = options;
    this.#acceptQueue = new AcceptQueue(server);
    // `close` of Node.js would cut requests that have not been read.
    server.closeIdleConnections = () => {};
    server.on("connection", (socket: Socket) => {
      this.#sockets.add(socket);
      socket.once("close", () => this.#sockets.delete(socket));
    });
    const isTls = server instanceof TlsServer;
    server.on(isTls ? "secureConnection" : "connection", (socket: Socket) => {
      const connection = new ListenerConnection(socket, performance.now());
      this.#connections.set(socket, connection);
      socket.once("close", () => this.#connections.delete(socket));
      const { pipelineLimits: limits } = options;
      // Node.js calls it after a response that closes the connection.
      socket.destroySoon = () => connection.linger();
      if (!limits) return;
      const pipeline = new CallerPipeline({ socket, connection, limits });
      this.#pipelines.set(socket, pipeline);
    });
    server.on(
      "request",
      (request, response) => this.#receive(request, response),
    );
    server.on(
      "clientError",
      (failure: NodeJS.ErrnoException, socket: Socket) =>
        this.#refuse(failure, socket),
    );
  }

  /**
   * Opens a listener.
   *
   * @throws {ListenError} when the address cannot be used.
   */
  static async open(options: HttpListenerOptions): Promise<HttpListener> {
    const server = createListenerServer(options);
    server.maxConnections = options.maximumConnections ?? 4096;
    const { host, port } = splitAddress(options.address);
    await new Promise<void>((resolve, reject) => {
      server.once("error", (cause) =>
        reject(
          new ListenError(
            `listen.${options.name}: cannot listen on ${options.address}: ${cause.message}; free the port or change the setting`,
            { cause },
          ),
        ));
      server.listen({ host, port, backlog: 1024 }, resolve);
    });
    return new HttpListener(server, options);
  }

  /**
   * Serves requests until none has arrived for `quietMilliseconds` and the load
   * balancer is notified, or until `maximumMilliseconds` have passed; then closes
   * the listener. While it drains, every response closes its connection.
   */
  async drain(options: {
    /** Minimum time for clients to learn that they must use another VM. */
    readonly minimumMilliseconds: number;
    readonly quietMilliseconds: number;
    readonly maximumMilliseconds: number;
    /** Time after which every connection is closed. @default unlimited */
    readonly graceMilliseconds?: number;
    /** Whether the load balancer knows that the VM is leaving; true by default. */
    readonly isBalancerNotified?: () => boolean;
  }): Promise<ListenerCloseResult> {
    const {
      maximumMilliseconds,
      graceMilliseconds = Infinity,
      isBalancerNotified = () => true,
    } = options;
    this.refuseReuse();
    const startedAt = performance.now();
    const elapsed = () => performance.now() - startedAt;
    await pause(Math.min(options.minimumMilliseconds, maximumMilliseconds));
    const isQuiet = () =>
      performance.now() - this.#lastRequestAt >= options.quietMilliseconds;
    while (
      !(isQuiet() && isBalancerNotified()) && elapsed() < maximumMilliseconds
    ) await pause(pollIntervalMilliseconds);
    return await this.close({
      maximumMilliseconds: Math.max(graceMilliseconds - elapsed(), 0),
    });
  }

  /** Sets the timeouts for headers and for idle connections. */
  setTimeouts(timeouts: {
    readonly headersTimeoutMilliseconds: number;
    readonly idleTimeoutMilliseconds: number;
  }): void {
    const { headersTimeoutMilliseconds, idleTimeoutMilliseconds } = timeouts;
    this.#server.headersTimeout = Math.min(
      headersTimeoutMilliseconds,
      maximumTimerMilliseconds,
    );
    this.#server.keepAliveTimeout = Math.min(
      idleTimeoutMilliseconds,
      maximumTimerMilliseconds,
    );
  }

  /** Makes every response whose headers are not sent close its connection. */
  refuseReuse(): void {
    this.#isDraining = true;
    for (const each of this.#connections.values()) each.refuseReuse();
  }

  /**
   * Stops accepting connections, answers the requests on those accepted, and
   * resolves when every connection has closed, after `maximumMilliseconds` at the
   * latest.
   */
  async close(options: {
    /** @default unlimited */
    readonly maximumMilliseconds?: number;
  } = {}): Promise<ListenerCloseResult> {
    const { maximumMilliseconds = Infinity } = options;
    const startedAt = performance.now();
    this.refuseReuse();
    const { closed, uncheckedMilliseconds } = await this.#stopListening(
      maximumMilliseconds,
    );
    const open = this.#connections.size;
    const closeAll = () => {
      const now = performance.now();
      if (now - startedAt >= maximumMilliseconds) return this.destroy();
      for (const each of this.#connections.values()) each.close(now);
    };
    closeAll();
    const timer = setInterval(closeAll, closeIntervalMilliseconds);
    await closed;
    clearInterval(timer);
    return { open, unanswered: this.#unansweredCount, uncheckedMilliseconds };
  }

  /** Closes every connection immediately. */
  destroy(): void {
    this.#server.close();
    for (const connection of this.#connections.values()) {
      if (connection.isResponding) this.#unansweredCount += 1;
      connection.destroy();
    }
    for (const socket of this.#sockets) socket.destroy();
  }

  #receive(request: IncomingMessage, response: ServerResponse): void {
    const connection = this.#connections.get(request.socket);
    if (connection?.isEnded) {
      if (this.#isDraining) this.#unansweredCount += 1;
      request.resume();
      return;
    }
    const isRefused = lacksHost(request);
    rewriteToOriginForm(request);
    this.#lastRequestAt = performance.now();
    const start = () => {
      this.#start(request, response);
      if (isRefused) refuseWithoutHost(response);
      else this.#handle(request, response);
    };
    const pipeline = this.#pipelines.get(request.socket);
    if (pipeline) pipeline.add({ request, response, start });
    else start();
  }

  #start(request: IncomingMessage, response: ServerResponse): void {
    this.#connections.get(request.socket)?.addResponse(response);
    // Otherwise a client could send its next request while the connection closes.
    if (this.#isDraining) response.shouldKeepAlive = false;
  }

  #handle(request: IncomingMessage, response: ServerResponse): void {
    if (this.#heldRequests) this.#heldRequests.add(request, response);
    else this.#options.handler(request, response);
  }

  // The caller would take the status for the response to a request before, or to
  // one whose body is being forwarded.
  #refuse(failure: NodeJS.ErrnoException, socket: Socket): void {
    this.#pipelines.get(socket)?.stop();
    const isDue = this.#connections.get(socket)?.isResponseDue ?? false;
    const mayRespond = !isDue && socket.writable;
    const status = mayRespond
      ? refusalStatuses.get(failure.code) ?? malformedStatus
      : 0;
    // Callers often reset connections that they no longer use.
    if (failure.code !== "ECONNRESET") {
      this.#options.onUnreadable?.({
        listener: this.#options.name,
        status,
        reason: failure.code ?? failure.message,
      });
    }
    if (!mayRespond) return void socket.destroy();
    socket.end(
      `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\n\r\n`,
      () => socket.destroy(),
    );
  }

  /**
   * Closes the listening socket once no more connections are completed for it, as
   * the kernel resets those that were not accepted. No request is handled in the
   * meantime, as callers that get a response open further connections.
   */
  async #stopListening(maximumMilliseconds: number): Promise<{
    readonly closed: Promise<void>;
    readonly uncheckedMilliseconds: number;
  }> {
    const held = new HeldRequests();
    this.#heldRequests = held;
    const lookedAt = await this.#acceptQueue.untilEmpty({
      maximumMilliseconds,
    });
    const closed = new Promise<void>((resolve) =>
      this.#server.close(() => resolve())
    );
    const uncheckedMilliseconds = performance.now() - lookedAt;
    this.#heldRequests = undefined;
    held.release(this.#options.handler);
    return { closed, uncheckedMilliseconds };
  }
}

// The host of a target in absolute form replaces the header (RFC 9112, 3.2.2).
function rewriteToOriginForm(request: IncomingMessage): void {
  const target = readAbsoluteForm(request.url ?? "/");
  if (!target) return;
  request.url = target.path;
  request.headers.host = target.host;
}

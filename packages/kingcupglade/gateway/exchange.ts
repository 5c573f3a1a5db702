import { randomBytes } from "node:crypto";
import { Header } from "@kingcupglade/routing";
import { createResettingClient } from "@kingcupglade/transport";
import { Agent, Pool } from "undici";
import type { Dispatcher } from "undici";
import type { ResponseSink } from "./response_sink.ts";
import { ExchangeHandler } from "./exchange_handler.ts";
import type { ExchangeRequest, ExchangeResult } from "./exchange_types.ts";
import { selectRequestHeaders } from "./exchange_headers.ts";

const connectTimeoutMilliseconds = 500;
const maximumResponseHeaderBytes = 16_384;

/** Sends requests to targets and passes on their responses. */
export class ExchangeClient {
  readonly #agent: Agent;
  /** Addresses whose last response echoed the exchange ID. */
  readonly #echoingAddresses = new Set<string>();
  readonly #idPrefix = randomBytes(6).toString("base64url");
  #nextId = 0;

  constructor(options: {
    readonly connectionsPerTarget: number;
    /** Certificate authority of receivers that use TLS, in PEM. */
    readonly authority?: Buffer | undefined;
    /** Client certificate for receivers that request one, in PEM. */
    readonly certificate?: Buffer | undefined;
    readonly key?: Buffer | undefined;
    /** Local address of connections. @default chosen by the platform */
    readonly localAddress?: string | undefined;
  }) {
    this.#agent = new Agent({
      connections: options.connectionsPerTarget,
      pipelining: 1,
      factory: (origin, poolOptions) =>
        new Pool(origin, { ...poolOptions, factory: createResettingClient }),
      maxHeaderSize: maximumResponseHeaderBytes,
      connect: {
        timeout: connectTimeoutMilliseconds,
        ca: options.authority,
        cert: options.certificate,
        key: options.key,
        ...(options.localAddress === undefined
          ? {}
          : { localAddress: options.localAddress }),
      },
    });
  }

  /** Performs one exchange and passes the response to `sink`. */
  run(request: ExchangeRequest, sink: ResponseSink): Promise<ExchangeResult> {
    if (!request.maySend()) return Promise.resolve({ kind: "notSent" });
    const id = `${this.#idPrefix}.${(this.#nextId++).toString(36)}`;
    const keepsConnection = this.#echoingAddresses.has(request.address);
    return new Promise((resolve) => {
      const handler = new ExchangeHandler({
        request,
        id,
        sink,
        resolve,
        requiresEcho: keepsConnection,
        recordEcho: (echoes) => this.#recordEcho(request.address, echoes),
      });
      try {
        this.#agent.dispatch(
          dispatchOptions(request, { id, keepsConnection }),
          handler,
        );
      } catch {
        handler.rejectBeforeSending();
      }
    });
  }

  // A late second response looks like the response to the next request unless
  // responses echo the exchange ID. Without an echo, a connection serves only
  // one exchange.
  #recordEcho(address: string, echoes: boolean): void {
    if (echoes) this.#echoingAddresses.add(address);
    else this.#echoingAddresses.delete(address);
  }

  /** Closes every connection. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}

function dispatchOptions(
  request: ExchangeRequest,
  options: { readonly id: string; readonly keepsConnection: boolean },
): Dispatcher.DispatchOptions {
  const dispatched: Dispatcher.DispatchOptions = {
    origin: request.address,
    method: request.method as Dispatcher.HttpMethod,
    path: request.path,
    headers: requestHeaders(request, options.id),
    body: request.openBody(),
    headersTimeout: 0,
    bodyTimeout: 0,
  };
  if (!options.keepsConnection) dispatched.reset = true;
  return dispatched;
}

function requestHeaders(request: ExchangeRequest, id: string): string[] {
  const headers = selectRequestHeaders(request.headers);
  const { added } = request;
  for (const name in added) headers.push(name, added[name]!);
  headers.push(Header.exchange, id);
  if (request.bodyLength !== undefined) {
    headers.push("content-length", String(request.bodyLength));
  }
  return headers;
}

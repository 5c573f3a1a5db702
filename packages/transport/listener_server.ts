import { createServer } from "node:http";
import type { Server, ServerOptions } from "node:http";
import { createServer as createTlsServer } from "node:https";
import type { HttpListenerOptions } from "./http_listener.ts";
import { PipelinedResponse } from "./pipelined_response.ts";

/** Names of the listeners that use TLS, and their certificates. */
export interface ListenerTls {
  readonly listeners: ReadonlySet<string>;
  /** In PEM format; undefined if no listener uses TLS. */
  readonly material: {
    readonly certificate: Buffer;
    readonly key: Buffer;
    readonly authority: Buffer;
  } | undefined;
}

/** Creates the server of a listener; it does not listen yet. */
export function createListenerServer(options: HttpListenerOptions): Server {
  const { name, tls } = options;
  const serverOptions: ServerOptions = {
    maxHeaderSize: options.maximumHeaderBytes ?? 16_384,
    headersTimeout: options.headersTimeoutMilliseconds ?? 10_000,
    requestTimeout: options.requestTimeoutMilliseconds ?? 60_000,
    connectionsCheckingInterval: options.checkIntervalMilliseconds ?? 30_000,
    keepAliveTimeout: 30_000,
    ...(options.pipelineLimits && {
      ServerResponse: PipelinedResponse,
      // Node.js would respond to such requests outside of the bound.
      requireHostHeader: false,
    }),
  };
  const material = tls?.listeners.has(name) ? tls.material : undefined;
  if (!material) return createServer(serverOptions);
  return createTlsServer({
    ...serverOptions,
    // A connection without a handshake delays the end of a stop.
    handshakeTimeout: serverOptions.headersTimeout,
    cert: material.certificate,
    key: material.key,
    ca: material.authority,
    // In addition to the shared secret, VMs must present a client certificate.
    requestCert: name === "peers",
    rejectUnauthorized: name === "peers",
  });
}

/** Splits IP:PORT; removes the brackets of an IPv6 address. */
export function splitAddress(
  address: string,
): { readonly host: string; readonly port: number } {
  const colon = address.lastIndexOf(":");
  return {
    host: address.slice(0, colon).replace(/^\[|\]$/g, ""),
    port: Number(address.slice(colon + 1)),
  };
}

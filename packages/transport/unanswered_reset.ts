import type { Socket } from "node:net";
import { TLSSocket } from "node:tls";
import { Client } from "undici";
import type { buildConnector } from "undici";

/**
 * Makes a client's socket reset its connection if it is closed while a request that
 * was sent on it has no whole response. After an orderly close, the system would go
 * on to send what is left of the request. A connection with TLS closes in order.
 */
export function resetIfUnanswered(
  socket: Socket,
  client: Pick<Client, "stats">,
): void {
  if (socket instanceof TLSSocket) return;
  const destroy = socket._destroy.bind(socket);
  // Only the way of closing changes. Without its failure, `undici` would take the
  // close for the end of a response without a length, also of an aborted request.
  socket._destroy = (failure, callback) => {
    const isUnanswered = client.stats.running > 0;
    // Libuv refuses a reset while it ends the sending side.
    if (isUnanswered && !socket.writableEnded) socket.resetAndDestroy();
    destroy(failure, callback);
  };
}

/**
 * Creates a client whose connection is reset as {@link resetIfUnanswered} says, for
 * the `factory` option of a pool.
 *
 * @param options As a pool passes them, with the connector.
 */
export function createResettingClient(origin: URL, options: object): Client {
  const { connect } = options as { readonly connect: buildConnector.connector };
  const client: Client = new Client(origin, {
    ...options,
    connect: (connectOptions, callback) =>
      connect(connectOptions, (...result) => {
        const [, socket] = result;
        if (socket) resetIfUnanswered(socket, client);
        callback(...result);
      }),
  });
  return client;
}

import type { Socket } from "node:net";

/**
 * Whether a socket that has ended was reset by the other side. Libuv reports a
 * reset that arrives together with bytes as an end; after an orderly end, the
 * other side's address is still known.
 */
export function hasBeenReset(socket: Socket): boolean {
  return socket.remoteAddress === undefined;
}

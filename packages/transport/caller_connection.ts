import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Listeners of the requests that are in progress on each connection. */
const listenersOfSockets = new WeakMap<Socket, Set<() => void>>();

/** Resolves when the event loop has read what had arrived. */
export function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/**
 * Waits until the end of a connection that arrived with a request is read. The
 * event loop reads the request first, and the end in its next turn.
 */
export async function waitForClose(): Promise<void> {
  await nextTurn();
  await nextTurn();
}

/** Whether the caller has closed its connection, or its sending side. */
export function hasCallerLeft({ socket }: IncomingMessage): boolean {
  return socket.destroyed || socket.readableEnded;
}

/**
 * Calls back once when the response is sent or the caller closes its connection,
 * whichever is first. Node.js tells only the first of several responses on one
 * connection that it has closed.
 */
export function onExchangeEnd(
  response: ServerResponse,
  listener: () => void,
): void {
  const { req: request } = response;
  if (response.closed || hasCallerLeft(request)) return listener();
  const listeners = listenersOf(request.socket);
  const finish = () => {
    if (listeners.delete(finish)) listener();
  };
  listeners.add(finish);
  response.once("close", finish);
}

function listenersOf(socket: Socket): Set<() => void> {
  const known = listenersOfSockets.get(socket);
  if (known) return known;
  const listeners = new Set<() => void>();
  listenersOfSockets.set(socket, listeners);
  const callAll = () => {
    for (const listener of listeners) listener();
  };
  socket.once("end", callAll);
  socket.once("close", callAll);
  return listeners;
}

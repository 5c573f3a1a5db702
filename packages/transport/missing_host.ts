import type { IncomingMessage, ServerResponse } from "node:http";

/** Whether a request lacks the header that HTTP/1.1 requires (RFC 9112, 3.2). */
export function lacksHost({ httpVersion, headers }: IncomingMessage): boolean {
  return httpVersion === "1.1" && headers.host === undefined;
}

/** Responds to a request that lacks its host, and closes its connection. */
export function refuseWithoutHost(response: ServerResponse): void {
  response.shouldKeepAlive = false;
  response.writeHead(400, { "connection": "close" }).end();
}

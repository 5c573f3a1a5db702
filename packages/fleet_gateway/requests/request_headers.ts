import type { IncomingMessage } from "node:http";
import type { RequestBody } from "@kingcupglade/transport";
import { relayHeader } from "../relay/relay_message.ts";

/** Not forwarded: they concern one connection, or the gateway that relays. */
const hopByHopHeaders: ReadonlySet<string> = new Set([
  relayHeader,
  "connection",
  "content-length",
  "expect",
  "keep-alive",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

const noHeaders: ReadonlySet<string> = new Set();

/**
 * Returns the headers sent to a target, names and values alternating.
 *
 * @param withheld Names of further headers that are not forwarded.
 */
export function requestHeaders(
  headers: IncomingMessage["headers"],
  added: Readonly<Record<string, string>>,
  body: RequestBody,
  withheld: ReadonlySet<string> = noHeaders,
): string[] {
  const connectionHeaders = connectionHeaderNames(headers.connection);
  const result: string[] = [];
  for (const [name, value] of Object.entries(headers)) {
    if (
      hopByHopHeaders.has(name) || connectionHeaders.has(name) ||
      withheld.has(name) ||
      Object.hasOwn(added, name)
    ) continue;
    for (const each of [value ?? []].flat()) result.push(name, each);
  }
  for (const [name, value] of Object.entries(added)) result.push(name, value);
  if (body.buffer === undefined && body.streamedLength !== undefined) {
    result.push("content-length", String(body.streamedLength));
  }
  return result;
}

function connectionHeaderNames(
  value: string | undefined,
): ReadonlySet<string> {
  return new Set(
    (value ?? "").toLowerCase().split(",").map((each) => each.trim()),
  );
}

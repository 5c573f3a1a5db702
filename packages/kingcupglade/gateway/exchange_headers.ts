import type { IncomingHttpHeaders } from "node:http";

/** Headers by lower-case name. */
export type HeaderValues = Readonly<Record<string, string | string[]>>;

const hopByHopHeaders: ReadonlySet<string> = new Set([
  "connection",
  "expect",
  "host",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "content-length",
]);

const ownPrefix = "kingcupglade-";

/** The headers of a caller's request that a target gets. */
export function forwardedHeaders(headers: IncomingHttpHeaders): HeaderValues {
  const named = connectionHeaders(headers);
  return filterHeaders(
    headers,
    (name) =>
      !hopByHopHeaders.has(name) && !named.has(name) &&
      !name.startsWith(ownPrefix),
  );
}

/** The headers of a target's answer that a caller gets. */
export function answerHeaders(headers: IncomingHttpHeaders): HeaderValues {
  const named = connectionHeaders(headers);
  return filterHeaders(
    headers,
    (name) =>
      (name === "content-length" || !hopByHopHeaders.has(name)) &&
      !named.has(name) && !name.startsWith(ownPrefix),
  );
}

/** A header's value; undefined when it is absent or given more than once. */
export function onlyValue(
  headers: IncomingHttpHeaders,
  name: string,
): string | undefined {
  const value = headers[name];
  return typeof value === "string" ? value : undefined;
}

function filterHeaders(
  headers: IncomingHttpHeaders,
  keeps: (name: string) => boolean,
): HeaderValues {
  const kept: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && keeps(name)) kept[name] = value;
  }
  return kept;
}

function connectionHeaders(headers: IncomingHttpHeaders): ReadonlySet<string> {
  const { connection } = headers;
  if (connection === undefined) return noHeaders;
  return new Set(
    String(connection).toLowerCase().split(",").map((each) => each.trim()),
  );
}

const noHeaders: ReadonlySet<string> = new Set();

import type { IncomingHttpHeaders } from "node:http";

/** Headers by lower-case name. */
export type HeaderValues = Readonly<Record<string, string | string[]>>;

/**
 * Alternating lower-case names and values, as `http` and `undici` accept them.
 */
export type HeaderList = readonly string[];

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

const internalHeaderPrefix = "kingcupglade-";

/** Returns the headers of a caller's request that are sent to a target. */
export function selectRequestHeaders(headers: IncomingHttpHeaders): string[] {
  const listed = parseConnectionHeader(headers);
  const kept: string[] = [];
  for (const name in headers) {
    if (hopByHopHeaders.has(name) || isHopLocal(name, listed)) continue;
    append(kept, name, headers[name]);
  }
  return kept;
}

/** Returns the headers of a target's response that are sent to a caller. */
export function selectResponseHeaders(headers: IncomingHttpHeaders): string[] {
  const listed = parseConnectionHeader(headers);
  const kept: string[] = [];
  for (const name in headers) {
    const passes = name === "content-length" || !hopByHopHeaders.has(name);
    if (passes && !isHopLocal(name, listed)) append(kept, name, headers[name]);
  }
  return kept;
}

/** Groups headers by name; a repeated header gets a list of values. */
export function headersByName(list: HeaderList): HeaderValues {
  const headers: Record<string, string | string[]> = {};
  for (let index = 0; index < list.length; index += 2) {
    const name = list[index]!;
    const value = list[index + 1]!;
    const earlier = headers[name];
    headers[name] = earlier === undefined ? value : [earlier, value].flat();
  }
  return headers;
}

/** Returns a header's value; undefined when it is absent or repeated. */
export function singleValue(
  headers: IncomingHttpHeaders,
  name: string,
): string | undefined {
  const value = headers[name];
  return typeof value === "string" ? value : undefined;
}

function append(
  list: string[],
  name: string,
  value: string | string[] | undefined,
): void {
  if (typeof value === "string") list.push(name, value);
  else for (const each of value ?? []) list.push(name, each);
}

/** Whether a header is listed in Connection or internal to the system. */
function isHopLocal(name: string, listed: ReadonlySet<string>): boolean {
  return listed.has(name) || name.startsWith(internalHeaderPrefix);
}

function parseConnectionHeader(
  headers: IncomingHttpHeaders,
): ReadonlySet<string> {
  const { connection } = headers;
  if (connection === undefined || connection === "keep-alive") return noHeaders;
  return new Set(
    String(connection).toLowerCase().split(",").map((each) => each.trim()),
  );
}

const noHeaders: ReadonlySet<string> = new Set();

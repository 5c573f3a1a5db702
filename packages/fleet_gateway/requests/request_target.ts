import type { IncomingMessage } from "node:http";

/** Host and path by which the route of a request is found. */
export interface RequestTarget {
  /** With the port, if the caller sent one. */
  readonly host: string;
  /** With the query. */
  readonly path: string;
}

/** Reads the target of a request in origin form. */
export function readRequestTarget(
  { headers, url }: Pick<IncomingMessage, "headers" | "url">,
): RequestTarget {
  return { host: headers.host ?? "", path: url ?? "/" };
}

const maximumHostCharacters = 100;
const maximumSegmentCharacters = 40;

/**
 * Returns what the log may hold of a target: the host and the first segment of
 * the path. The rest may contain keys of callers.
 */
export function describeTarget(
  { host, path }: RequestTarget,
): { readonly host: string; readonly segment: string } {
  const [, segment = ""] = path.split(/[/?]/, 2);
  return {
    host: host.slice(0, maximumHostCharacters),
    segment: segment.slice(0, maximumSegmentCharacters),
  };
}

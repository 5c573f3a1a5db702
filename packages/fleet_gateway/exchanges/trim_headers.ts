import type { IncomingHttpHeaders } from "node:http";

/**
 * Removes the white space behind the values of headers as undici decodes them: it
 * is no part of them.
 *
 * @returns The same headers.
 */
export function trimHeaders(headers: IncomingHttpHeaders): IncomingHttpHeaders {
  for (const [name, value] of Object.entries(headers)) {
    headers[name] = Array.isArray(value)
      ? value.map((each) => each.trimEnd())
      : value?.trimEnd();
  }
  return headers;
}

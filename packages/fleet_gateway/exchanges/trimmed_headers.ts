import type { IncomingHttpHeaders } from "node:http";

/**
 * Returns headers as undici decodes them, without the white space behind their
 * values, which is no part of them.
 */
export function trimmedHeaders(
  headers: IncomingHttpHeaders,
): IncomingHttpHeaders {
  const trimmed: IncomingHttpHeaders = {};
  for (const [name, value] of Object.entries(headers)) {
    trimmed[name] = Array.isArray(value)
      ? value.map((each) => each.trimEnd())
      : value?.trimEnd();
  }
  return trimmed;
}

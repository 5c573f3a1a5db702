import type { IncomingMessage } from "node:http";
import type { RequestBody } from "@kingcupglade/transport";

const hopByHopHeaders: ReadonlySet<string> = new Set([
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

/** Headers of a request as a target gets them, names and values in turn. */
export function sentHeaders(
  headers: IncomingMessage["headers"],
  added: Readonly<Record<string, string>>,
  body: RequestBody,
): string[] {
  const named = connectionHeaders(headers.connection);
  const sent: string[] = [];
  for (const [name, value] of Object.entries(headers)) {
    if (hopByHopHeaders.has(name) || named.has(name) || name in added) continue;
    for (const each of [value ?? []].flat()) sent.push(name, each);
  }
  for (const [name, value] of Object.entries(added)) sent.push(name, value);
  if (body.whole === undefined && body.streamedLength !== undefined) {
    sent.push("content-length", String(body.streamedLength));
  }
  return sent;
}

function connectionHeaders(
  connection: string | undefined,
): ReadonlySet<string> {
  return new Set(
    (connection ?? "").toLowerCase().split(",").map((each) => each.trim()),
  );
}

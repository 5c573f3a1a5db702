import type { IncomingMessage } from "node:http";
import type { Route } from "@kingcupglade/items";
import type { Authentication } from "./key_gate.ts";
import type { ForwardingContext } from "./routed_request.ts";

/** Result of {@link admitRequest}. */
export type Admission = Authentication;

/**
 * Decides whether a caller's request is served, once its route is known and
 * before its body is read. Authentication comes first, as everything after it
 * costs more.
 */
export function admitRequest(
  { request, requestId, route }: {
    readonly request: Pick<IncomingMessage, "rawHeaders">;
    readonly requestId: string;
    readonly route: Route;
  },
  { keys, wire }: Pick<ForwardingContext, "keys" | "wire">,
): Promise<Admission> {
  const authentication = keys.authenticate(
    { requestId, route },
    () => wire.readKey(request.rawHeaders),
  );
  return Promise.resolve(authentication);
}

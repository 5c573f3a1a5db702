import type { IncomingMessage } from "node:http";
import type { Route } from "@kingcupglade/items";
import type { QuotaUse } from "@kingcupglade/quotas";
import type { GatewayResponse } from "../callers/caller_response.ts";
import type {
  ForwardingContext,
  RequestWorkspace,
} from "../requests/routed_request.ts";

/** Result of {@link admitRequest}. */
export type Admission =
  | {
    readonly kind: "accepted";
    /** The route, with what the workspace says applied. */
    readonly route: Route;
    /** Undefined for requests that need no key. */
    readonly workspace?: RequestWorkspace;
    /** Undefined if its workspace has no limit; released by whoever receives it. */
    readonly quota?: QuotaUse;
  }
  | { readonly kind: "refused"; readonly response: GatewayResponse };

/**
 * Decides whether a caller's request is served, once its route is known and
 * before its body is read. Authentication comes first, as everything after it
 * costs more; the limit of its workspace comes before the wait for a slot.
 */
export async function admitRequest(
  { request, requestId, route }: {
    readonly request: Pick<IncomingMessage, "rawHeaders">;
    readonly requestId: string;
    readonly route: Route;
  },
  { keys, quotas, wire }: Pick<ForwardingContext, "keys" | "quotas" | "wire">,
): Promise<Admission> {
  const authentication = keys.authenticate(
    { requestId, route },
    () => wire.readKey(request.rawHeaders),
  );
  if (authentication.kind === "refused") return authentication;
  const { workspace } = authentication;
  if (!workspace) return authentication;
  const admission = await quotas.admit({
    requestId,
    workspace: workspace.name,
  });
  if (admission.kind === "refused") return admission;
  const { use: quota } = admission;
  return quota ? { ...authentication, quota } : authentication;
}

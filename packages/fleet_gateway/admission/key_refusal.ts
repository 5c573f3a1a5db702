import type { KeyFault } from "@kingcupglade/workspaces";
import type { GatewayResponse } from "../callers/caller_response.ts";
import type {
  ForwardingContext,
  RoutedRequest,
} from "../requests/routed_request.ts";

/**
 * Logs and counts that an admitted request is not sent because of its key;
 * returns the response to its caller.
 */
export function refuseKey(
  fault: KeyFault,
  { context, routed }: {
    readonly context: Pick<ForwardingContext, "keys">;
    readonly routed: Pick<RoutedRequest, "head" | "route" | "workspace">;
  },
): GatewayResponse {
  const { head, route, workspace } = routed;
  return context.keys.refuse(fault, {
    requestId: head.requestId,
    route: route.name,
    keyDigest: workspace?.keyDigest,
    workspace: workspace?.name,
  });
}

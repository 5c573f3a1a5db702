import { QuotaRejection } from "@kingcupglade/quotas";
import type { KeyFault } from "@kingcupglade/workspaces";
import type { GatewayResponse } from "../callers/caller_response.ts";
import { refuseKey } from "../admission/key_refusal.ts";
import type { ForwardingContext, RoutedRequest } from "./routed_request.ts";

/** Why an admitted request must not be sent any more. */
export type SendFault = KeyFault | typeof QuotaRejection.lease;

/** Returns what speaks against sending an admitted request now. */
export function findSendFault(
  { keys }: Pick<ForwardingContext, "keys">,
  { workspace, quota }: Pick<RoutedRequest, "workspace" | "quota">,
): SendFault | undefined {
  const fault = keys.recheck(workspace);
  if (fault) return fault;
  return quota && !quota.isValid ? QuotaRejection.lease : undefined;
}

/** Logs and counts that an admitted request is not sent; returns the response. */
export function refuseSend(
  fault: SendFault,
  { context, routed }: {
    readonly context: Pick<ForwardingContext, "keys" | "quotas">;
    readonly routed: Pick<RoutedRequest, "head" | "route" | "workspace">;
  },
): GatewayResponse {
  if (fault !== QuotaRejection.lease) {
    return refuseKey(fault, { context, routed });
  }
  return context.quotas.refuseUnleased({
    requestId: routed.head.requestId,
    workspace: routed.workspace?.name ?? "",
  });
}

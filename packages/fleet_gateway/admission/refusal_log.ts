import type { CallerRequestHead } from "../callers/caller_wire.ts";
import type { GatewayResponse } from "../callers/caller_response.ts";
import type { ForwardingContext } from "../requests/routed_request.ts";
import { retryAfterMilliseconds } from "./retry_after.ts";

/**
 * Wait after which a caller returns for which the processor was short. Another
 * VM may serve it in time, so that this is a part of the shortest objectives, of
 * 600 ms.
 */
const shortWaitMilliseconds = 100;

/** Records that a request is refused before it is forwarded. */
export function recordRefusal(
  { requestId }: CallerRequestHead,
  { status, reason }: { readonly status: number; readonly reason: string },
  { logger, metrics }: Pick<ForwardingContext, "logger" | "metrics">,
): void {
  metrics.refusals.inc({ reason });
  logger.info("request-refused", { request: requestId, status, reason });
}

/**
 * Refuses a request for which the processor of this VM is short. Callers return
 * at times that are spread, so that they do not form a new peak.
 */
export function refuseForLoad(
  head: CallerRequestHead,
  context: Pick<ForwardingContext, "logger" | "metrics" | "random">,
): GatewayResponse {
  const status = 503;
  const reason = "the processor of this VM is short";
  recordRefusal(head, { status, reason }, context);
  return {
    status,
    reason,
    retryAfterMilliseconds: retryAfterMilliseconds({
      waitMilliseconds: shortWaitMilliseconds,
      leftMilliseconds: head.deadlineMilliseconds ?? Infinity,
      random: context.random,
    }),
  };
}

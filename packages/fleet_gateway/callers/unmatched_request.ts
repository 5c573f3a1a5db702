import type { Logger, Metrics } from "@kingcupglade/telemetry";
import type { GatewayResponse } from "./caller_response.ts";
import type { GatewayTable } from "../table/gateway_table.ts";
import { maximumContactAgeMilliseconds } from "../requests/old_table_log.ts";
import { describeTarget } from "../requests/request_target.ts";
import type { RequestTarget } from "../requests/request_target.ts";

/** Time after which a caller may try another gateway. */
const retryAfterMilliseconds = 300;

/** A request for which a gateway's table has no route. */
export interface UnmatchedRequest {
  readonly requestId: string;
  readonly target: RequestTarget;
  readonly table: GatewayTable;
  /** Time since the last contact with control; infinite before the first. */
  readonly contactAgeMilliseconds: number;
}

/** Logs and counts a request without a route; returns the response to it. */
export function refuseUnmatched(
  request: UnmatchedRequest,
  { logger, metrics }: { readonly logger: Logger; readonly metrics: Metrics },
): GatewayResponse {
  const { requestId, target, table, contactAgeMilliseconds: age } = request;
  const refusal = chooseRefusal(request);
  metrics.refusals.inc({ reason: refusal.reason });
  logger.info("request-without-route", {
    request: requestId,
    status: refusal.status,
    ...describeTarget(target),
    routesOfHost: table.countRoutes(target.host),
    index: table.position.index,
    term: table.position.term,
    items: table.itemCount,
    contactAgeMilliseconds: Number.isFinite(age) ? Math.round(age) : null,
  });
  return refusal;
}

function chooseRefusal(
  { table, contactAgeMilliseconds }: UnmatchedRequest,
): GatewayResponse {
  if (!table.hasConfiguration) {
    const reason = "this VM knows no configuration yet";
    return { status: 503, reason, retryAfterMilliseconds };
  }
  if (contactAgeMilliseconds > maximumContactAgeMilliseconds) {
    const reason = "this VM may not know the route yet";
    return { status: 503, reason, retryAfterMilliseconds };
  }
  return { status: 404, reason: "no route matches" };
}

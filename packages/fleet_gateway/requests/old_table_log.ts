import type { Route } from "@kingcupglade/items";
import type { Logger } from "@kingcupglade/telemetry";
import type { GatewayTable } from "../table/gateway_table.ts";

/**
 * Age of the last contact with control above which a change may be in force that
 * the table lacks: a confirmed change is, everywhere, after this time.
 */
export const maximumContactAgeMilliseconds = 2000;

/** A request whose route was found in a table. */
export interface MatchedRequest {
  readonly requestId: string;
  readonly route: Pick<Route, "name">;
  readonly table: Pick<GatewayTable, "position" | "routeVersion">;
  /** Time since the last contact with control; infinite before the first. */
  readonly contactAgeMilliseconds: number;
}

/** Logs a request whose route may have changed, as the table is old. */
export function logOldTable(
  { requestId, route, table, contactAgeMilliseconds: age }: MatchedRequest,
  logger: Pick<Logger, "info">,
): void {
  if (age <= maximumContactAgeMilliseconds) return;
  const { index, term } = table.position;
  logger.info("request-on-old-table", {
    request: requestId,
    route: route.name,
    version: table.routeVersion(route.name),
    index,
    term,
    contactAgeMilliseconds: Math.round(age),
  });
}

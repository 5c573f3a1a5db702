import type { ViewDelta } from "@kingcupglade/fleet";
import { describeItems } from "@kingcupglade/items";
import type { Logger } from "@kingcupglade/telemetry";
import type { GatewayTable } from "./gateway_table.ts";

/** Logs what an update has changed in a table. */
export function logUpdate({ items, position }: ViewDelta, options: {
  readonly table: GatewayTable;
  /** Index of the table before the update. */
  readonly before: number;
  /** Time between the two last contacts with the leader. */
  readonly contactAgeMilliseconds: number | null;
  readonly logger: Pick<Logger, "info">;
}): void {
  const { table, before, contactAgeMilliseconds, logger } = options;
  if (table.position.index !== before) {
    logger.info("table-changed", {
      index: table.position.index,
      term: table.position.term,
      contactAgeMilliseconds,
    });
  }
  if (items.length > 0) {
    logger.info("items-applied", {
      names: describeItems(items),
      index: position.index,
      since: before,
      held: table.itemCount,
      contactAgeMilliseconds,
    });
  }
}

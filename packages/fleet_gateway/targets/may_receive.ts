import type { TargetView } from "@kingcupglade/fleet";
import type { GatewayTable } from "../table/gateway_table.ts";
import type { TargetNotices } from "./target_notices.ts";

/**
 * Whether a new request may be sent to a target, by what this gateway knows now.
 * Since it was selected, it may have left.
 */
export function mayReceive(
  context: {
    readonly table: () => Pick<GatewayTable, "target" | "mayServe">;
    readonly notices: Pick<TargetNotices, "mayUse">;
  },
  { name }: Pick<TargetView, "name">,
): boolean {
  const table = context.table();
  const target = table.target(name);
  return target !== undefined && table.mayServe(target) &&
    context.notices.mayUse(target);
}

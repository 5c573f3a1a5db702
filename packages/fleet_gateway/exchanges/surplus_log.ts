import type { Logger } from "@kingcupglade/telemetry";
import type { GatewayTable } from "../table/gateway_table.ts";

/** Logs that a target, at IP:PORT, has sent bytes that belong to no request. */
export function logSurplus(
  address: string,
  { table, logger }: { readonly table: GatewayTable; readonly logger: Logger },
): void {
  const target = [...table.targets].find((each) => each.address === address);
  logger.warn("target-sends-surplus", {
    address,
    target: target?.name ?? null,
  });
}

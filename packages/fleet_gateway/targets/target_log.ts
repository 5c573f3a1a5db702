import type { LogFields, Logger } from "@kingcupglade/telemetry";
import type { GatewayTable } from "../table/gateway_table.ts";

/** Options of {@link TargetLog}. */
export interface TargetLogOptions {
  /** Returns the current table, which names the targets. */
  readonly table: () => GatewayTable;
  readonly logger: Logger;
}

/** Logs what targets, at IP:PORT, send on their connections. */
export class TargetLog {
  readonly #options: TargetLogOptions;

  constructor(options: TargetLogOptions) {
    this.#options = options;
  }

  /** Logs that a target has sent bytes that belong to no request. */
  recordSurplus(address: string): void {
    this.#options.logger.warn("target-sends-surplus", this.#describe(address));
  }

  /** Logs that a response in small chunks is not read as fast as it arrives. */
  recordSmallChunks(address: string): void {
    this.#options.logger.info(
      "target-sends-small-chunks",
      this.#describe(address),
    );
  }

  #describe(address: string): LogFields {
    const { targets } = this.#options.table();
    const target = [...targets].find((each) => each.address === address);
    return { address, target: target?.name ?? null };
  }
}

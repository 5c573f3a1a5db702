import type { Logger, Metrics } from "@kingcupglade/telemetry";
import type { PipelineObserver } from "@kingcupglade/transport";
import type { CallerWire } from "./caller_wire.ts";

/** Returns an observer that logs and counts what happens to pipelined requests. */
export function createPipelineObserver(options: {
  readonly wire: CallerWire;
  readonly logger: Logger;
  readonly metrics: Metrics;
}): PipelineObserver {
  const { wire, logger, metrics } = options;
  return {
    onWait: (reason) => {
      metrics.pipelineWaits.inc({ reason });
      logger.debug("pipelined-request-waits", { reason });
    },
    onDiscard: (dropped) => {
      metrics.pipelineDiscards.inc();
      logger.info("pipelined-requests-dropped", dropped);
    },
    onReplace: (headers) =>
      logger.warn("pipelined-response-replaced", {
        request: wire.readRequest(headers).requestId,
      }),
    onHold: () => logger.info("caller-sends-small-chunks"),
    onBytes: (bytes) => metrics.pipelineBytes.set(bytes),
  };
}

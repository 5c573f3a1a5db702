import type { TargetRecord } from "@kingcupglade/dispatch";
import type { TargetView } from "@kingcupglade/fleet";
import type { Clock } from "@kingcupglade/tasks";
import { describeFailure } from "@kingcupglade/telemetry";
import type { Logger } from "@kingcupglade/telemetry";
import type { CallerWire } from "../callers/caller_wire.ts";
import { trimHeaders } from "../exchanges/trim_headers.ts";
import type { TargetConnections } from "./target_connections.ts";
import type { TargetLimits } from "./target_limits.ts";
import type { TargetNotices } from "./target_notices.ts";
import type { TargetReach } from "./target_reach.ts";

/**
 * A target reports its load at once, within 20 ms across two regions. After a
 * longer delay it is better to send the waiting request without the report.
 */
const responseTimeoutMilliseconds = 120;

/** Options of a {@link LoadProber}. */
export interface LoadProberOptions {
  readonly connections: TargetConnections;
  readonly reach: Pick<TargetReach, "isCutOff">;
  readonly limits: TargetLimits;
  readonly notices: Pick<TargetNotices, "record">;
  readonly wire: CallerWire;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** A probe received the response to an earlier request. */
class LateResponseError extends Error {
  override readonly name = "LateResponseError";

  constructor(requestId: string) {
    super(`the response belongs to request ${requestId}`);
  }
}

/** Probes targets for their load. */
export class LoadProber {
  readonly #options: LoadProberOptions;

  constructor(options: LoadProberOptions) {
    this.#options = options;
  }

  /** Probes one target and stores the reported load in its record. */
  async probe(
    target: TargetView,
    options: { readonly path: string; readonly record: TargetRecord },
  ): Promise<void> {
    const { connections, limits, notices, wire, clock, logger } = this.#options;
    const { path, record } = options;
    const sentAt = clock.now();
    record.recordProbeStart();
    if (this.#options.reach.isCutOff) {
      return record.recordProbeEnd(undefined, sentAt);
    }
    const connection = connections.acquire(target.address, {
      mustBeFresh: false,
    });
    try {
      const { statusCode, headers, body } = await connection.client.request({
        method: "GET",
        path,
        signal: AbortSignal.timeout(responseTimeoutMilliseconds),
      });
      const head = wire.readResponse(statusCode, trimHeaders(headers));
      const { load, requestId } = head;
      // If the connection were reused, the probe's own response would be
      // mistaken for the response to the next request.
      if (requestId !== "") {
        connection.recordSurplus();
        throw new LateResponseError(requestId);
      }
      notices.record(target, head, "");
      limits.record({
        target: target.name,
        request: "",
        perSecond: head.maximumRequestsPerSecond ?? null,
        isConclusive: false,
        sentAt,
      });
      await body.dump();
      connections.release(target.address, connection);
      record.recordProbeEnd(load, clock.now());
    } catch (failure) {
      connections.end(connection);
      record.recordProbeEnd(undefined, clock.now());
      logger.info("load-probe-failed", {
        target: target.name,
        reason: describeFailure(failure),
      });
    }
  }
}

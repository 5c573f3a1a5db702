import { findRange, RangePhase } from "@kingcupglade/ownership";
import type { RoutingTable } from "@kingcupglade/ownership";
import type { QuiescenceSource } from "../control/routing_task.ts";

/** A request in progress, by the position and range epoch it was sent for. */
export interface RangeRequest {
  readonly service: string;
  readonly tenant: string;
  readonly group: string;
  readonly position: number;
  readonly epoch: number;
}

/** The keyed requests that this VM has sent and that have not ended. */
export class RequestsInProgress implements QuiescenceSource {
  readonly #requests = new Set<RangeRequest>();

  /** Number of requests in progress. */
  get size(): number {
    return this.#requests.size;
  }

  /** Records the start of a request; the returned function records its end. */
  begin(request: RangeRequest): () => void {
    this.#requests.add(request);
    return () => this.#requests.delete(request);
  }

  /**
   * Returns the highest table version up to which no request in progress
   * depends on a stopped range or a former home region.
   */
  quiescentVersion(table: RoutingTable): number {
    let version = table.version;
    for (const request of this.#requests) {
      const ranges = table.groups.get(request.group)?.ranges;
      const range = ranges?.[findRange(ranges, request.position)];
      const isCurrent = range?.phase === RangePhase.serving &&
        range.epoch === request.epoch;
      const rehoming = table.rehomingOf(request);
      if (rehoming) version = Math.min(version, rehoming.at - 1);
      if (!isCurrent) version = Math.min(version, (range?.changedAt ?? 1) - 1);
    }
    return version;
  }
}

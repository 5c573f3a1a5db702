import type { PositionDemand } from "@kingcupglade/fleet";

/** Counts keyed requests that have not been reported to the leader. */
export class DemandCounter {
  /** Counts by service and position. */
  readonly #counts = new Map<string, Map<number, number>>();

  /** Counts a request for a position. */
  record(service: string, position: number): void {
    const counts = this.#counts.get(service) ?? new Map<number, number>();
    this.#counts.set(service, counts);
    counts.set(position, (counts.get(position) ?? 0) + 1);
  }

  /** Returns what was counted since the last call, and resets it. */
  take(): readonly PositionDemand[] {
    const rows = [...this.#counts].flatMap(([service, counts]) =>
      [...counts].map(([position, count]) => ({ service, position, count }))
    );
    this.#counts.clear();
    return rows;
  }
}

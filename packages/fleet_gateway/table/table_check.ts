import type { ViewDelta, ViewPosition } from "@kingcupglade/fleet";
import type { Clock } from "@kingcupglade/tasks";
import type { Logger, Metrics } from "@kingcupglade/telemetry";
import { emptyPosition } from "./gateway_table.ts";
import type { GatewayTable } from "./gateway_table.ts";

/** Bounds of the time between two requests for a whole table. */
const minimumRefetchMilliseconds = 500;
const maximumRefetchMilliseconds = 60_000;

/** Options of a {@link TableCheck}. */
export interface TableCheckOptions {
  readonly table: GatewayTable;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Pick<Metrics, "tableMismatches">;
}

/** Compares a gateway's table with the updates of leaders. */
export class TableCheck {
  readonly #options: TableCheckOptions;
  #needsWholeTable = false;
  #refetchedAt = -Infinity;
  #refetchMilliseconds = 0;
  /** Leader and term of the last update that was older than the table. */
  #outdated = "";
  #isLastOutdated = false;

  constructor(options: TableCheckOptions) {
    this.#options = options;
  }

  /** The position from which the next update is requested. */
  get position(): ViewPosition {
    return this.#needsWholeTable ? emptyPosition : this.#options.table.position;
  }

  /** Whether the last update was older than the table. */
  get isLastOutdated(): boolean {
    return this.#isLastOutdated;
  }

  /**
   * Returns whether an update of a control VM is older than the table, as those
   * of a leader that was replaced are. It is logged once for each term.
   */
  isOutdated({ position }: ViewDelta, control: string): boolean {
    const { table, logger } = this.#options;
    this.#isLastOutdated = position.index < table.position.index;
    if (!this.#isLastOutdated) return false;
    const outdated = `${control}/${position.term}`;
    if (outdated !== this.#outdated) {
      logger.warn("update-outdated", {
        control,
        index: position.index,
        term: position.term,
        tableIndex: table.position.index,
        tableTerm: table.position.term,
      });
    }
    this.#outdated = outdated;
    return true;
  }

  /**
   * Compares the table with the leader's, after an update. A table that lacks a
   * change would lack it for as long as the same item or target does not change
   * again.
   */
  compare(
    { itemsDigest, tableDigest, position }: ViewDelta,
    control: string,
  ): void {
    const { table, clock, logger, metrics } = this.#options;
    this.#needsWholeTable = false;
    const isEqual =
      (itemsDigest === null || itemsDigest === table.itemsDigest) &&
      (tableDigest === null || tableDigest === table.digest);
    if (isEqual) {
      this.#refetchMilliseconds = 0;
      return;
    }
    const now = clock.now();
    if (now - this.#refetchedAt < this.#refetchMilliseconds) return;
    this.#refetchedAt = now;
    this.#refetchMilliseconds = Math.min(
      Math.max(2 * this.#refetchMilliseconds, minimumRefetchMilliseconds),
      maximumRefetchMilliseconds,
    );
    this.#needsWholeTable = true;
    metrics.tableMismatches.inc();
    logger.warn("table-differs", {
      control,
      index: position.index,
      items: table.itemCount,
      digest: table.itemsDigest,
      expectedDigest: itemsDigest,
      targets: [...table.targets].length,
      tableDigest: table.digest,
      expectedTableDigest: tableDigest,
    });
  }
}

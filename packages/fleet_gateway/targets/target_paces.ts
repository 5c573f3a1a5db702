import {
  PaceDecision,
  PaceReason,
  TargetPace,
  TargetRecord,
} from "@kingcupglade/dispatch";
import type { PaceSituation } from "@kingcupglade/dispatch";
import type { TargetView } from "@kingcupglade/fleet";
import type { Clock } from "@kingcupglade/tasks";
import type { Logger, Metrics } from "@kingcupglade/telemetry";
import type { GatewayTable } from "../table/gateway_table.ts";

/** Who chooses targets. */
export const Chooser = {
  /** A gateway, for its own requests. */
  gateway: "gateway",
  /** The manager of the targets' slots, for all gateways. */
  manager: "manager",
} as const;
export type Chooser = typeof Chooser[keyof typeof Chooser];

/** Options of {@link TargetPaces}. */
export interface TargetPacesOptions {
  readonly chooser: Chooser;
  /** Whether this chooser paces a target. */
  readonly isPaced: (target: TargetView) => boolean;
  readonly table: () => Pick<
    GatewayTable,
    "position" | "target" | "targets" | "mayServe"
  >;
  /** The chooser's observations by target. */
  readonly records: Map<string, TargetRecord>;
  readonly clock: Clock;
  /** Returns a number between 0 and 1. */
  readonly random: () => number;
  readonly logger: Logger;
  readonly metrics: Pick<Metrics, "pacedTargets">;
}

/** What the table last said of a target. */
interface KnownTarget {
  readonly bornAt: number;
  readonly isCold: boolean;
  readonly mayServe: boolean;
  /**
   * Whether it is not paced when its cold period ends, as it was in the first
   * complete table: a fleet that starts as a whole is not slowed down.
   */
  readonly isExempt: boolean;
}

/** Starts and ends the slow start of one chooser's targets. */
export class TargetPaces {
  readonly #options: TargetPacesOptions;
  readonly #known = new Map<string, KnownTarget>();
  /** Names of targets whose pacing has not been seen to end. */
  readonly #paced = new Set<string>();
  #hadCompleteTable = false;

  constructor(options: TargetPacesOptions) {
    this.#options = options;
  }

  /** Whether any target is paced. */
  get isPacing(): boolean {
    return this.#paced.size > 0;
  }

  /** Paces targets that appeared or may serve again. */
  handleTableChange(): void {
    const table = this.#options.table();
    for (const target of table.targets) this.#applyTarget(target);
    for (const name of this.#known.keys()) {
      if (!table.target(name)) this.#known.delete(name);
    }
    this.#hadCompleteTable ||= table.position.isComplete;
    this.#updateMetric();
  }

  /**
   * Records a request that the chooser received, and the targets that it may be
   * sent to. Each paced target gets the share of its slots.
   *
   * @param isNear tells targets that are preferred to the others.
   */
  recordReceived(
    targets: readonly TargetView[],
    isNear: (target: TargetView) => boolean,
  ): void {
    const warm = targets.filter(({ isCold }) => !isCold);
    const sumSlots = (views: readonly TargetView[]) =>
      views.reduce((sum, { slots }) => sum + slots, 0);
    const nearSlots = sumSlots(warm.filter(isNear));
    for (const target of warm) {
      const pace = this.#options.records.get(target.name)?.pace;
      if (!pace) continue;
      const slots = isNear(target) ? nearSlots : sumSlots(warm);
      pace.recordReceived(target.slots / Math.max(1, slots));
    }
  }

  /** Decides whether one more request may be sent to a target. */
  decide(
    target: TargetView,
    record: TargetRecord,
    situation: Pick<PaceSituation, "choosers" | "meanMilliseconds">,
  ): PaceDecision {
    const { clock, isPaced } = this.#options;
    // A cold target has its own rate.
    if (target.isCold) return PaceDecision.open;
    if (record.hasBrokenRepeatedly && !record.pace && isPaced(target)) {
      this.#start(target, record, PaceReason.broken);
    }
    const { pace, inFlight } = record;
    if (!pace) return PaceDecision.open;
    return pace.decide({ now: clock.now(), inFlight, ...situation });
  }

  /** Ends what has expired; called regularly. */
  expire(): void {
    const { chooser, clock, records } = this.#options;
    if (chooser === Chooser.gateway) {
      for (const name of this.#paced) {
        records.get(name)?.pace?.expire(clock.now());
      }
    }
    this.#updateMetric();
  }

  #applyTarget(target: TargetView): void {
    const { table, records } = this.#options;
    const { name, bornAt, isCold } = target;
    const known = this.#known.get(name);
    const mayServe = table().mayServe(target);
    const isNewIncarnation = known !== undefined && known.bornAt > 0 &&
      bornAt > known.bornAt;
    const isReturning = known !== undefined && !known.mayServe && mayServe;
    const isExempt = known
      ? known.isExempt && !isNewIncarnation && !isReturning
      : !this.#hadCompleteTable;
    this.#known.set(name, { bornAt, isCold, mayServe, isExempt });
    // Observations of the previous incarnation do not hold for this one.
    if (isNewIncarnation) records.delete(name);
    if (isCold || !mayServe || isExempt) return;
    if (!known || isNewIncarnation) {
      this.#startNew(target, PaceReason.appeared);
    } else if (known.isCold) {
      this.#startNew(target, PaceReason.coldPeriodEnded);
    } else if (isReturning) this.#startNew(target, PaceReason.returned);
  }

  #startNew(target: TargetView, reason: PaceReason): void {
    const { isPaced, records } = this.#options;
    if (!isPaced(target)) return;
    const record = records.get(target.name) ?? new TargetRecord();
    records.set(target.name, record);
    this.#start(target, record, reason);
  }

  #start(
    { name, bornAt, slots }: TargetView,
    record: TargetRecord,
    reason: PaceReason,
  ): void {
    const { chooser, clock, random, logger } = this.#options;
    this.#paced.add(name);
    const pace = new TargetPace({
      now: clock.now(),
      reason,
      slots,
      random,
      onChange: (change) =>
        logger.info("target-pace-changed", {
          target: name,
          bornAt,
          chooser,
          slots,
          ...change,
        }),
    });
    record.startPace(pace);
  }

  #updateMetric(): void {
    const { chooser, isPaced, records, metrics, table } = this.#options;
    for (const name of this.#paced) {
      const target = table().target(name);
      const isOver = !target || !records.get(name)?.pace || !isPaced(target);
      if (isOver) this.#paced.delete(name);
    }
    metrics.pacedTargets.set({ chooser }, this.#paced.size);
  }
}

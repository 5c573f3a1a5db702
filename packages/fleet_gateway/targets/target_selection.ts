import type { RetryBudgetOptions, TargetRecord } from "@kingcupglade/dispatch";
import type { TargetView } from "@kingcupglade/fleet";
import type { Route } from "@kingcupglade/items";
import type { Clock } from "@kingcupglade/tasks";
import type { TableSynchronizer } from "../table/table_synchronizer.ts";
import type { TargetAvailability } from "./target_notices.ts";
import type { TargetPacesOptions } from "./target_paces.ts";
import type { TargetRatesOptions } from "./target_rates.ts";

/** Options of a target selector. */
export interface TargetSelectorOptions
  extends Pick<TargetRatesOptions, "name" | "limits" | "limitSharers"> {
  readonly synchronizer: TableSynchronizer;
  readonly clock: Clock;
  /** Returns a number between 0 and 1. */
  readonly random: () => number;
  readonly dataCentre: string;
  readonly region: string;
  /** Region of each data centre. */
  readonly regions: Readonly<Record<string, string>>;
  readonly retryBudget: RetryBudgetOptions;
  /** What targets said of themselves. @default nothing */
  readonly notices?: TargetAvailability;
  /** Whether the selector may choose a target. @default every target */
  readonly isCandidate?: (target: TargetView) => boolean;
  /** Slow start of new and recovered targets. @default none */
  readonly pacing?: Pick<
    TargetPacesOptions,
    "chooser" | "isPaced" | "logger" | "metrics"
  >;
  /** Returns the number of gateways that choose among the same targets. */
  readonly gatewayCount: () => number;
}

/** Criteria of a request for its target. */
export interface TargetCriteria {
  readonly route: Route;
  readonly service: string;
  readonly position: number | undefined;
  readonly tried: ReadonlySet<string>;
  /** The only targets allowed, once the route's `maximumTargets` is reached. */
  readonly only?: ReadonlySet<string> | null;
  /** Time of the route's latency objective; a later response is worth less. */
  readonly objectiveAt: number;
}

/** Result of a selection. */
export type TargetSelection =
  | {
    readonly kind: "found";
    readonly target: TargetView;
    readonly record: TargetRecord;
  }
  /** Capacity or an owner may become available. */
  | { readonly kind: "wait" }
  /** The target's load has to be probed first. */
  | {
    readonly kind: "probe";
    readonly target: TargetView;
    readonly record: TargetRecord;
    readonly path: string;
  }
  | {
    readonly kind: "none";
    readonly reason: string;
    /** Time after which a target may be available; undefined if unknown. */
    readonly waitMilliseconds?: number;
  };

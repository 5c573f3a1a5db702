import type { ViewPosition } from "@kingcupglade/fleet";
import { ownFeatures } from "@kingcupglade/fleet_control";
import type { Watch } from "@kingcupglade/fleet_control";
import type { TableSynchronizerOptions } from "./table_synchronizer_options.ts";

/** State of a gateway that its watch requests depend on. */
export interface WatchState {
  readonly position: ViewPosition;
  /** Whether the gateway is about to stop. */
  readonly isLeaving: boolean;
  readonly isSearch: boolean;
  /**
   * Whether the leader may lack what earlier requests reported, so that all of it
   * is reported again.
   */
  readonly reportsAll: boolean;
}

/** Returns a watch request with what has not been reported to the leader. */
export function createWatch(
  options: TableSynchronizerOptions,
  { position, isLeaving, isSearch, reportsAll }: WatchState,
): Watch {
  const state = {
    ...options.gateway,
    isLeaving,
    isCutOff: options.isCutOff(),
    position,
    isSearch,
    features: ownFeatures,
  };
  if (isSearch) return { ...state, ...noReports };
  return {
    ...state,
    demand: options.takeDemand(),
    durations: options.takeDurations(reportsAll),
    limits: options.takeLimits(reportsAll),
    leaving: options.takeLeaving(reportsAll),
    suspects: reportsAll ? options.suspects() : [],
    quotas: options.takeQuotas?.(reportsAll) ?? [],
  };
}

const noReports = {
  demand: [],
  durations: [],
  limits: [],
  leaving: [],
  suspects: [],
  quotas: [],
};

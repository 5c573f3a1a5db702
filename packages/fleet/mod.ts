/**
 * Decisions of the control plane, free of network I/O: configuration items,
 * evacuations, target registration and the ownership of key ranges.
 *
 * @module
 */
export type {
  Announcement,
  AnnouncementResponse,
  FreedRange,
  GrantedRange,
  HeldRange,
} from "./announcement.ts";
export { CrashSuspects, Standing } from "./crash_suspects.ts";
export type { CrashSuspect, ObservedEnd } from "./crash_suspects.ts";
export { emptyFleetState, FleetMachine } from "./fleet_machine.ts";
export { KeyDemand } from "./key_demand.ts";
export type { PositionDemand, TargetDuration } from "./key_demand.ts";
export { chooseManagers, PoolMap, rankByHash } from "./pools.ts";
export type { VmEndpoint } from "./pools.ts";
export { chooseRelays } from "./relays.ts";
export { SuspectAttempts } from "./suspect_attempts.ts";
export type { AttemptRequest } from "./suspect_attempts.ts";
export { TargetSpeeds } from "./target_speeds.ts";
export { isSameIncarnation, RangeAssigner } from "./range_assigner.ts";
export type { RangeAssignerOptions, RangeCandidate } from "./range_assigner.ts";
export {
  hasDeparted,
  RevisionCounter,
  TargetRegistry,
} from "./target_registry.ts";
export type { RegisteredTarget } from "./target_registry.ts";
export { TargetsDigest } from "./targets_digest.ts";
export type { ListedTarget } from "./targets_digest.ts";
export { DepartureKind, lastPosition } from "./types.ts";
export type {
  Departure,
  Evacuation,
  FleetCommand,
  FleetOutcome,
  FleetState,
  KeyRange,
  KeyRanges,
  RangeGrant,
  TargetIncarnation,
} from "./types.ts";
export type {
  RangeView,
  TargetLimitReport,
  TargetView,
  ViewDelta,
  ViewPosition,
} from "./view.ts";

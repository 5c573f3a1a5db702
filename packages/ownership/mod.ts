/**
 * Ownership of hash ranges: the replicated table, its changes and deltas, the
 * planner, and the coordinator that moves ranges between owners.
 *
 * @module
 */
export { applyCommand } from "./apply.ts";
export type { AppliedCommand } from "./apply.ts";
export type {
  CommandOutcome,
  ControlCommand,
  RangeChange,
  RollOutcome,
} from "./commands.ts";
export { coordinate, grantsByTarget } from "./coordinator.ts";
export type { CoordinatorOptions, CoordinatorPlan } from "./coordinator.ts";
export type { LeaderView, TargetView, VmView } from "./leader_view.ts";
export { LeavingOwnerTracker } from "./leaving_owners.ts";
export { LoadEstimator } from "./load.ts";
export type {
  GroupLoad,
  GroupLoadReport,
  HotPosition,
  LoadView,
} from "./load.ts";
export { RangeIndex } from "./range_index.ts";
export { settledVersion } from "./release.ts";
export { RequestCounter } from "./request_counter.ts";
export { applyBundleUpdate, createBundleUpdate } from "./bundle_updates.ts";
export type { BundleUpdate } from "./bundle_updates.ts";
export { deltaSince } from "./delta.ts";
export type { TableDelta } from "./delta.ts";
export { isDataCentreInService, isEligibleOwner } from "./eligibility.ts";
export { grantsSignature } from "./grants.ts";
export type { Grant } from "./grants.ts";
export {
  emptyControlState,
  groupId,
  RangePhase,
  roleId,
  RoleKind,
} from "./model.ts";
export type {
  BundleRecord,
  ControlState,
  PlacementGroup,
  RangeRecord,
  Rehoming,
  RoleAssignment,
  TargetRecord,
  VmRecord,
} from "./model.ts";
export { createKeyHasher, hashSpaceSize } from "./key_hasher.ts";
export type { KeyHasher, KeyIdentity } from "./key_hasher.ts";
export { findRange } from "./ranges.ts";
export { RoutingTable } from "./routing_table.ts";
export { decodeControlState, encodeControlState } from "./snapshot.ts";
export { planRoles, roleShards } from "./role_planner.ts";
export type { PlannedRole } from "./role_planner.ts";

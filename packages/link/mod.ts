/**
 * Use of a VM's network link, without network I/O: which transfer goes next,
 * which responses are admitted, and whether the link is full.
 *
 * @module
 */
export { HeldBytes } from "./held_bytes.ts";
export type { HeldShare, LetGo } from "./held_bytes.ts";
export { LinkAdmission } from "./link_admission.ts";
export type {
  LinkDecision,
  LinkRequest,
  LinkTicket,
} from "./link_admission.ts";
export { LinkFullness } from "./link_fullness.ts";
export type { LinkObservation } from "./link_fullness.ts";
export {
  largeBytes,
  LinkScheduler,
  maximumSliceBytes,
} from "./link_scheduler.ts";
export type { Transfer, TransferOptions } from "./link_scheduler.ts";
export { RouteProfiles } from "./route_profiles.ts";
export type { RouteProfile } from "./route_profiles.ts";

/**
 * Workspaces: keys of callers, the index that finds a key's workspace, and the
 * lease under which a gateway may rely on it.
 *
 * @module
 */
export { ElapsedClock } from "./elapsed_clock.ts";
export { SealError } from "./errors.ts";
export { decideOnKey, KeyFault, recheckKey } from "./key_decision.ts";
export type { KeyDecision, KeyKnowledge } from "./key_decision.ts";
export { KeyDigest } from "./key_digest.ts";
export { KeyIndex } from "./key_index.ts";
export {
  confirmedAge,
  holdsLease,
  leaseMilliseconds,
  noKeyLease,
  renewLease,
} from "./key_lease.ts";
export type { KeyLease, LeaseRenewal } from "./key_lease.ts";
export { revokedDigests, unconfirmedGateways } from "./revocation.ts";
export type { GatewayKeys } from "./revocation.ts";
export { SourceSeal } from "./source_seal.ts";
export { routeForWorkspace } from "./workspace_route.ts";
export type { WorkspaceRoute } from "./workspace_route.ts";

/**
 * Keeps claims and their outcomes on a holder and a standby, so that a request
 * runs at most once per idempotency key. Makes decisions only; performs no I/O.
 *
 * @module
 */
export { claimOf, contentDigest, regionOfClaim } from "./claim.ts";
export type { Claim, ClaimKey } from "./claim.ts";
export { recordBytes } from "./record.ts";
export type {
  ClaimRecord,
  LedgerBatch,
  LedgerUpdate,
  StoredResponse,
} from "./record.ts";
export { holderLostReason, LedgerShard } from "./shard.ts";
export type {
  BatchResponse,
  ClaimDecision,
  LedgerShardOptions,
  ShardRole,
} from "./shard.ts";

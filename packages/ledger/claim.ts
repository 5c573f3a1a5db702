import { createHash } from "node:crypto";

const claimIdBytes = 18;
const contentDigestBytes = 18;

/** The values that identify a claim. */
export interface ClaimKey {
  readonly service: string;
  readonly tenant: string;
  readonly idempotencyKey: string;
}

/** Identifies a request that runs at most once, by a digest of its key. */
export interface Claim {
  /** Digest of service, tenant and idempotency key, in base64url. */
  readonly id: string;
  /** Distributes claims over regions and shards. */
  readonly hash: number;
}

/** Returns the claim of an idempotency key. */
export function claimOf(key: ClaimKey): Claim {
  const { service, tenant, idempotencyKey } = key;
  const digest = createHash("sha256")
    .update(`${service}\0${tenant}\0${idempotencyKey}`).digest();
  return {
    id: digest.subarray(0, claimIdBytes).toString("base64url"),
    hash: digest.readUInt32BE(claimIdBytes),
  };
}

/** Returns a digest of the method, path and body of a request, in base64url. */
export function contentDigest(content: {
  readonly method: string;
  readonly path: string;
  readonly body: Uint8Array;
}): string {
  return createHash("sha256").update(`${content.method}\0${content.path}\0`)
    .update(content.body).digest().subarray(0, contentDigestBytes)
    .toString("base64url");
}

/**
 * Chooses the home region that stores a claim by rendezvous hashing. The
 * choice depends only on the claim and the home regions, so a later request
 * finds the claim, and adding or removing a region moves only the claims of
 * that region. Returns undefined without home regions.
 */
export function regionOfClaim(
  claim: Claim,
  homeRegions: readonly string[],
): string | undefined {
  let best: string | undefined;
  let bestWeight = -1;
  for (const region of homeRegions) {
    const weight = mixBits(claim.hash ^ hashText(region));
    if (weight > bestWeight) {
      best = region;
      bestWeight = weight;
    }
  }
  return best;
}

/** FNV-1a hash of the UTF-16 code units. */
function hashText(text: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  }
  return hash >>> 0;
}

/** Finalizer of 32-bit MurmurHash3. */
function mixBits(value: number): number {
  let hash = value >>> 0;
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

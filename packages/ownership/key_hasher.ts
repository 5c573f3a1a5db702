import xxhash from "xxhash-wasm";

/**
 * Size of the hash space. Positions are the upper 53 bits of a 64-bit hash, so
 * that numbers represent them exactly.
 */
export const hashSpaceSize = 2 ** 53;

const discardedBits = 11n;

/** A key with its service and tenant. */
export interface KeyIdentity {
  readonly service: string;
  readonly tenant: string;
  readonly key: string;
}

/** Maps keys to positions in the hash space. */
export interface KeyHasher {
  position(identity: KeyIdentity): number;
}

/** Loads the hash function and returns a hasher. */
export async function createKeyHasher(): Promise<KeyHasher> {
  const { h64 } = await xxhash();
  return {
    position: ({ service, tenant, key }) =>
      Number(h64(`${service}\0${tenant}\0${key}`) >> discardedBits),
  };
}

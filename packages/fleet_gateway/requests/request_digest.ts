import type { RequestBody } from "@kingcupglade/transport";
import xxhash from "xxhash-wasm";

/** What makes two requests of callers the same to a target. */
export interface RequestContent {
  readonly method: string;
  readonly host: string;
  /** Path with the query. */
  readonly path: string;
  /** Credentials that the caller presents; empty if it presents none. */
  readonly caller: string;
  readonly body: Pick<RequestBody, "firstBytes" | "length">;
}

/** Returns the digest of a request as 16 hexadecimal digits. */
export type RequestDigest = (content: RequestContent) => string;

const digestDigits = 16;

/**
 * Loads the hash function and returns the digest of a fleet. Bodies that are
 * streamed count with their length and their first bytes. The secret of the
 * fleet seeds the hash, so that callers cannot construct collisions.
 */
export async function createRequestDigest(
  secret: string,
): Promise<RequestDigest> {
  const { h64, create64 } = await xxhash();
  const seed = h64(secret);
  return ({ method, host, path, caller, body }) => {
    const head = [method, host, path, caller, body.length].join("\0");
    const digest = create64(seed).update(`${head}\0`).update(body.firstBytes)
      .digest();
    return digest.toString(16).padStart(digestDigits, "0");
  };
}

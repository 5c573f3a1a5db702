import { createHmac } from "node:crypto";
import { deriveKey } from "./derived_key.ts";

const purpose = "kingcupglade/workspace-key-digest";

/**
 * Computes the digests by which keys of callers are stored and compared. All VMs
 * with the same secret compute the same digests.
 */
export class KeyDigest {
  readonly #key: Buffer;

  constructor(secret: string) {
    this.#key = deriveKey(secret, purpose);
  }

  /** Returns the digest of a key's bytes, as 64 hexadecimal digits. */
  of(key: Uint8Array): string {
    return createHmac("sha256", this.#key).update(key).digest("hex");
  }

  /** Returns the digest of a key as an operator wrote it. */
  ofText(key: string): string {
    return this.of(Buffer.from(key, "utf8"));
  }
}

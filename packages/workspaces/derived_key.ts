import { hkdfSync } from "node:crypto";

/** Both uses need a key of 256 bits. */
const keyBytes = 32;

/** Derives the key for one purpose from the secret that all VMs share. */
export function deriveKey(secret: string, purpose: string): Buffer {
  return Buffer.from(hkdfSync("sha256", secret, "", purpose, keyBytes));
}

import { createCipheriv, createDecipheriv, randomBytes } from "node:crypto";
import { deriveKey } from "./derived_key.ts";
import { SealError } from "./errors.ts";

const purpose = "kingcupglade/workspace-source";
const algorithm = "aes-256-gcm";
/** Length that AES-GCM is specified for (NIST SP 800-38D, 8.2). */
const nonceBytes = 12;
const tagBytes = 16;
/** First byte of a sealed text, so that another form can be told apart. */
const formatVersion = 1;

/**
 * Encrypts the text of workspaces, which contains keys. Sealing the same text
 * twice gives different results: only the proposer of a change may seal.
 */
export class SourceSeal {
  readonly #key: Buffer;

  constructor(secret: string) {
    this.#key = deriveKey(secret, purpose);
  }

  /** Returns the sealed text in Base64. */
  seal(text: string): string {
    const nonce = randomBytes(nonceBytes);
    const cipher = createCipheriv(algorithm, this.#key, nonce);
    const body = Buffer.concat([cipher.update(text, "utf8"), cipher.final()]);
    return Buffer.concat([
      Buffer.from([formatVersion]),
      nonce,
      cipher.getAuthTag(),
      body,
    ]).toString("base64");
  }

  /**
   * Returns the text that was sealed.
   *
   * @throws {SealError} when it was sealed with another secret or was changed.
   */
  open(sealed: string): string {
    const bytes = Buffer.from(sealed, "base64");
    const bodyAt = 1 + nonceBytes + tagBytes;
    if (bytes.length < bodyAt || bytes[0] !== formatVersion) {
      throw new SealError("the sealed text has an unknown form");
    }
    const nonce = bytes.subarray(1, 1 + nonceBytes);
    const decipher = createDecipheriv(algorithm, this.#key, nonce);
    decipher.setAuthTag(bytes.subarray(1 + nonceBytes, bodyAt));
    try {
      return Buffer.concat([
        decipher.update(bytes.subarray(bodyAt)),
        decipher.final(),
      ]).toString("utf8");
    } catch (cause) {
      throw new SealError("the sealed text cannot be opened", { cause });
    }
  }
}

import {
  createHash,
  createPrivateKey,
  createPublicKey,
  generateKeyPairSync,
  sign,
  verify,
} from "node:crypto";
import canonicalize from "canonicalize";
import { z } from "zod";
import { BundleError, SignatureError } from "./errors.ts";
import { parseBundle } from "./schema.ts";
import type { Bundle } from "./schema.ts";

const signedBundleSchema = z.strictObject({
  document: z.unknown(),
  signatures: z.array(z.strictObject({
    operator: z.string(),
    /** Base64-encoded ed25519 signature of the canonical document. */
    signature: z.string(),
  })).max(64),
});

/** A bundle document and its operators' signatures, as stored and sent. */
export interface SignedBundle {
  readonly document: unknown;
  readonly signatures: readonly {
    readonly operator: string;
    readonly signature: string;
  }[];
}

/** The operators whose signatures are accepted, and the number required. */
export interface SigningAuthority {
  readonly operators: readonly {
    readonly name: string;
    readonly publicKey: string;
  }[];
  readonly requiredSignatures: number;
}

/**
 * Creates a key pair; the private key is PKCS #8 PEM, the public key raw
 * base64.
 */
export function createOperatorKey(): {
  readonly privateKey: string;
  readonly publicKey: string;
} {
  const pair = generateKeyPairSync("ed25519");
  return {
    privateKey: pair.privateKey.export({ format: "pem", type: "pkcs8" })
      .toString(),
    publicKey: rawPublicKey(pair.publicKey.export({ format: "jwk" }).x),
  };
}

/** Returns a document as RFC 8785 canonical JSON. */
export function canonicalText(document: unknown): string {
  return canonicalize(document) ?? "null";
}

/** Returns the bytes to sign: the document as RFC 8785 canonical JSON. */
export function canonicalBytes(document: unknown): Uint8Array {
  return new TextEncoder().encode(canonicalText(document));
}

/** Returns the SHA-256 digest of the canonical document, in hexadecimal. */
export function bundleDigest(document: unknown): string {
  return createHash("sha256").update(canonicalBytes(document)).digest("hex");
}

/**
 * Adds an operator's signature, replacing an earlier one of the same operator.
 *
 * @throws {SignatureError} when the private key cannot be read.
 */
export function signBundle(
  bundle: SignedBundle,
  signer: { readonly operator: string; readonly privateKey: string },
): SignedBundle {
  const signature = sign(
    null,
    canonicalBytes(bundle.document),
    readPrivateKey(signer.privateKey),
  ).toString("base64");
  return {
    document: bundle.document,
    signatures: [
      ...bundle.signatures.filter((each) => each.operator !== signer.operator),
      { operator: signer.operator, signature },
    ],
  };
}

/**
 * Returns the names of the authority's operators whose signatures are valid.
 */
export function validSigners(
  bundle: SignedBundle,
  authority: SigningAuthority,
): readonly string[] {
  const bytes = canonicalBytes(bundle.document);
  return authority.operators.filter((operator) =>
    bundle.signatures.some((each) =>
      each.operator === operator.name &&
      verify(
        null,
        bytes,
        readPublicKey(operator.publicKey),
        Buffer.from(each.signature, "base64"),
      )
    )
  ).map((operator) => operator.name);
}

/**
 * Validates the structure, the document and the signatures of a bundle.
 *
 * @throws {BundleError} when the structure or document is invalid.
 * @throws {SignatureError} when it has too few valid signatures.
 */
export function verifyBundle(
  candidate: unknown,
  authority: SigningAuthority,
): { readonly signed: SignedBundle; readonly bundle: Bundle } {
  const signed = parseSignedBundle(candidate);
  const bundle = parseBundle(signed.document);
  const signers = validSigners(signed, authority);
  if (signers.length < authority.requiredSignatures) {
    throw new SignatureError(
      `the bundle needs ${authority.requiredSignatures} valid signatures and has ${signers.length}${
        signers.length > 0 ? ` (${signers.join(", ")})` : ""
      }; the operators who can sign are ${
        authority.operators.map((each) => each.name).join(", ")
      }`,
    );
  }
  return { signed, bundle };
}

/**
 * Parses a signed bundle without validating its document.
 *
 * @throws {BundleError} when its structure is invalid.
 */
export function parseSignedBundle(candidate: unknown): SignedBundle {
  const result = signedBundleSchema.safeParse(candidate);
  if (result.success) return result.data;
  throw new BundleError(
    result.error.issues.map((issue) => ({
      path: issue.path.join("."),
      message: issue.message,
    })),
  );
}

function readPrivateKey(pem: string) {
  try {
    return createPrivateKey(pem);
  } catch (cause) {
    throw new SignatureError(
      "the private key cannot be read; make one with `kingcupglade key create`",
      { cause },
    );
  }
}

function readPublicKey(base64: string) {
  const x = Buffer.from(base64, "base64").toString("base64url");
  return createPublicKey({
    key: { kty: "OKP", crv: "Ed25519", x },
    format: "jwk",
  });
}

function rawPublicKey(x: string | undefined): string {
  return Buffer.from(x ?? "", "base64url").toString("base64");
}

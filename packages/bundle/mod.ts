/**
 * The operators' bundle: its schema, canonical form, digest and signatures.
 *
 * @module
 */
export { BundleError, SignatureError } from "./errors.ts";
export type { BundleFault } from "./errors.ts";
export { diffDocuments, patchDocument } from "./patch.ts";
export type { DocumentPatch } from "./patch.ts";
export { homeRegions } from "./home_regions.ts";
export { nearestName } from "./nearest_name.ts";
export { parseBundle, ServiceKind } from "./schema.ts";
export type {
  Bundle,
  BundleDataCentre,
  BundleRoute,
  BundleService,
  BundleTenant,
  RequestField,
} from "./schema.ts";
export {
  bundleDigest,
  canonicalBytes,
  createOperatorKey,
  parseSignedBundle,
  signBundle,
  validSigners,
  verifyBundle,
} from "./signature.ts";
export type { SignedBundle, SigningAuthority } from "./signature.ts";
export { diffBundles, emptyBundle } from "./diff.ts";
export type {
  BundleDifference,
  HomeRegionChange,
  NameChanges,
} from "./diff.ts";

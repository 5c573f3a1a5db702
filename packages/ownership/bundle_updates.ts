import {
  bundleDigest,
  diffDocuments,
  parseBundle,
  patchDocument,
} from "@kingcupglade/bundle";
import type { DocumentPatch, SignedBundle } from "@kingcupglade/bundle";
import type { BundleRecord, BundleStep } from "./model.ts";

const maximumSteps = 16;
/**
 * Maximum total size of the kept patches, as a share of the document's size.
 */
const maximumStepsSizeShare = 0.5;

/**
 * A bundle as sent to VMs: whole, or as patches to one that the receiver holds.
 */
export interface BundleUpdate {
  readonly version: number;
  readonly digest: string;
  readonly changedAt: number;
  readonly signatures: SignedBundle["signatures"];
  /** The whole document; absent when patches are sent. */
  readonly document?: unknown;
  /** Digest of the document that the first patch applies to. */
  readonly from?: string;
  readonly patches?: readonly DocumentPatch[];
}

/** Returns the patches to keep after a roll from `before` to `signed`. */
export function appendBundleStep(
  before: BundleRecord | null,
  signed: SignedBundle,
  at: number,
): readonly BundleStep[] {
  if (!before) return [];
  const patch = diffDocuments(before.signed.document, signed.document);
  const steps = [
    ...before.steps ?? [],
    { from: before.digest, fromAt: before.changedAt, at, patch },
  ].slice(-maximumSteps);
  const limit = encodedLength(signed.document) * maximumStepsSizeShare;
  let size = 0;
  const kept = steps.toReversed().findIndex((each) =>
    (size += encodedLength(each.patch)) > limit
  );
  return kept === -1 ? steps : steps.slice(steps.length - kept);
}

/**
 * Returns the update for a receiver whose table has version `since`; 0 means
 * that it has no table.
 */
export function createBundleUpdate(
  record: BundleRecord,
  since: number,
): BundleUpdate {
  const { version, digest, changedAt, signed } = record;
  const header = {
    version,
    digest,
    changedAt,
    signatures: signed.signatures,
  };
  const steps = record.steps ?? [];
  const first = steps.findIndex((each) => each.at > since);
  const canPatch = since > 0 && first !== -1 && since >= steps[first]!.fromAt;
  if (!canPatch) return { ...header, document: signed.document };
  const remaining = steps.slice(first);
  return {
    ...header,
    from: remaining[0]!.from,
    patches: remaining.map((each) => each.patch),
  };
}

/**
 * Returns the bundle after an update; null when its patches do not apply to the
 * bundle that the receiver holds.
 */
export function applyBundleUpdate(
  update: BundleUpdate,
  known: BundleRecord | null,
): BundleRecord | null {
  const { version, digest, changedAt, signatures } = update;
  const document = resolveDocument(update, known);
  if (document === undefined) return null;
  return {
    version,
    digest,
    changedAt,
    signed: { document, signatures },
    bundle: parseBundle(document),
  };
}

function resolveDocument(
  update: BundleUpdate,
  known: BundleRecord | null,
): unknown {
  if (!update.patches) return update.document;
  if (known?.digest === update.digest) return known.signed.document;
  if (!known || known.digest !== update.from) return undefined;
  const document = update.patches.reduce(patchDocument, known.signed.document);
  return bundleDigest(document) === update.digest ? document : undefined;
}

function encodedLength(value: unknown): number {
  return JSON.stringify(value).length;
}

/** A validation error of a bundle document, with its path. */
export interface BundleFault {
  /** Path in the document, such as `services[0].homeRegions`. */
  readonly path: string;
  readonly message: string;
}

/** Thrown when a bundle is invalid. */
export class BundleError extends Error {
  override readonly name = "BundleError";
  readonly faults: readonly BundleFault[];

  constructor(faults: readonly BundleFault[]) {
    super(
      faults.map((fault) => `${fault.path || "bundle"}: ${fault.message}`).join(
        "; ",
      ),
    );
    this.faults = faults;
  }
}

/** Thrown when a private key cannot be read or valid signatures are missing. */
export class SignatureError extends Error {
  override readonly name = "SignatureError";
}

/** One fault of a bundle document, with the path at which it was found. */
export interface BundleFault {
  /** Path in the document, such as `services[0].homeRegions`. */
  readonly path: string;
  readonly message: string;
}

/** A bundle that cannot be used. */
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

/** A signature or key that cannot be used. */
export class SignatureError extends Error {
  override readonly name = "SignatureError";
}

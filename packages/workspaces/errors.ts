/** A sealed text cannot be opened, as the secret differs or bytes were changed. */
export class SealError extends Error {
  override readonly name = "SealError";
}

export { NotLeaderError, UnknownOutcomeError } from "@kingcupglade/replica";

/** Control cannot be reached: no leader answered in time. */
export class ControlUnavailableError extends Error {
  override readonly name = "ControlUnavailableError";
}

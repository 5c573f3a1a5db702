export { NotLeaderError, UnknownOutcomeError } from "@kingcupglade/replica";

/** Control is unavailable: no leader responded in time. */
export class ControlUnavailableError extends Error {
  override readonly name = "ControlUnavailableError";
}

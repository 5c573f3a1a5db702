/** A call that only the control leader can serve. */
export class NotLeaderError extends Error {
  override readonly name = "NotLeaderError";

  constructor(message = "this replica does not lead control") {
    super(message);
  }
}

/** Control cannot be reached: no leader answered in time. */
export class ControlUnavailableError extends Error {
  override readonly name = "ControlUnavailableError";
}

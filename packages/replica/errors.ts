/** A call that only the control leader can serve. */
export class NotLeaderError extends Error {
  override readonly name: string = "NotLeaderError";

  constructor(message = "this replica does not lead control") {
    super(message);
  }
}

/**
 * A command whose leader lost the lead before it was known to be committed. It
 * may yet take effect; sent again, it must be one that takes effect once.
 */
export class UnknownOutcomeError extends NotLeaderError {
  override readonly name = "UnknownOutcomeError";

  constructor() {
    super("the lead was lost; whether the command took effect is not known");
  }
}

/** Thrown when a call that only the control leader can serve reaches another replica. */
export class NotLeaderError extends Error {
  override readonly name: string = "NotLeaderError";

  constructor(message = "this replica is not the control leader") {
    super(message);
  }
}

/**
 * Thrown when the replica lost leadership before it knew whether the command was
 * committed. The command may still take effect, so only a command that takes
 * effect at most once may be retried.
 */
export class UnknownOutcomeError extends NotLeaderError {
  override readonly name = "UnknownOutcomeError";

  constructor() {
    super("leadership was lost; the outcome of the command is unknown");
  }
}

/** A deterministic state machine whose commands are ordered by a replicated log. */
export abstract class ReplicatedStateMachine<State, Command, Outcome> {
  /** Decodes the state of a snapshot; empty data is the initial state. */
  abstract restore(data: Uint8Array, index: number): State;
  /** Encodes a state into the bytes that {@link restore} decodes. */
  abstract encode(state: State): Uint8Array;
  /** Applies a committed command; the result depends only on the arguments. */
  abstract apply(
    state: State,
    command: Command,
    index: number,
  ): { readonly state: State; readonly outcome: Outcome };
  /** Returns the state after a log entry that contains no command. */
  abstract skip(state: State, index: number): State;
}

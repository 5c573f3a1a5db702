import {
  applyCommand,
  decodeControlState,
  encodeControlState,
} from "@kingcupglade/ownership";
import type {
  CommandOutcome,
  ControlCommand,
  ControlState,
} from "@kingcupglade/ownership";
import { Replica, ReplicatedStateMachine } from "@kingcupglade/replica";
import type { ReplicaOptions } from "@kingcupglade/replica";

/** Options of a {@link ReplicaTask}. */
export type ReplicaTaskOptions = Omit<
  ReplicaOptions<ControlState, ControlCommand, CommandOutcome>,
  "machine"
>;

/** Applies ownership commands as a replicated state machine. */
class OwnershipMachine
  extends ReplicatedStateMachine<ControlState, ControlCommand, CommandOutcome> {
  // The initial snapshot of a replica set contains no state.
  override restore(data: Uint8Array, index: number): ControlState {
    return { ...decodeControlState(data), version: index };
  }

  override encode(state: ControlState): Uint8Array {
    return encodeControlState(state);
  }

  override apply(state: ControlState, command: ControlCommand, index: number) {
    return applyCommand(state, command, index);
  }

  override skip(state: ControlState, index: number): ControlState {
    return { ...state, version: index };
  }
}

/** Runs a control replica with its log, data folder and copy of the state. */
export class ReplicaTask
  extends Replica<ControlState, ControlCommand, CommandOutcome> {
  constructor(options: ReplicaTaskOptions) {
    super({ ...options, machine: new OwnershipMachine() });
  }

  /** The replicated state as applied by this replica. */
  get control(): ControlState {
    return this.state;
  }
}

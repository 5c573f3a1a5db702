/**
 * A replica of a replicated state machine: runs consensus, the data folder and
 * the local copy of the state as one task.
 *
 * @module
 */
export { NotLeaderError, UnknownOutcomeError } from "./errors.ts";
export { Replica } from "./replica.ts";
export type { ReplicaOptions } from "./replica.ts";
export { ReplicatedStateMachine } from "./replicated_state_machine.ts";
export { replicaIdOf, vmOfReplica } from "./replica_id.ts";

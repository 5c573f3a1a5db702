/**
 * The data folder of a control replica: identity, synced log and snapshot.
 *
 * @module
 */
export { CorruptLogError, IdentityError, StorageError } from "./errors.ts";
export { LogFile } from "./log_file.ts";
export { ReplicaStorage } from "./replica_storage.ts";
export type { FolderIdentity, StoredState } from "./replica_storage.ts";

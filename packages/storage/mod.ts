/**
 * The data folder of a control replica: its identity, synced log and snapshot.
 *
 * @module
 */
export {
  CorruptLogError,
  IdentityError,
  MissingLogError,
  StorageError,
} from "./errors.ts";
export { AppendOnlyFile, Files, SystemFiles } from "./files.ts";
export type { FolderIdentity } from "./identity.ts";
export { LogFile } from "./log_file.ts";
export { ReplicaStorage } from "./replica_storage.ts";
export type { FolderSummary, StoredState } from "./replica_storage.ts";

import type { FolderIdentity } from "@kingcupglade/storage";

/** The replica that a data folder holds: its VM and its incarnation. */
export function replicaIdOf(identity: FolderIdentity): string {
  return `${identity.vm}.${identity.incarnation}`;
}

/** The VM that a replica runs on. */
export function vmOfReplica(replica: string): string {
  return replica.slice(0, replica.lastIndexOf("."));
}

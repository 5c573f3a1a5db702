import type { FolderIdentity } from "@kingcupglade/storage";

/** Returns the ID of a data folder's replica, in the form `vm.incarnation`. */
export function replicaIdOf(identity: FolderIdentity): string {
  return `${identity.vm}.${identity.incarnation}`;
}

/** Returns the VM of a replica ID of the form `vm.incarnation`. */
export function vmOfReplica(replica: string): string {
  return replica.slice(0, replica.lastIndexOf("."));
}

import { emptySnapshot } from "@kingcupglade/consensus";
import { Replication } from "@kingcupglade/protocol";
import type { ReplicaStorage } from "@kingcupglade/storage";
import type { PeerDirectory } from "./peers.ts";
import { replicaIdOf } from "./replica_id.ts";

const helloTimeoutMilliseconds = 500;

/** What a VM tells of its data folder. */
export interface Hello {
  readonly replica: string;
  readonly member: boolean;
}

/**
 * Asks every first voter for its replica. Answers with their replicas only if
 * all of them answered and none belongs to a replica set yet.
 */
export async function gatherFounders(options: {
  readonly self: Hello;
  readonly selfVm: string;
  readonly voters: readonly string[];
  readonly peers: PeerDirectory;
}): Promise<readonly string[] | null> {
  const { self, selfVm, voters, peers } = options;
  try {
    const hellos = await Promise.all(voters.map(async (vm): Promise<Hello> => {
      const peer = peers.client(vm, Replication);
      if (vm === selfVm || !peer) return self;
      return await peer.hello({}, {
        timeoutMs: helloTimeoutMilliseconds,
      });
    }));
    return hellos.some((hello) => hello.member || hello.replica === "")
      ? null
      : hellos.map((hello) => hello.replica);
  } catch {
    return null;
  }
}

/** Stores the first replica set in an empty data folder. */
export async function storeFounders(
  storage: ReplicaStorage,
  voters: readonly string[],
): Promise<void> {
  await storage.saveSnapshot(emptySnapshot({ voters, learners: [] }), {
    hardState: { term: 0, votedFor: null },
    entries: [],
  });
}

/** Whether a list of founders names this data folder. */
export function namesReplica(
  voters: readonly string[],
  storage: ReplicaStorage,
): boolean {
  return voters.includes(replicaIdOf(storage.identity));
}

import { emptySnapshot } from "@kingcupglade/consensus";
import { Replication } from "@kingcupglade/protocol";
import type { ReplicaStorage } from "@kingcupglade/storage";
import type { PeerDirectory } from "./peers.ts";
import { replicaIdOf } from "@kingcupglade/replica";

const helloTimeoutMilliseconds = 500;

/** State of a VM's data folder, as reported to the other VMs. */
export interface Hello {
  /** ID of the replica in the data folder. */
  readonly replica: string;
  /** Whether its replica runs, as a voter or as a standby. */
  readonly member: boolean;
  /**
   * Replica IDs of the initial set; empty if this replica is not one of it or
   * the log has been truncated since.
   */
  readonly founders: readonly string[];
}

/** Next step of an initial voter whose data folder is unused. */
export const BootstrapStep = {
  /** Not all initial voters have responded yet. */
  wait: "wait",
  /** Form the initial replica set. */
  bootstrap: "bootstrap",
  /** Join an initial replica set that is only partly formed. */
  join: "join",
  /** A replica set without this folder runs already; the folder was wiped. */
  serveAsStandby: "serveAsStandby",
} as const;
export type BootstrapStep = typeof BootstrapStep[keyof typeof BootstrapStep];

/** A step, and the replicas of the initial set if it is formed or joined. */
export interface BootstrapDecision {
  readonly step: BootstrapStep;
  readonly replicas: readonly string[];
}

/** Requests the state of every initial voter and chooses the next step. */
export async function decideBootstrap(options: {
  readonly self: Hello;
  readonly selfVm: string;
  readonly voters: readonly string[];
  readonly peers: PeerDirectory;
}): Promise<BootstrapDecision> {
  const { self, selfVm, voters, peers } = options;
  const hellos = await Promise.all(
    voters.map((vm) => vm === selfVm ? self : requestHello(vm, peers)),
  );
  return chooseBootstrapStep(hellos, {
    self: self.replica,
    mayFound: voters[0] === selfVm,
  });
}

/**
 * Chooses the step from the responses of all initial voters, null for each that
 * did not respond. Only the first configured voter may form the replica set, so
 * that two sets cannot be formed concurrently.
 */
export function chooseBootstrapStep(
  hellos: readonly (Hello | null)[],
  options: { readonly self: string; readonly mayFound: boolean },
): BootstrapDecision {
  const members = hellos.filter((hello) => hello?.member);
  const initialMember = members.find((hello) =>
    hello!.founders.includes(options.self)
  );
  if (initialMember) {
    return { step: BootstrapStep.join, replicas: initialMember.founders };
  }
  if (members.length > 0) {
    return { step: BootstrapStep.serveAsStandby, replicas: [] };
  }
  const replicas = hellos.map((hello) => hello?.replica ?? "");
  const isComplete = replicas.every((replica) => replica !== "");
  return isComplete && options.mayFound
    ? { step: BootstrapStep.bootstrap, replicas }
    : { step: BootstrapStep.wait, replicas: [] };
}

async function requestHello(
  vm: string,
  peers: PeerDirectory,
): Promise<Hello | null> {
  try {
    return await peers.client(vm, Replication)?.hello({}, {
      timeoutMs: helloTimeoutMilliseconds,
    }) ?? null;
  } catch {
    return null;
  }
}

/** Stores the initial replica set in an empty data folder. */
export async function storeFounders(
  storage: ReplicaStorage,
  voters: readonly string[],
): Promise<void> {
  await storage.saveSnapshot(emptySnapshot({ voters, learners: [] }), {
    hardState: { term: 0, votedFor: null },
    entries: [],
  });
}

/** Returns whether the voters include the replica of a data folder. */
export function includesReplica(
  voters: readonly string[],
  storage: ReplicaStorage,
): boolean {
  return voters.includes(replicaIdOf(storage.identity));
}

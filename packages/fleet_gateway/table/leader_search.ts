import type { WatchAnswer } from "@kingcupglade/fleet_control";

/** Asks the VM at a peer address whether it leads. */
export type LeaderQuestion = (address: string) => Promise<WatchAnswer>;

/**
 * Returns the address of the leader, or null if none responds. Queries all VMs
 * at once: one that is powered off does not respond, and in sequence each of
 * them would cost a timeout.
 */
export async function findLeaderAmong(
  addresses: ReadonlySet<string>,
  { ask, excluded = [] }: {
    readonly ask: LeaderQuestion;
    /** Addresses that are not asked, also if a VM names them. @default none */
    readonly excluded?: readonly string[];
  },
): Promise<string | null> {
  const visited = new Set([...addresses, ...excluded]);
  try {
    return await Promise.any(
      [...addresses].map((address) => findLeader(address, { ask, visited })),
    );
  } catch {
    // There is no leader yet; its loss was logged when it was detected.
    return null;
  }
}

/**
 * Returns the address of the leader: the queried VM, or the one that it names if
 * that VM confirms it.
 */
async function findLeader(
  address: string,
  { ask, visited }: {
    readonly ask: LeaderQuestion;
    readonly visited: ReadonlySet<string>;
  },
): Promise<string> {
  const response = await ask(address);
  if (response.kind === "leads") return address;
  const namedLeader = response.kind === "elsewhere" ? response.leader : null;
  if (namedLeader === null || visited.has(namedLeader)) {
    throw new Error("another VM is the leader");
  }
  return await findLeader(namedLeader, {
    ask,
    visited: new Set([...visited, namedLeader]),
  });
}

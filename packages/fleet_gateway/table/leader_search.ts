import { setTimeout as pause } from "node:timers/promises";
import type { WatchAnswer } from "@kingcupglade/fleet_control";

/** Asks the VM at a peer address whether it leads. */
export type LeaderQuestion = (address: string) => Promise<WatchAnswer>;

/** Options of {@link searchLeader}. */
export interface LeaderSearchOptions {
  readonly ask: LeaderQuestion;
  /** Addresses that are not asked, also if a VM names them. @default none */
  readonly excluded?: readonly string[];
  /** Returns the delays between two questions to one VM, in milliseconds. */
  readonly delays: () => { next(): number };
  /** Whether the leader is no longer searched. */
  readonly hasEnded: () => boolean;
}

/**
 * Returns the address of the leader, or null if the search ends before one
 * responds. Each VM is asked by itself: one that is powered off or cut off does
 * not respond, and must not delay the questions to the others.
 */
export async function searchLeader(
  addresses: ReadonlySet<string>,
  options: LeaderSearchOptions,
): Promise<string | null> {
  const visited = new Set([...addresses, ...options.excluded ?? []]);
  let isFound = false;
  const hasEnded = () => isFound || options.hasEnded();
  try {
    return await Promise.any(
      [...addresses].map((address) =>
        askUntilFound(address, { ...options, visited, hasEnded })
      ),
    );
  } catch {
    // All questions have ended without an answer.
    return null;
  } finally {
    isFound = true;
  }
}

async function askUntilFound(
  address: string,
  options: LeaderSearchOptions & { readonly visited: ReadonlySet<string> },
): Promise<string> {
  const { delays, hasEnded } = options;
  const delay = delays();
  while (!hasEnded()) {
    try {
      return await findLeader(address, options);
    } catch {
      // There is no leader yet; its loss was logged when it was detected.
      await pause(delay.next());
    }
  }
  throw new Error("the leader is no longer searched");
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

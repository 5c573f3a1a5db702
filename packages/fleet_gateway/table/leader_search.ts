import { setTimeout as pause } from "node:timers/promises";
import type { WatchAnswer } from "@kingcupglade/fleet_control";
import { LeaderDetours } from "./leader_detours.ts";
import { directPath } from "./leader_path.ts";
import type { LeaderPath } from "./leader_path.ts";

/** Asks the VM at the end of a path whether it leads. */
export type LeaderQuestion = (path: LeaderPath) => Promise<WatchAnswer>;

/** Options of {@link searchLeader}. */
export interface LeaderSearchOptions {
  readonly ask: LeaderQuestion;
  /** Addresses that are not asked, also if a VM names them. @default none */
  readonly excluded?: readonly string[];
  /** Returns the delays between two questions to one VM, in milliseconds. */
  readonly delays: () => { next(): number };
  /**
   * Returns the time after which a leader that is named and does not respond is
   * asked through the VMs that name it, in milliseconds. @default never
   */
  readonly detourDelayMilliseconds?: (leader: string) => number;
  /** Whether the leader is no longer searched. */
  readonly hasEnded: () => boolean;
}

/**
 * Returns a path to the leader, or null if the search ends before one responds.
 * Each VM is asked by itself: one that is powered off or cut off does not
 * respond, and must not delay the questions to the others.
 */
export async function searchLeader(
  addresses: ReadonlySet<string>,
  options: LeaderSearchOptions,
): Promise<LeaderPath | null> {
  const { ask, detourDelayMilliseconds } = options;
  const visited = new Set([...addresses, ...options.excluded ?? []]);
  let isFound = false;
  const hasEnded = () => isFound || options.hasEnded();
  const detours = detourDelayMilliseconds && new LeaderDetours({
    ask,
    delayMilliseconds: detourDelayMilliseconds,
    hasEnded,
  });
  const direct = Promise.any(
    [...addresses].map((address) =>
      askUntilFound(address, { ...options, visited, hasEnded, detours })
    ),
    // All questions have ended without an answer.
  ).then(directPath, () => null);
  try {
    return await Promise.race([direct, ...detours ? [detours.found] : []]);
  } finally {
    isFound = true;
  }
}

interface QuestionOptions extends Pick<LeaderSearchOptions, "ask"> {
  readonly visited: ReadonlySet<string>;
  readonly detours: LeaderDetours | undefined;
}

async function askUntilFound(
  address: string,
  options: LeaderSearchOptions & QuestionOptions,
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
  { ask, visited, detours }: QuestionOptions,
): Promise<string> {
  const response = await ask(directPath(address));
  if (response.kind === "leads") return address;
  const namedLeader = response.kind === "elsewhere" ? response.leader : null;
  if (namedLeader !== null) void detours?.tryPath(address, namedLeader);
  if (namedLeader === null || visited.has(namedLeader)) {
    throw new Error("another VM is the leader");
  }
  return await findLeader(namedLeader, {
    ask,
    visited: new Set([...visited, namedLeader]),
    detours,
  });
}

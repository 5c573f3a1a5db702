import { setTimeout as pause } from "node:timers/promises";
import type { WatchAnswer } from "@kingcupglade/fleet_control";
import { directPath } from "./leader_path.ts";
import type { DetourPath, LeaderPath } from "./leader_path.ts";

const minimumIntervalMilliseconds = 1000;
const maximumIntervalMilliseconds = 16_000;
/** A path that is lost again this soon did not work for all calls. */
const unsteadyMilliseconds = 10_000;

/** Intervals at which a gateway asks whether its own path to the leader works. */
export class DirectPathIntervals {
  #interval = minimumIntervalMilliseconds;
  #returnedAt = -Infinity;

  /** Returns the interval for a path that was left at `now`, in milliseconds. */
  next(now: number): number {
    this.#interval = now - this.#returnedAt < unsteadyMilliseconds
      ? Math.min(2 * this.#interval, maximumIntervalMilliseconds)
      : minimumIntervalMilliseconds;
    return this.#interval;
  }

  /** Records that the path is used again. */
  recordReturn(now: number): void {
    this.#returnedAt = now;
  }
}

/** Options of {@link awaitDirectPath}. */
export interface DirectPathOptions {
  /** Asks the VM at a peer address whether it leads. */
  readonly ask: (address: string) => Promise<WatchAnswer>;
  readonly intervalMilliseconds: number;
  /** Whether the path is no longer used. */
  readonly hasEnded: () => boolean;
}

/**
 * Returns a better path than one through another control VM: to the leader
 * itself once it responds, or to the next one, which the other VM finds by
 * itself. Returns null if the path is given up before.
 */
export async function awaitDirectPath(
  path: DetourPath,
  { ask, intervalMilliseconds, hasEnded }: DirectPathOptions,
): Promise<LeaderPath | null> {
  while (!hasEnded()) {
    await pause(intervalMilliseconds, undefined, { ref: false });
    const better = await findBetterPath(path, ask);
    if (better && !hasEnded()) return better;
  }
  return null;
}

async function findBetterPath(
  path: DetourPath,
  ask: DirectPathOptions["ask"],
): Promise<LeaderPath | null> {
  const { through } = path;
  const answer = await answerOf(through, ask);
  if (answer?.kind === "leads") return directPath(through);
  const named = answer?.kind === "elsewhere" ? answer.leader : null;
  const leader = named ?? path.leader;
  const answerOfLeader = await answerOf(leader, ask);
  if (answerOfLeader?.kind === "leads") return directPath(leader);
  return leader === path.leader ? null : { leader, through };
}

// That a VM is not reached was logged when the detour began.
function answerOf(
  address: string,
  ask: DirectPathOptions["ask"],
): Promise<WatchAnswer | null> {
  return ask(address).catch(() => null);
}

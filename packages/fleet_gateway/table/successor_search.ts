import { setTimeout as pause } from "node:timers/promises";
import type { LeaderPath } from "./leader_path.ts";
import { searchLeader } from "./leader_search.ts";
import type { LeaderQuestion } from "./leader_search.ts";

/**
 * While the first update of a leader is awaited, the other control VMs are asked
 * for another leader at this interval.
 */
const intervalMilliseconds = 200;

/**
 * Waits until another control VM than a leader leads; returns the path to it, or
 * null if the search ends before.
 */
export async function searchSuccessor(
  leader: string,
  options: {
    /** Peer addresses of all control VMs. */
    readonly control: ReadonlySet<string>;
    readonly ask: LeaderQuestion;
    /** Called with the address of each VM that names the leader. */
    readonly onNamed: (address: string) => void;
    readonly hasEnded: () => boolean;
  },
): Promise<LeaderPath | null> {
  const { control, ask, onNamed, hasEnded } = options;
  await pause(intervalMilliseconds);
  return await searchLeader(
    new Set([...control].filter((each) => each !== leader)),
    {
      ask: async (path) => {
        const answer = await ask(path);
        const isNamed = answer.kind === "elsewhere" && answer.leader === leader;
        if (isNamed) onNamed(path.leader);
        return answer;
      },
      excluded: [leader],
      delays: () => ({ next: () => intervalMilliseconds }),
      hasEnded,
    },
  );
}

import { readFile } from "node:fs/promises";

const leadershipEvent = "leadership-acquired";

/**
 * Returns when a control VM last became the leader, as `performance.now()`;
 * -Infinity if none did.
 *
 * @param logFiles Paths of the logs of all control VMs.
 */
export async function findLastLeaderChange(
  logFiles: readonly string[],
): Promise<number> {
  const texts = await Promise.all(
    logFiles.map((path) => readFile(path, "utf8")),
  );
  const moments = texts.flatMap((text) => text.split("\n"))
    .filter((line) => line.includes(`"${leadershipEvent}"`))
    .map((line) => JSON.parse(line) as { readonly timestamp: string })
    .map(({ timestamp }) => Date.parse(timestamp) - performance.timeOrigin);
  return Math.max(-Infinity, ...moments);
}

/**
 * Returns the name of the control VM that became the leader in the highest term;
 * undefined if none did.
 *
 * @param logFiles Paths of the logs of all control VMs, by name.
 */
export async function findLeader(
  logFiles: ReadonlyMap<string, string>,
): Promise<string | undefined> {
  const terms = await Promise.all(
    [...logFiles].map(async ([name, path]) => {
      const lines = (await readFile(path, "utf8")).split("\n");
      const last = lines.findLast((line) =>
        line.includes(`"${leadershipEvent}"`)
      );
      const { term } = JSON.parse(last ?? '{"term":0}') as {
        readonly term: number;
      };
      return { name, term };
    }),
  );
  const [leader] = terms.toSorted((left, right) => right.term - left.term);
  return leader && leader.term > 0 ? leader.name : undefined;
}

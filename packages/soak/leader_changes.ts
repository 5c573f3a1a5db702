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

import { closeSync, fstatSync, openSync, readSync } from "node:fs";
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

/** Follows in the logs of control VMs which of them leads. */
export class LeaderReader {
  readonly #logs: readonly {
    readonly name: string;
    readonly path: string;
    readBytes: number;
    /** Start of a line that was not written as a whole yet. */
    rest: string;
  }[];
  /** Number of times that a VM became the leader, as read so far. */
  count = 0;
  #leader: { readonly name: string; readonly term: number } | undefined;

  /** @param logFiles Paths of the logs, by the names of the VMs. */
  constructor(logFiles: ReadonlyMap<string, string>) {
    this.#logs = [...logFiles].map(([name, path]) => ({
      name,
      path,
      readBytes: 0,
      rest: "",
    }));
  }

  /**
   * Reads what was written since the last call. Returns the name of the VM that
   * became the leader in the highest term; undefined if none did.
   */
  read(): string | undefined {
    for (const log of this.#logs) {
      const bytes = readFrom(log.path, log.readBytes);
      log.readBytes += bytes.length;
      const lines = `${log.rest}${bytes.toString()}`.split("\n");
      log.rest = lines.pop()!;
      for (const line of lines) {
        if (!line.includes(`"${leadershipEvent}"`)) continue;
        this.count += 1;
        const { term } = JSON.parse(line) as { readonly term: number };
        if (term > (this.#leader?.term ?? 0)) {
          this.#leader = { name: log.name, term };
        }
      }
    }
    return this.#leader?.name;
  }
}

function readFrom(path: string, position: number): Buffer {
  const file = openSync(path, "r");
  try {
    const bytes = Buffer.alloc(fstatSync(file).size - position);
    return bytes.subarray(0, readSync(file, bytes, { position }));
  } finally {
    closeSync(file);
  }
}

import type { Configuration, ConsensusState, LogEntry } from "./types.ts";

type Log = Pick<ConsensusState, "snapshot" | "entries">;

/** Returns the index of the last entry. */
export function lastIndex(log: Log): number {
  return log.snapshot.index + log.entries.length;
}

/** Returns the term of the last entry. */
export function lastTerm(log: Log): number {
  return log.entries.at(-1)?.term ?? log.snapshot.term;
}

/** Returns the term of the entry at `index`, or null if the log lacks it. */
export function termAt(log: Log, index: number): number | null {
  if (index === log.snapshot.index) return log.snapshot.term;
  return log.entries[index - log.snapshot.index - 1]?.term ?? null;
}

/** Returns the entries from `first` to `last`, both inclusive. */
export function entriesBetween(
  log: Log,
  first: number,
  last: number,
): readonly LogEntry[] {
  const offset = log.snapshot.index + 1;
  return log.entries.slice(Math.max(0, first - offset), last - offset + 1);
}

/** Returns the current configuration: the latest in the log, even uncommitted. */
export function configurationOf(log: Log): Configuration {
  return latestConfigurationEntry(log)?.configuration ??
    log.snapshot.configuration;
}

/** Returns the latest configuration entry after the snapshot. */
export function latestConfigurationEntry(log: Log): LogEntry | undefined {
  return log.entries.findLast((entry) => entry.configuration !== undefined);
}

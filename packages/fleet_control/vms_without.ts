import { configurationOf } from "@kingcupglade/consensus";
import type { ConsensusState } from "@kingcupglade/consensus";
import type { Feature } from "./feature.ts";
import type { Greeting } from "./greeting.ts";

/**
 * Returns the replicas of the log that lack a feature: all of them apply the same
 * entries. Those that have sent no greeting count as well until the feature is in
 * use. After that they do not: they had it when it came into use, and one that is
 * lost must not keep operators from changes.
 */
export function vmsWithout(
  feature: Feature,
  { consensus, greetings, isInUse }: {
    /** Undefined while this VM has no replica. */
    readonly consensus: ConsensusState | undefined;
    /** The latest greetings of the other control VMs. */
    readonly greetings: ReadonlyMap<string, Greeting>;
    /** Whether the log has entries that need the feature. */
    readonly isInUse: boolean;
  },
): readonly string[] {
  if (!consensus) return [];
  const { voters, learners } = configurationOf(consensus);
  const byReplica = new Map(
    [...greetings.values()].map((each) => [each.replica, each]),
  );
  return [...voters, ...learners].filter((each) => {
    if (each === consensus.self) return false;
    const greeting = byReplica.get(each);
    return greeting ? greeting.features?.includes(feature) !== true : !isInUse;
  });
}

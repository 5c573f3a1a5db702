import { configurationOf } from "@kingcupglade/consensus";
import type { ConsensusState } from "@kingcupglade/consensus";
import type { Feature } from "./feature.ts";
import type { Greeting } from "./greeting.ts";

/**
 * Returns the replicas of the log that lack a feature, or have not said that they
 * have it: all of them apply the same entries.
 */
export function vmsWithout(
  feature: Feature,
  { consensus, greetings }: {
    /** Undefined while this VM has no replica. */
    readonly consensus: ConsensusState | undefined;
    /** The latest greetings of the other control VMs. */
    readonly greetings: ReadonlyMap<string, Greeting>;
  },
): readonly string[] {
  if (!consensus) return [];
  const { voters, learners } = configurationOf(consensus);
  const supporting = new Set(
    [...greetings.values()].filter(({ features }) =>
      features?.includes(feature)
    ).map(({ replica }) => replica),
  );
  return [...voters, ...learners].filter((each) =>
    each !== consensus.self && !supporting.has(each)
  );
}

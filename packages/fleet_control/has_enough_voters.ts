import { configurationOf } from "@kingcupglade/consensus";
import type { ConsensusState } from "@kingcupglade/consensus";

/**
 * Time to gather the voters that make an acknowledgement durable; after that, a
 * smaller replica set is taken as complete.
 */
const voterGatherMilliseconds = 5000;

/**
 * Whether a leader may acknowledge changes: they must be stored in one more data
 * folder than may be lost, which a majority of this many voters ensures.
 */
export function hasEnoughVoters(
  consensus: ConsensusState,
  { toleratedLosses, now }: {
    readonly toleratedLosses: number;
    readonly now: number;
  },
): boolean {
  return toleratedLosses === 0 ||
    configurationOf(consensus).voters.length >= toleratedLosses * 2 + 1 ||
    now - consensus.leadingSince > voterGatherMilliseconds;
}

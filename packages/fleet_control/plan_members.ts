import {
  configurationOf,
  isCaughtUp,
  isConfigurationSettled,
  planVoters,
} from "@kingcupglade/consensus";
import type {
  Configuration,
  ConsensusState,
  ReplicaStatus,
} from "@kingcupglade/consensus";
import { vmOfReplica } from "@kingcupglade/replica";
import type { ReceivedGreeting } from "./known_peers.ts";

/** A standby that has sent no greeting for this long is not added. */
const availableMilliseconds = 2500;
/**
 * Silence after which a voter is replaced if a standby is available. The
 * replacement must vote within the time in which its predecessor still counts
 * as lost.
 */
const lostMilliseconds = 1500;

/** Returns the next change of the replica set, or null if none is needed. */
export function planMembers(options: {
  readonly consensus: ConsensusState;
  readonly greetings: readonly ReceivedGreeting[];
  readonly voters: number;
  readonly now: number;
}): Configuration | null {
  const { consensus, greetings, voters, now } = options;
  if (!isConfigurationSettled(consensus)) return null;
  const configuration = configurationOf(consensus);
  const members = [...configuration.voters, ...configuration.learners];
  const byAddress = new Map(
    greetings.map((each) => [each.greeting.peerAddress, each]),
  );
  const known = new Set([
    ...members,
    ...greetings.map(({ greeting }) => greeting.replica),
  ]);
  const statuses = [...known].map((replica): ReplicaStatus => {
    const received = byAddress.get(vmOfReplica(replica));
    const isCurrent = received?.greeting.replica === replica;
    const isMember = members.includes(replica);
    return {
      replica,
      region: received?.greeting.region ?? "",
      dataCentre: received?.greeting.dataCentre ?? "",
      isAvailable: isCurrent &&
        now - received.receivedAt < availableMilliseconds,
      // A folder that was recreated at this address has lost its votes.
      isLost: (received !== undefined && !isCurrent) ||
        (isMember && isSilent(consensus, replica, now)),
      isCaughtUp: isCaughtUp(consensus, replica, now),
    };
  });
  return planVoters({
    configuration,
    self: consensus.self,
    voters,
    statuses: statuses,
  });
}

function isSilent(
  consensus: ConsensusState,
  replica: string,
  now: number,
): boolean {
  if (replica === consensus.self) return false;
  const progress = consensus.progress.get(replica);
  if (progress?.hasForgotten) return true;
  const answeredAt = Math.max(
    progress?.answeredAt ?? -Infinity,
    consensus.leadingSince,
  );
  return now - answeredAt > lostMilliseconds;
}

import { packValue, unpackValue } from "@kingcupglade/fleet_control";
import type {
  PeerClients,
  SuspectCall,
  SuspectReply,
} from "@kingcupglade/fleet_control";
import { Fleet } from "@kingcupglade/protocol";

/** A leader in another region responds well within this time. */
const timeoutMilliseconds = 300;

/** No control leader is known. */
export class ControlUnavailableError extends Error {
  override readonly name = "ControlUnavailableError";

  constructor() {
    super("no control leader is known");
  }
}

/**
 * Sends a call about a suspect to the control leader.
 *
 * @throws {ControlUnavailableError} while no leader is known.
 */
export async function callLeader(
  call: SuspectCall,
  { clients, leader }: {
    readonly clients: PeerClients;
    /** Peer address of the leader; null while it is unknown. */
    readonly leader: string | null;
  },
): Promise<SuspectReply> {
  if (leader === null) throw new ControlUnavailableError();
  const { reply } = await clients.client(leader, Fleet).suspect(
    { call: packValue(call) },
    { timeoutMs: timeoutMilliseconds },
  );
  return unpackValue(reply);
}

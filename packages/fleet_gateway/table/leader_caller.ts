import { packValue, unpackValue } from "@kingcupglade/fleet_control";
import type {
  PeerClients,
  SuspectCall,
  SuspectReply,
} from "@kingcupglade/fleet_control";
import { Fleet } from "@kingcupglade/protocol";
import type { QuotaCall, QuotaReply } from "@kingcupglade/quotas";

/** A leader in another region responds well within this time. */
const timeoutMilliseconds = 300;

/** No control leader is known. */
export class ControlUnavailableError extends Error {
  override readonly name = "ControlUnavailableError";

  constructor() {
    super("no control leader is known");
  }
}

/** How the control leader is reached. */
interface LeaderAccess {
  readonly clients: PeerClients;
  /** Peer address of the leader; null while it is unknown. */
  readonly leader: string | null;
}

/**
 * Sends a call about a suspect to the control leader.
 *
 * @throws {ControlUnavailableError} while no leader is known.
 */
export async function callLeader(
  call: SuspectCall,
  { clients, leader }: LeaderAccess,
): Promise<SuspectReply> {
  if (leader === null) throw new ControlUnavailableError();
  const { reply } = await clients.client(leader, Fleet).suspect(
    { call: packValue(call) },
    { timeoutMs: timeoutMilliseconds },
  );
  return unpackValue(reply);
}

/**
 * Asks the control leader for more of the limits that all gateways share.
 *
 * @throws {ControlUnavailableError} while no leader is known.
 */
export async function callLeaderForQuota(
  call: QuotaCall,
  { clients, leader }: LeaderAccess,
): Promise<QuotaReply> {
  if (leader === null) throw new ControlUnavailableError();
  const { reply } = await clients.client(leader, Fleet).quota(
    { call: packValue(call) },
    { timeoutMs: timeoutMilliseconds },
  );
  return unpackValue(reply);
}

import { packValue, unpackValue } from "@kingcupglade/fleet_control";
import type {
  PeerClients,
  SuspectCall,
  SuspectReply,
} from "@kingcupglade/fleet_control";
import { Fleet } from "@kingcupglade/protocol";
import type { QuotaCall, QuotaReply } from "@kingcupglade/quotas";
import { firstVm } from "./leader_path.ts";
import type { LeaderPath } from "./leader_path.ts";

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
  /** Path to the leader; null while it is unknown. */
  readonly path: LeaderPath | null;
}

/**
 * Sends a call about a suspect to the control leader.
 *
 * @throws {ControlUnavailableError} while no leader is known.
 */
export async function callLeader(
  call: SuspectCall,
  { clients, path }: LeaderAccess,
): Promise<SuspectReply> {
  if (path === null) throw new ControlUnavailableError();
  const { reply } = await clients.client(firstVm(path), Fleet).suspect(
    { call: packValue(call), forward: path.through !== null },
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
  { clients, path }: LeaderAccess,
): Promise<QuotaReply> {
  if (path === null) throw new ControlUnavailableError();
  const { reply } = await clients.client(firstVm(path), Fleet).quota(
    { call: packValue(call), forward: path.through !== null },
    { timeoutMs: timeoutMilliseconds },
  );
  return unpackValue(reply);
}

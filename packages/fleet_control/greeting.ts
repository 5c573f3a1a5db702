import { decodeValue, WireError } from "@kingcupglade/protocol";
import { vmOfReplica } from "@kingcupglade/replica";
import { isAddress } from "@kingcupglade/transport";
import { z } from "zod";
import type { PeerTime } from "./received_call.ts";

/** Description of a control VM that it sends to the others. */
export interface Greeting {
  /**
   * ID of its replica: the peer address and the incarnation of its data folder.
   */
  readonly replica: string;
  /** Address at which targets and operators reach it, as IP:PORT. */
  readonly controlAddress: string;
  /** Address at which the other VMs reach it, as IP:PORT. */
  readonly peerAddress: string;
  readonly dataCentre: string;
  readonly region: string;
  /**
   * Whether its data folder belongs to a replica set, or it serves as a
   * standby.
   */
  readonly isMember: boolean;
  /**
   * Replicas of the first replica set, as long as the log starts with it; empty
   * otherwise.
   */
  readonly founders: readonly string[];
  /** Peer addresses of the control VMs that it knows. */
  readonly known: readonly string[];
  /**
   * Time on its clock when the greeting was created; absent in greetings of
   * releases that do not send it.
   */
  readonly time?: PeerTime;
  /** Values of `Feature`; absent in greetings of releases without them. */
  readonly features?: readonly string[];
}

const address = z.string().refine(isAddress);
const replica = z.string().refine((id) => isAddress(vmOfReplica(id)));

/** Other fields may come from a later release. */
const greetingSchema = z.looseObject({
  replica,
  controlAddress: address,
  peerAddress: address,
  dataCentre: z.string(),
  region: z.string(),
  isMember: z.boolean(),
  founders: z.array(replica),
  known: z.array(address),
  time: z.looseObject({ process: z.string(), milliseconds: z.number() })
    .optional(),
  features: z.array(z.string()).optional(),
});

/**
 * Decodes a greeting. Its content is kept for later decisions, so it is checked
 * when it arrives.
 *
 * @throws {WireError} when it is not a greeting.
 */
export function decodeGreeting(bytes: Uint8Array): Greeting {
  const { success, data, error } = greetingSchema.safeParse(decodeValue(bytes));
  if (success) return data as Greeting;
  throw new WireError("a message of another VM is no greeting", {
    cause: error,
  });
}

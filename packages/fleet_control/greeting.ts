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
}

/** What a control VM tells the others of itself. */
export interface Greeting {
  /** Its replica: the peer address and the incarnation of its data folder. */
  readonly replica: string;
  /** Where targets and operators reach it, as IP:PORT. */
  readonly controlAddress: string;
  /** Where the other VMs reach it, as IP:PORT. */
  readonly peerAddress: string;
  readonly dataCentre: string;
  readonly region: string;
  /** Whether its data folder belongs to a replica set, or serves as a spare. */
  readonly isMember: boolean;
  /** The first replica set, while the log still starts with it. */
  readonly founders: readonly string[];
  /** Peer addresses of the control VMs that it knows. */
  readonly known: readonly string[];
}

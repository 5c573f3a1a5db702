import type { Grant } from "./grants.ts";
import type { LoadView } from "./load.ts";

/** What the leader knows about a VM beyond the replicated state. */
export interface VmView {
  /**
   * Whether the routing lease has lapsed, so that the VM can no longer act on
   * it.
   */
  readonly lapsed: boolean;
  /** When the lease lapses, on the leader's clock, in milliseconds. */
  readonly lapsesAt: number;
  /** Table version that the VM routes by; 0 until it has reported one. */
  readonly appliedVersion: number;
  /**
   * Table version for which no request that began under an older version is
   * still in progress on the VM.
   */
  readonly quiescentVersion: number;
}

/** What the leader knows about a target beyond the replicated state. */
export interface TargetView {
  /** Whether the target can no longer act on its grants. */
  readonly lapsed: boolean;
  /**
   * Upper bound of the grants that the target holds; null while it is unknown,
   * such as during a push of grants.
   */
  readonly held: readonly Grant[] | null;
  /**
   * Whether the target has confirmed a push under this lease.
   * @default whether `held` is known
   */
  readonly acceptsGrants?: boolean;
  /** When the lease lapses or lapsed, in milliseconds. @default long ago */
  readonly lapsesAt?: number;
}

/** The leader's knowledge that is not replicated. */
export interface LeaderView {
  readonly vm: (name: string) => VmView;
  readonly target: (id: string) => TargetView;
  /** Time on the leader's clock, in milliseconds. @default 0 */
  readonly now?: number;
  /**
   * When a VM with requests in progress was last lost, on the leader's clock,
   * in milliseconds.
   * @default long ago
   */
  readonly lastVmLossAt?: number;
  /** Load observed by the gateways. @default none */
  readonly loads?: LoadView;
}

import type { ExternalCall, ExternalRequest } from "./control_wire.ts";

/** Time on the clock of one process of a VM. */
export interface PeerTime {
  /** Identifies the process, as each has a clock of its own. */
  readonly process: string;
  /** Monotonic milliseconds. */
  readonly milliseconds: number;
}

/** An external call with what this VM knows of the time at which it was sent. */
export interface ReceivedCall {
  readonly request: ExternalRequest;
  /** Local time at which the call was read, in milliseconds. */
  readonly readAt: number;
  /** Longest time for which the call may have waited until it was read. */
  readonly delayMilliseconds: number;
  /**
   * Log entry up to which the VM that read the call from its sender had applied
   * the log; null if it keeps no log or did not say so.
   */
  readonly knownIndex: number | null;
}

/** A call as relayed to the leader. */
export interface RelayedCall extends ExternalRequest {
  /** Absent in calls relayed by releases that do not send it. */
  readonly receipt?: CallReceipt;
}

/** What a follower tells the leader about the age of a call. */
export interface CallReceipt {
  /** Longest time for which the call may have waited until it was relayed. */
  readonly ageMilliseconds: number;
  /** See {@link ReceivedCall.knownIndex}. */
  readonly knownIndex: number | null;
  /**
   * Earliest time on the clock of the leader at which the call may have been
   * relayed; null if its clock is unknown.
   */
  readonly sentAt: PeerTime | null;
}

/** Returns the longest time since a call was sent, in milliseconds. */
export function ageOf(call: ReceivedCall, now: number): number {
  return call.delayMilliseconds + now - call.readAt;
}

/**
 * Whether an older call can be told from a newer one, by versions or starts, or is
 * harmless.
 */
export function isVersioned(call: ExternalCall): boolean {
  switch (call.kind) {
    case "evacuate":
    case "announce":
      return false;
    case "leave":
      return call.bornAt !== null;
    default:
      return true;
  }
}

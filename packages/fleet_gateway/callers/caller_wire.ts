import type { IncomingHttpHeaders } from "node:http";
import type { LoadReport } from "@kingcupglade/dispatch";

/** Fields decoded from the headers of a caller's request. */
export interface CallerRequestHead {
  /** ID of the caller's attempt; empty when the caller sends none. */
  readonly requestId: string;
  /** How long the caller waits; undefined when it sets no deadline. */
  readonly deadlineMilliseconds: number | undefined;
  /** Position of the request's key, for a keyed service. */
  readonly position: number | undefined;
  /** Credentials that the caller presents; empty if it presents none. */
  readonly caller: string;
}

/** Fields decoded from the headers of a target's response. */
export interface TargetResponseHead {
  /** ID of the request that is answered; empty when the response has none. */
  readonly requestId: string;
  /** Whether the target states that the request did not run and never will. */
  readonly didNotRun: boolean;
  /** Whether callers take the status for such a statement. */
  readonly seemsNotRun: boolean;
  /** Whether the target signed the response. */
  readonly isSigned: boolean;
  readonly load: LoadReport | undefined;
  /**
   * Requests per second that the target accepts from all gateways together;
   * undefined when it names no limit.
   */
  readonly maximumRequestsPerSecond: number | undefined;
  /** Whether the target says that it is about to leave. */
  readonly isLeaving: boolean;
  /**
   * Time for which a target that turned the request away wants none from this
   * gateway; undefined when it names none.
   */
  readonly pauseMilliseconds: number | undefined;
  /** Whether a header that says one of these has an unknown value. */
  readonly hasUnreadableNotice: boolean;
  /**
   * Whether the target marked the end of the body by that of its connection
   * alone, although the gateway that relays the response marks it otherwise.
   */
  readonly isOpenAtTarget?: boolean;
}

/** Decodes and encodes the headers that callers and targets use. */
export abstract class CallerWire {
  /**
   * Names, in lower case, of headers that carry keys or the names of workspaces.
   * Once keys are required, only a gateway sets them towards targets.
   */
  abstract readonly guardedHeaders: ReadonlySet<string>;
  abstract readRequest(headers: IncomingHttpHeaders): CallerRequestHead;
  /**
   * Returns the bytes of the key that a caller presents; undefined if there is
   * none that can be read, or more than one.
   *
   * @param rawHeaders Names and values, alternating, as received.
   */
  abstract readKey(rawHeaders: readonly string[]): Uint8Array | undefined;
  abstract readResponse(
    status: number,
    headers: IncomingHttpHeaders,
  ): TargetResponseHead;
  /** Returns headers that replace the caller's headers of the same names. */
  abstract targetHeaders(request: {
    readonly target: string;
    readonly deadlineMilliseconds: number;
    /** Name of the workspace; undefined for requests that need no key. */
    readonly workspace?: string;
  }): Readonly<Record<string, string>>;
}

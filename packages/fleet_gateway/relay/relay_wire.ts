import type { IncomingHttpHeaders } from "node:http";
import { CallerWire } from "../callers/caller_wire.ts";
import type {
  CallerRequestHead,
  TargetResponseHead,
} from "../callers/caller_wire.ts";
import {
  decodeRelayReply,
  openRelayFraming,
  relayFramingHeader,
  relayHeader,
} from "./relay_message.ts";

/**
 * Reads the responses of other gateways to relayed requests. What the target
 * said in the response is read separately.
 */
export class RelayWire extends CallerWire {
  readonly #targetWire: CallerWire;

  constructor(targetWire: CallerWire) {
    super();
    this.#targetWire = targetWire;
  }

  override get guardedHeaders(): ReadonlySet<string> {
    return this.#targetWire.guardedHeaders;
  }

  override readKey(rawHeaders: readonly string[]): Uint8Array | undefined {
    return this.#targetWire.readKey(rawHeaders);
  }

  override readRequest(headers: IncomingHttpHeaders): CallerRequestHead {
    return this.#targetWire.readRequest(headers);
  }

  override readResponse(
    _status: number,
    headers: IncomingHttpHeaders,
  ): TargetResponseHead {
    return {
      requestId: replyId(headers[relayHeader]),
      didNotRun: false,
      // The other gateway has read the target's statement.
      seemsNotRun: false,
      isSigned: false,
      load: undefined,
      maximumRequestsPerSecond: undefined,
      isLeaving: false,
      pauseMilliseconds: undefined,
      hasUnreadableNotice: false,
      isOpenAtTarget: headers[relayFramingHeader] === openRelayFraming,
    };
  }

  override targetHeaders(): Readonly<Record<string, string>> {
    return {};
  }
}

// A response without a readable header belongs to no request.
function replyId(header: unknown): string {
  try {
    return decodeRelayReply(header).id;
  } catch {
    return "";
  }
}

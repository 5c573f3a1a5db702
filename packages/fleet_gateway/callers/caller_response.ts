import type { IncomingHttpHeaders, ServerResponse } from "node:http";
import {
  closeAfterBody,
  hasCallerLeft,
  onExchangeEnd,
} from "@kingcupglade/transport";
import type { ResponseHead, ResponseStream } from "../exchanges/exchange.ts";
import { LinkDirection } from "../link/link_direction.ts";
import { isLargeResponse } from "../link/link_passage.ts";
import type { LinkPassage } from "../link/link_passage.ts";
import { PacedWriter } from "../link/paced_writer.ts";
import {
  encodeRelayReply,
  openRelayFraming,
  RelayDecision,
  relayFramingCoding,
  relayFramingHeader,
  relayHeader,
} from "../relay/relay_message.ts";
import { BodyFraming, framingToSend } from "./response_framing.ts";
import { discardBody, isBodyDiscardable } from "./unread_body.ts";

/**
 * Not forwarded: headers that concern one connection, and the length, which is
 * set anew.
 */
const excludedHeaders: ReadonlySet<string> = new Set([
  "connection",
  "content-length",
  "keep-alive",
  relayFramingHeader,
  relayHeader,
  "proxy-authenticate",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** Bytes of a typical head and of its packets' headers. */
const headBytes = 400;

/** A response that the gateway generates itself. */
export interface GatewayResponse {
  readonly status: number;
  readonly reason: string;
  /** Delay after which the caller should retry. */
  readonly retryAfterMilliseconds?: number;
  /** Scheme in which a caller that was not accepted presents its key. */
  readonly challenge?: string;
}

/** How a target's response was passed on. */
export interface SentResponse {
  /** What marks the end of the body for the caller. */
  readonly sent: BodyFraming;
  /** Whether it was sent before its end was known. */
  readonly isStreamed: boolean;
  /** Length of the part of the body that was passed on. */
  readonly bytes: number;
}

/** The response to a caller. */
export class CallerResponse implements ResponseStream {
  readonly #response: ServerResponse;
  readonly #relayId: string | undefined;
  #target = "";
  #framing: BodyFraming = BodyFraming.none;
  #isStreamed = false;
  /** Whether a response of the gateway was sent in place of the target's. */
  #isReplaced = false;
  #bytes = 0;
  #passage: LinkPassage | undefined;
  #writer: PacedWriter | undefined;

  /** @param relayId ID of a request that another gateway relays. */
  constructor(response: ServerResponse, relayId?: string) {
    this.#response = response;
    this.#relayId = relayId;
  }

  /**
   * Passage of the response over the link of this gateway; undefined if it is
   * not paced. Ends with the response.
   */
  get passage(): LinkPassage | undefined {
    return this.#passage;
  }

  set passage(passage: LinkPassage | undefined) {
    this.#passage = passage;
    if (passage) passage.onLetGo = () => this.fail();
    this.onClosed(() => {
      // A body of which only a part was written cannot be continued.
      if (this.#writer?.pendingBytes) this.#response.destroy();
      this.#writer?.discard();
      passage?.end();
    });
  }

  /** Whether the caller has received a part of a response. */
  get hasStarted(): boolean {
    return this.#response.headersSent;
  }

  /** Names the target whose response follows. */
  set target(name: string) {
    this.#target = name;
  }

  /** What the caller can tell of a target's response that was sent. */
  get sent(): SentResponse {
    return {
      sent: this.#framing,
      isStreamed: this.#isStreamed,
      bytes: this.#bytes,
    };
  }

  /** Tells the gateway that relayed the request that it was sent nowhere. */
  rejectRelay(
    decision: Exclude<RelayDecision, typeof RelayDecision.taken>,
    reason: string,
  ): void {
    this.#respond({ status: 503, reason }, decision);
  }

  /** Whether the caller has disconnected or the response is complete. */
  get isClosed(): boolean {
    return this.#response.destroyed || this.#response.writableEnded ||
      hasCallerLeft(this.#response.req);
  }

  /** Calls back once when nothing more is sent to the caller. */
  onClosed(listener: () => void): void {
    onExchangeEnd(this.#response, listener);
  }

  /**
   * Whether a part of the response would look whole to the caller if this VM
   * were lost while it passes the response on.
   */
  wouldLookWhole(head: ResponseHead): boolean {
    return this.#framingOf(head, false) === BodyFraming.connection;
  }

  /** Forwards a target's response whose end was received. */
  forward(head: ResponseHead, body: Buffer): void {
    if (this.isClosed) return;
    this.#framing = this.#framingOf(head, true);
    if (this.#replaceIfClosing()) return;
    this.#bytes = body.length;
    this.#writeHead(head, lengthOf(head, { body, framing: this.#framing }));
    this.#passage?.recordReceived(body.length);
    if (!this.#passage || !isLargeResponse(body.length)) {
      return this.#end(body, body.length);
    }
    this.#openWriter(this.#passage).write(body);
    this.#end();
  }

  #openWriter(passage: LinkPassage): PacedWriter {
    return this.#writer = new PacedWriter({
      response: this.#response,
      passage,
      isIndivisible: !this.#isStreamed &&
        this.#framing === BodyFraming.connection,
    });
  }

  /** Sends a response generated by the gateway. */
  respond(response: GatewayResponse): void {
    this.#target = "";
    this.#respond(response, RelayDecision.taken);
  }

  #respond(
    response: GatewayResponse,
    decision: RelayDecision,
  ): void {
    if (this.isClosed || this.#response.headersSent) return;
    this.#setRelayReply(decision);
    // Node.js writes a head and a body that is text at once.
    const body = `${JSON.stringify({ reason: response.reason })}\n`;
    const length = Buffer.byteLength(body);
    this.#closeAfterLongBody();
    // A list is written as it is; headers that are set one by one are first kept.
    const headers: string[] = [];
    if (response.retryAfterMilliseconds !== undefined) {
      headers.push(
        "retry-after",
        (response.retryAfterMilliseconds / 1000).toFixed(3),
      );
    }
    if (response.challenge !== undefined) {
      headers.push("www-authenticate", response.challenge);
    }
    headers.push("content-type", "application/json");
    headers.push("content-length", String(length));
    this.#response.writeHead(response.status, headers);
    this.#framing = BodyFraming.length;
    this.#end(body, length);
  }

  #closeAfterLongBody(): void {
    const { req: request } = this.#response;
    if (request.complete || isBodyDiscardable(request)) return;
    this.#response.setHeader("connection", "close");
    this.#response.shouldKeepAlive = false;
  }

  // The end of the connection would cut off responses that follow on it.
  #replaceIfClosing(): boolean {
    const mayBeSent = this.#framing !== BodyFraming.connection ||
      closeAfterBody(this.#response);
    if (mayBeSent) return false;
    this.#isReplaced = true;
    this.respond({
      status: 502,
      reason: "the end of the response is that of the connection, on which " +
        "others follow",
    });
    return true;
  }

  // Ends the response once the request's body is read: Node.js may close the
  // connection then. The end of a response without a length cannot wait, as the
  // caller would wait for it.
  #end(body?: Buffer | string, length = 0): void {
    const { req: request } = this.#response;
    this.#passage?.countSmall(LinkDirection.outbound, headBytes + length);
    if (request.complete) {
      return this.#afterWriting(() => this.#response.end(body));
    }
    this.#response.flushHeaders();
    if (body) this.#response.write(body);
    const discarded = discardBody(request);
    const isDelimited = this.#framing === BodyFraming.length ||
      this.#framing === BodyFraming.none;
    if (!isDelimited) return this.#afterWriting(() => this.#response.end());
    void discarded.then(() =>
      this.#afterWriting(() => {
        if (request.complete) this.#response.end();
        else this.#response.end(() => request.socket.destroy());
      })
    );
  }

  /** Calls back once the slices of a large body were written. */
  #afterWriting(end: () => void): void {
    if (this.#writer) this.#writer.end(end);
    else end();
  }

  /** Begins a response that is streamed. */
  begin(head: ResponseHead, first: readonly Buffer[]): void {
    this.#framing = this.#framingOf(head, false);
    if (this.#replaceIfClosing()) return;
    this.#isStreamed = true;
    this.#writeHead(head, head.headers["content-length"]);
    if (this.#passage) this.#openWriter(this.#passage);
    for (const chunk of first) this.write(chunk);
  }

  #framingOf(
    { framing: received }: ResponseHead,
    isWhole: boolean,
  ): BodyFraming {
    const { httpVersion } = this.#response.req;
    const framing = framingToSend({ received, httpVersion, isWhole });
    return framing === BodyFraming.connection && this.#canMarkFraming
      ? BodyFraming.chunks
      : framing;
  }

  // The other gateway tells the loss of this one from the end of the body, and
  // passes on the form that the target used.
  get #canMarkFraming(): boolean {
    return this.#relayId !== undefined &&
      this.#response.req.headers.te === relayFramingCoding;
  }

  #writeHead(head: ResponseHead, length: string | undefined): void {
    const headers = forwardedHeaders(head.headers);
    if (length !== undefined) headers.push("content-length", length);
    if (
      head.framing === BodyFraming.connection &&
      this.#framing === BodyFraming.chunks
    ) headers.push(relayFramingHeader, openRelayFraming);
    if (this.#framing === BodyFraming.connection) {
      this.#response.useChunkedEncodingByDefault = false;
      headers.push("connection", "close");
    }
    this.#setRelayReply(RelayDecision.taken);
    this.#closeAfterLongBody();
    this.#response.writeHead(head.status, headers);
  }

  #setRelayReply(decision: RelayDecision): void {
    if (this.#relayId === undefined) return;
    this.#response.setHeader(
      relayHeader,
      encodeRelayReply({ id: this.#relayId, decision, target: this.#target }),
    );
  }

  write(chunk: Buffer): boolean {
    if (this.#isReplaced) return true;
    this.#bytes += chunk.length;
    return (this.#writer ?? this.#response).write(chunk);
  }

  onDrain(listener: () => void): void {
    if (this.#writer) return this.#writer.onDrain(listener);
    this.#response.once("drain", listener);
  }

  end(): void {
    if (!this.#isReplaced) this.#end();
  }

  // Closing the connection is the only way to signal an incomplete body. Where
  // its end marks the end of the body, only a reset is no end of it.
  fail(): void {
    if (this.#isReplaced) return;
    this.#writer?.discard();
    if (this.#framing === BodyFraming.connection) {
      this.#response.socket?.resetAndDestroy();
    }
    this.#response.destroy();
  }
}

/** Returns the length that a response of which all was received states. */
function lengthOf(
  { status, headers }: ResponseHead,
  { body, framing }: { readonly body: Buffer; readonly framing: BodyFraming },
): string | undefined {
  switch (framing) {
    case BodyFraming.length:
      return String(body.length);
    case BodyFraming.none:
      // That of the body which the response would have had; 204 has none.
      return status === 204 ? undefined : headers["content-length"];
    default:
      return undefined;
  }
}

function forwardedHeaders(headers: IncomingHttpHeaders): string[] {
  const forwarded: string[] = [];
  for (const [name, value] of Object.entries(headers)) {
    if (excludedHeaders.has(name) || value === undefined) continue;
    for (const each of [value].flat()) forwarded.push(name, each);
  }
  return forwarded;
}

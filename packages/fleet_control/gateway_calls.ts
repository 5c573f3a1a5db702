import type { Client } from "@connectrpc/connect";
import { Fleet } from "@kingcupglade/protocol";
import type { QuotaReply } from "@kingcupglade/quotas";
import type { Logger } from "@kingcupglade/telemetry";
import { describeFailure } from "@kingcupglade/telemetry";
import type { Leadership } from "./external_call_handler.ts";
import type { LeaderSession } from "./leader_session.ts";
import { packValue, unpackValue } from "./packed_value.ts";
import type { PeerClients } from "./peer_clients.ts";
import type { SuspectReply } from "./suspect_call.ts";
import type { Watch, WatchAnswer } from "./watch.ts";
import { answerWatch } from "./watch_call.ts";
import type { EncodedWatchResponse } from "./watch_call.ts";
import { decodeWatch, encodeWatchAnswer } from "./watch_codec.ts";

/**
 * Watches that are forwarded at the same time, those of some hundred gateways,
 * shared by the followers; the same number of other calls.
 */
export const maximumForwardedCalls = 128;
/** Each forwarded call takes a connection. */
export const forwardingConnections = 2 * maximumForwardedCalls;
/** A leader in another region responds well within this time. */
const forwardTimeoutMilliseconds = 300;
/** Sufficient for a table of several thousand items on a 2 Mbit/s link. */
const watchTimeoutMilliseconds = 5000;

/** Calls that are forwarded to the leader, by what ends them. */
type Forwarded = Set<AbortController>;

/** A call as a gateway sends it. */
interface GatewayCall {
  readonly call: Uint8Array;
  /** Whether a VM that does not lead forwards the call to the leader. */
  readonly forward: boolean;
}

/** The connection on which a gateway sends a call. */
interface GatewayConnection {
  /** Aborted when the gateway closes the connection. */
  readonly signal: AbortSignal;
}

/** Sends a call to the leader. */
type SendCall<Response> = (
  leader: Client<typeof Fleet>,
  options: { readonly timeoutMs: number; readonly signal: AbortSignal },
) => Promise<Response>;

/** Leadership as {@link GatewayCalls} uses it. */
export interface GatewayCallLeadership
  extends Pick<Leadership, "session" | "isLeading" | "leaderAddress"> {
  /** The state of the leader; undefined if this VM does not answer as such. */
  readonly watchedSession: LeaderSession | undefined;
  /** Response to the watches that another VM has to answer. */
  readonly redirect: WatchAnswer;
}

/** Options of {@link GatewayCalls}. */
export interface GatewayCallsOptions {
  readonly peerAddress: string;
  /**
   * Clients for forwarded calls alone, with {@link forwardingConnections}
   * connections: watches that are held must not delay other calls.
   */
  readonly clients: PeerClients;
  readonly logger: Logger;
}

/**
 * Handles the calls of gateways to the leader. A gateway without a path to the
 * leader sends them to another control VM, which forwards them.
 */
export class GatewayCalls {
  readonly #options: GatewayCallsOptions;
  readonly #leadership: GatewayCallLeadership;
  readonly #forwardedWatches: Forwarded = new Set();
  /** Searches, suspect and quota calls, to which a leader responds at once. */
  readonly #forwardedShortCalls: Forwarded = new Set();
  /** Searches that wait for a leader's response. */
  readonly #searches = new Map<
    string,
    Promise<EncodedWatchResponse | undefined>
  >();
  #hasEnded = false;

  constructor(
    options: GatewayCallsOptions,
    leadership: GatewayCallLeadership,
  ) {
    this.#options = options;
    this.#leadership = leadership;
  }

  /** Answers a watch request, or ends it when the gateway gives it up. */
  async watch(
    { call, forward }: GatewayCall,
    connection: GatewayConnection,
  ): Promise<EncodedWatchResponse> {
    const watch = decodeWatch(call);
    const answer = () => answerWatch(watch, this.#leadership);
    if (!forward || this.#leadership.watchedSession) return await answer();
    const send: SendCall<EncodedWatchResponse> = (leader, options) =>
      leader.watch({ watch: call }, options);
    const forwarded = watch.isSearch
      ? await this.#forwardSearch(watch, send)
      : await this.#forward(send, {
        among: this.#forwardedWatches,
        timeoutMs: watchTimeoutMilliseconds,
        signal: connection.signal,
      });
    return forwarded ?? {
      answer: encodeWatchAnswer(this.#leadership.redirect),
      own: new Uint8Array(),
    };
  }

  /** Answers a call about a request whose runs may end targets. */
  async suspect(
    { call, forward }: GatewayCall,
  ): Promise<{ readonly reply: Uint8Array }> {
    const { isLeading, session } = this.#leadership;
    if (session && isLeading) {
      return { reply: packValue(session.handleSuspectCall(unpackValue(call))) };
    }
    const forwarded = forward &&
      await this.#forwardShortCall(
        (leader, options) => leader.suspect({ call }, options),
      );
    const elsewhere: SuspectReply = { kind: "elsewhere" };
    return forwarded || { reply: packValue(elsewhere) };
  }

  /** Answers the call of a gateway that is short of allowance. */
  async quota(
    { call, forward }: GatewayCall,
  ): Promise<{ readonly reply: Uint8Array }> {
    const session = this.#leadership.watchedSession;
    if (session) {
      return { reply: packValue(session.handleQuotaCall(unpackValue(call))) };
    }
    const forwarded = forward &&
      await this.#forwardShortCall(
        (leader, options) => leader.quota({ call }, options),
      );
    const none: QuotaReply = { answer: null };
    return forwarded || { reply: packValue(none) };
  }

  /** Ends the calls that wait for a former leader. */
  handleLeaderChange(): void {
    this.#endForwarded();
  }

  /** Ends the calls in progress and forwards no more. */
  end(): void {
    this.#hasEnded = true;
    this.#endForwarded();
  }

  #endForwarded(): void {
    const forwarded = [...this.#forwardedWatches, ...this.#forwardedShortCalls];
    for (const each of forwarded) each.abort();
  }

  /**
   * Returns the leader's response to a search in progress, if there is one: it
   * depends on nothing but the features of the gateway.
   */
  async #forwardSearch(
    { features }: Watch,
    send: SendCall<EncodedWatchResponse>,
  ): Promise<EncodedWatchResponse | undefined> {
    const id = JSON.stringify([this.#leadership.leaderAddress, features]);
    const known = this.#searches.get(id);
    if (known) return await known;
    const search = this.#forwardShortCall(send);
    this.#searches.set(id, search);
    try {
      return await search;
    } finally {
      this.#searches.delete(id);
    }
  }

  #forwardShortCall<Response>(
    send: SendCall<Response>,
  ): Promise<Response | undefined> {
    return this.#forward(send, {
      among: this.#forwardedShortCalls,
      timeoutMs: forwardTimeoutMilliseconds,
    });
  }

  /** Returns the leader's response; undefined if there is none. */
  async #forward<Response>(
    send: SendCall<Response>,
    options: {
      readonly among: Forwarded;
      readonly timeoutMs: number;
      /** Ends the call. @default none */
      readonly signal?: AbortSignal;
    },
  ): Promise<Response | undefined> {
    const { among, timeoutMs, signal } = options;
    const { clients, logger, peerAddress } = this.#options;
    const address = this.#leadership.leaderAddress;
    if (this.#hasEnded || address === null || address === peerAddress) {
      return undefined;
    }
    if (signal?.aborted) return undefined;
    if (among.size >= maximumForwardedCalls) {
      logger.warn("call-not-forwarded", {
        leader: address,
        reason: "too many calls are forwarded",
      });
      return undefined;
    }
    const controller = new AbortController();
    const abort = () => controller.abort();
    signal?.addEventListener("abort", abort, { once: true });
    among.add(controller);
    try {
      return await send(clients.client(address, Fleet), {
        timeoutMs,
        signal: controller.signal,
      });
    } catch (failure) {
      logger.warn("call-not-forwarded", {
        leader: address,
        reason: describeFailure(failure),
      });
      return undefined;
    } finally {
      signal?.removeEventListener("abort", abort);
      among.delete(controller);
    }
  }
}

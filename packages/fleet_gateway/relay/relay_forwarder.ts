import type { VmEndpoint } from "@kingcupglade/fleet";
import { RequestKind } from "@kingcupglade/items";
import { CallerPresence } from "../callers/caller_presence.ts";
import type { CallerResponse } from "../callers/caller_response.ts";
import { Exchange, LossCause } from "../exchanges/exchange.ts";
import type { ExchangeResult, ResponseHead } from "../exchanges/exchange.ts";
import type { RelayChoice } from "./relay_choice.ts";
import {
  decodeRelayReply,
  encodeRelayRequest,
  RelayDecision,
  relayFramingCoding,
  relayHeader,
} from "./relay_message.ts";
import type { RelayReply, RelayRequest } from "./relay_message.ts";
import { LinkDirection } from "../link/link_direction.ts";
import { ReadPace } from "../link/read_pace.ts";
import { requestBytes } from "../exchanges/target_exchange.ts";
import { RelayWire } from "./relay_wire.ts";
import { RequestGuard } from "../requests/request_guard.ts";
import { findSendFault, refuseSend } from "../requests/send_fault.ts";
import type { SendFault } from "../requests/send_fault.ts";
import { requestHeaders } from "../requests/request_headers.ts";
import { RequestTelemetry, stageOf } from "../requests/request_telemetry.ts";
import { retryAfterMilliseconds } from "../admission/retry_after.ts";
import type {
  ForwardingContext,
  RoutedRequest,
} from "../requests/routed_request.ts";
import type { TargetConnections } from "../targets/target_connections.ts";

/** Gateways that a request is sent to at most. */
const maximumRelays = 4;
/** Time that the response needs from the other gateway to the caller. */
const responseMarginMilliseconds = 25;
/** A gateway that has not responded for this long may be lost. */
const silenceMilliseconds = 1000;
/** Mean delay after which a caller that no gateway takes should retry. */
const retryMilliseconds = 400;
const unavailableStatus = 503;

/** What has happened to a request before it is relayed. */
export interface ForwardingProgress {
  /** Names of targets that the request has reached. */
  readonly arrived: readonly string[];
  /** Whether it may have run at one of them. */
  readonly mayHaveRun: boolean;
}

/** Options of a {@link RelayForwarder}. */
export interface RelayForwarderOptions {
  readonly context: ForwardingContext & {
    /** Name of this gateway. */
    readonly name: string;
    /** Secret that all VMs share. */
    readonly secret: string;
    readonly relays: RelayChoice;
    readonly relayConnections: TargetConnections;
  };
  readonly routed: RoutedRequest;
  readonly answer: CallerResponse;
  readonly progress: ForwardingProgress;
}

/**
 * Forwards a request through other gateways, because this one reaches no target.
 * Another gateway takes it as it would take its own, but never relays it. A
 * request that may run only once is sent to a second gateway only if the first
 * sent it nowhere.
 */
export class RelayForwarder {
  readonly #options: RelayForwarderOptions;
  readonly #telemetry: RequestTelemetry;
  readonly #wire: RelayWire;
  /** Names of gateways that the request was sent to. */
  readonly #tried = new Set<string>();
  readonly #presence: CallerPresence;
  #mayHaveRun: boolean;
  #exchange: Exchange | undefined;
  /** Whether another gateway has received the request. */
  #hasArrived = false;
  readonly #guard = new RequestGuard((failure) => this.#handleFault(failure));
  #isFinished = false;

  constructor(options: RelayForwarderOptions) {
    this.#options = options;
    this.#telemetry = new RequestTelemetry(options);
    this.#wire = new RelayWire(options.context.wire);
    this.#presence = new CallerPresence(options.context.clock);
    this.#mayHaveRun = options.progress.mayHaveRun;
  }

  /** Starts forwarding; the caller receives its response at the end. */
  start(): void {
    this.#guard.watch(this.#run());
  }

  /** Stops forwarding because the caller has disconnected. */
  abandon(): void {
    if (this.#isFinished) return;
    this.#isFinished = true;
    const exchanges = this.#exchange ? [this.#exchange] : [];
    this.#telemetry.recordCallerLeft({
      stage: stageOf(exchanges, this.#options.answer),
      targets: [...this.#tried],
    });
    this.#exchange?.abandon();
  }

  async #run(): Promise<void> {
    const { routed, context } = this.#options;
    const { homeRegions } = routed.route;
    while (this.#tried.size < maximumRelays && this.#leftMilliseconds > 0) {
      const gateway = context.relays.next({
        homeRegions,
        excluded: this.#tried,
      });
      if (!gateway) break;
      this.#tried.add(gateway.name);
      await this.#presence.confirm();
      if (this.#isFinished) return;
      const fault = findSendFault(context, routed);
      if (fault) return this.#refuseFault(fault);
      const result = await this.#send(gateway);
      if (this.#isFinished || this.#handleResult(result, gateway)) return;
      if (!routed.body.canBeSent) break;
    }
    this.#refuse();
  }

  // The key was revoked, or the lease ended, after the request was admitted.
  #refuseFault(fault: SendFault): void {
    const { context, routed, answer } = this.#options;
    if (this.#mayHaveRun) return this.#refuse();
    this.#isFinished = true;
    context.metrics.relayed.inc({ outcome: "not-served" });
    answer.respond(refuseSend(fault, { context, routed }));
  }

  #handleFault(failure: unknown): void {
    this.#telemetry.recordFault(failure);
    if (this.#isFinished) return;
    this.#mayHaveRun ||= this.#hasArrived || this.#exchange?.isSent === true;
    this.#exchange?.abandon();
    this.#refuse();
  }

  get #leftMilliseconds(): number {
    const { routed, context } = this.#options;
    return routed.deadlineAt - context.clock.now() - responseMarginMilliseconds;
  }

  // Another gateway gets the digest of the key in their place.
  get #withheldHeaders(): ReadonlySet<string> | undefined {
    const { keys, wire } = this.#options.context;
    return keys.areKeysRequired ? wire.guardedHeaders : undefined;
  }

  // A request that was sent before counts already, and may be sent again.
  get #quotaLease(): Pick<RelayRequest, "quotaLeftMilliseconds"> {
    const { leftMilliseconds = Infinity } = this.#options.routed.quota ?? {};
    return Number.isFinite(leftMilliseconds)
      ? { quotaLeftMilliseconds: leftMilliseconds }
      : {};
  }

  async #send(gateway: VmEndpoint): Promise<ExchangeResult> {
    const { context, routed, answer, progress } = this.#options;
    const { relays, relayConnections, table, clock, random } = context;
    const { request, route, body, firstSentAt } = routed;
    const startedAt = clock.now();
    const id = random().toString(36).slice(2);
    const connection = relayConnections.acquire(gateway.address, {
      mustBeFresh: route.requests === RequestKind.once,
    });
    this.#telemetry.recordRelay(gateway, this.#tried.size);
    relays.begin(gateway);
    context.link?.count(LinkDirection.outbound, requestBytes(request));
    answer.passage?.recordSent();
    const reservation = context.responseMemory.reserve();
    answer.onClosed(() => reservation.release());
    this.#exchange = new Exchange({
      reservation,
      connection,
      wire: this.#wire,
      mayStart: () =>
        context.keys.recheck(routed.workspace) === undefined &&
        (routed.quota?.relay() ?? true),
      stream: answer,
      pace: answer.passage && new ReadPace(answer.passage, () => clock.now()),
      request: {
        method: request.method ?? "GET",
        path: request.url ?? "/",
        headers: requestHeaders(
          request.headers,
          {
            [relayHeader]: encodeRelayRequest({
              id,
              from: context.name,
              route: route.name,
              routeVersion: table().routeVersion(route.name),
              service: routed.service,
              ageMilliseconds: startedAt - firstSentAt,
              leftMilliseconds: this.#leftMilliseconds,
              arrived: progress.arrived,
              ...(routed.workspace && { workspace: routed.workspace }),
              ...this.#quotaLease,
            }, context.secret),
            te: relayFramingCoding,
          },
          body,
          this.#withheldHeaders,
        ),
        body: body.open(),
        requestId: id,
        timeoutMilliseconds: this.#leftMilliseconds +
          responseMarginMilliseconds / 2,
      },
      onHead: (head) => this.#recordNotices(head, startedAt),
    });
    const result = await this.#exchange.result;
    this.#exchange = undefined;
    this.#hasArrived ||= result.kind !== "notSent";
    if (result.kind === "answered") {
      relayConnections.release(gateway.address, connection);
    } else relayConnections.end(connection);
    relays.end(gateway, isUsable(result, clock.now() - startedAt));
    return result;
  }

  /** Returns whether the request has ended. */
  #handleResult(result: ExchangeResult, gateway: VmEndpoint): boolean {
    switch (result.kind) {
      case "notSent":
        this.#telemetry.recordRelayFailure(gateway, result.reason);
        return false;
      case "unknown":
        this.#mayHaveRun = true;
        this.#telemetry.recordRelayFailure(gateway, result.reason);
        // The caller has seen that a response which had begun is incomplete.
        if (this.#options.answer.hasStarted) {
          this.#isFinished = true;
          return true;
        }
        if (result.cause === LossCause.timeout) {
          this.#respond(504, "the time is up");
          return true;
        }
        if (this.#mayRepeat) return false;
        this.#respond(502, "the other gateway's answer was lost");
        return true;
      case "answered":
        return this.#handleResponse(result.head, result.body, gateway);
    }
  }

  #handleResponse(
    head: ResponseHead,
    body: Buffer | null,
    gateway: VmEndpoint,
  ): boolean {
    const { decision } = replyOf(head);
    if (decision === RelayDecision.taken) {
      this.#forward(head, body);
      return true;
    }
    this.#telemetry.recordRelayFailure(gateway, decision);
    return false;
  }

  get #mayRepeat(): boolean {
    const { routed, context } = this.#options;
    const { budget, meanMilliseconds } = context.selector.service(
      routed.service,
    );
    return routed.route.requests === RequestKind.idempotent &&
      this.#leftMilliseconds > meanMilliseconds &&
      budget.take(context.clock.now(), context.gatewayCount());
  }

  #forward(head: ResponseHead, body: Buffer | null): void {
    // The other gateway does not know of attempts before.
    const isUntrueRefusal = this.#mayHaveRun &&
      head.status === unavailableStatus && replyOf(head).target === "";
    if (isUntrueRefusal && body !== null) {
      return this.#respond(502, "the target's answer was lost");
    }
    this.#isFinished = true;
    this.#options.context.metrics.relayed.inc({ outcome: "answered" });
    this.#telemetry.count(head.status < 500 ? "answered" : "failed");
    const { answer } = this.#options;
    if (body !== null) answer.forward(head, body);
    this.#telemetry.recordResponse({
      target: replyOf(head).target,
      status: head.status,
      received: head.framing,
      ...answer.sent,
    });
  }

  // What the target says holds for this gateway too, once it sends to it again.
  #recordNotices(head: ResponseHead, sentAt: number): void {
    const { context, routed } = this.#options;
    const name = replyOf(head).target;
    const target = context.table().target(name);
    if (!target) return;
    const { requestId } = routed.head;
    const said = context.wire.readResponse(head.status, head.headers);
    context.notices.record(target, said, requestId);
    context.limits.record({
      target: name,
      request: requestId,
      perSecond: said.maximumRequestsPerSecond ?? null,
      isConclusive: said.isSigned && !said.didNotRun,
      sentAt,
    });
  }

  #refuse(): void {
    const { context, routed } = this.#options;
    if (this.#mayHaveRun) {
      return this.#respond(502, "the target's answer was lost");
    }
    this.#respond(
      unavailableStatus,
      "this VM reaches no target, and no other gateway takes the request",
      retryAfterMilliseconds({
        waitMilliseconds: retryMilliseconds,
        leftMilliseconds: routed.deadlineAt - context.clock.now(),
        random: context.random,
      }),
    );
  }

  #respond(
    status: number,
    reason: string,
    retryAfterMilliseconds?: number,
  ): void {
    const { context, answer, progress } = this.#options;
    this.#isFinished = true;
    context.metrics.relayed.inc({ outcome: "not-served" });
    this.#telemetry.recordRefusal({
      status,
      reason,
      retryAfterMilliseconds,
      arrivals: progress.arrived.length,
      waiting: 0,
    });
    answer.respond({
      status,
      reason,
      ...(retryAfterMilliseconds !== undefined && { retryAfterMilliseconds }),
    });
  }
}

// The exchange accepts only responses whose header can be read.
function replyOf(head: ResponseHead): RelayReply {
  return decodeRelayReply(head.headers[relayHeader]);
}

/** Whether the gateway may take further requests. */
function isUsable(result: ExchangeResult, milliseconds: number): boolean {
  switch (result.kind) {
    case "answered":
      return replyOf(result.head).decision !== RelayDecision.unable;
    case "unknown":
      // A request that was late already says nothing about the gateway.
      return result.cause === LossCause.abandoned ||
        (result.cause === LossCause.timeout &&
          milliseconds < silenceMilliseconds);
    case "notSent":
      return result.isWithheld === true;
  }
}

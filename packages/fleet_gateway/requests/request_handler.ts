import type { IncomingMessage, ServerResponse } from "node:http";
import type { Route } from "@kingcupglade/items";
import { describeFailure } from "@kingcupglade/telemetry";
import { hasCallerLeft, heldMilliseconds } from "@kingcupglade/transport";
import type { RequestBody } from "@kingcupglade/transport";
import { BodyReceiver } from "../callers/body_receiver.ts";
import { CallerResponse } from "../callers/caller_response.ts";
import type { CallerRequestHead } from "../callers/caller_wire.ts";
import type { GatewayTable } from "../table/gateway_table.ts";
import { enterLink } from "../link/link_entry.ts";
import type { EnteringRequest } from "../link/link_entry.ts";
import { admitRelayed } from "../relay/relay_admission.ts";
import { RelayForwarder } from "../relay/relay_forwarder.ts";
import { admitRequest } from "../admission/request_admission.ts";
import { recordRefusal, refuseForLoad } from "../admission/refusal_log.ts";
import type {
  ForwardingProgress,
  RelayForwarderOptions,
} from "../relay/relay_forwarder.ts";
import {
  decodeRelayRequest,
  RelayDecision,
  relayHeader,
} from "../relay/relay_message.ts";
import type { RelayRequest } from "../relay/relay_message.ts";
import type { RequestDigest } from "./request_digest.ts";
import { RequestForwarder } from "./request_forwarder.ts";
import { RequestGuard } from "./request_guard.ts";
import { readRequestTarget } from "./request_target.ts";
import { CallerStage } from "./request_telemetry.ts";
import { logOldTable } from "./old_table_log.ts";
import type { RequestWorkspace, RoutedRequest } from "./routed_request.ts";
import type { StopSchedule } from "../callers/stop_schedule.ts";
import { refuseUnmatched } from "../callers/unmatched_request.ts";

/** A timer cannot run for much longer. */
const maximumDeadlineMilliseconds = 86_400_000;
/** Retry-after of requests that only this VM cannot serve now. */
const elsewhereRetryAfterMilliseconds = 300;
/** Options of a {@link RequestHandler}. */
export interface RequestHandlerOptions {
  readonly context: RelayForwarderOptions["context"] & {
    /**
     * Returns the milliseconds since the last contact with the control leader;
     * infinite before the first.
     */
    readonly contactAge: () => number;
  };
  readonly stopSchedule: StopSchedule;
  readonly digest: RequestDigest;
  /**
   * Whether this VM has the processor time for a request of this priority.
   * @default always
   */
  readonly hasProcessorTime?: (priority: number) => boolean;
}

/** Forwards a request until it is abandoned. */
type Forwarder = Pick<RequestForwarder, "abandon">;

/** Finds the route of a request and starts forwarding it. */
export class RequestHandler {
  readonly #options: RequestHandlerOptions;
  readonly #bodies: BodyReceiver;
  #relayedCount = 0;

  constructor(options: RequestHandlerOptions) {
    this.#options = options;
    this.#bodies = new BodyReceiver(options.context);
  }

  /** Handles a request of a caller. */
  handle(request: IncomingMessage, response: ServerResponse): void {
    this.#guardOf(request, response).watch(this.#handle(request, response));
  }

  /** Handles a request that another gateway relays. */
  handleRelayed(request: IncomingMessage, response: ServerResponse): void {
    this.#guardOf(request, response).watch(
      this.#handleRelayed(request, response),
    );
  }

  // Nothing has been sent to a target yet: forwarders have guards of their own.
  #guardOf(request: IncomingMessage, response: ServerResponse): RequestGuard {
    return new RequestGuard((failure) => {
      this.#options.context.logger.error("request-failed", {
        request: this.#options.context.wire.readRequest(request.headers)
          .requestId,
        reason: describeFailure(failure),
      });
      new CallerResponse(response).respond({
        status: 503,
        reason: "a fault of the gateway",
        retryAfterMilliseconds: elsewhereRetryAfterMilliseconds,
      });
    });
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { wire, logger, contactAge } = this.#options.context;
    const answer = new CallerResponse(response);
    const table = this.#table;
    const arrivedAt = this.#now() - heldMilliseconds(request);
    const head = wire.readRequest(request.headers);
    const target = readRequestTarget(request);
    const route = table.matchRoute(target.host, target.path);
    if (!route) {
      return answer.respond(refuseUnmatched({
        requestId: head.requestId,
        target,
        table,
        contactAgeMilliseconds: contactAge(),
      }, this.#options.context));
    }
    logOldTable({
      requestId: head.requestId,
      route,
      table,
      contactAgeMilliseconds: contactAge(),
    }, logger);
    const { hasProcessorTime = () => true } = this.#options;
    if (!hasProcessorTime(route.priority)) {
      return answer.respond(refuseForLoad(head, this.#options.context));
    }
    const admission = await admitRequest(
      { request, requestId: head.requestId, route },
      this.#options.context,
    );
    if (admission.kind === "refused") {
      return answer.respond(admission.response);
    }
    const { quota } = admission;
    if (quota) answer.onClosed(() => quota.release());
    const deadlineAt = this.#options.stopSchedule.deadlineFor(
      arrivedAt + Math.min(
        route.timeoutMilliseconds,
        head.deadlineMilliseconds ?? Infinity,
        maximumDeadlineMilliseconds,
      ),
      arrivedAt,
    );
    if (deadlineAt === undefined) {
      logger.info("request-refused-at-stop", {
        request: head.requestId,
        route: route.name,
      });
      return answer.respond({
        status: 503,
        reason: "this VM is stopping",
        retryAfterMilliseconds: elsewhereRetryAfterMilliseconds,
      });
    }
    const entering = {
      request,
      head,
      route: admission.route,
      arrivedAt,
      deadlineAt,
      answer,
    };
    const refuse: EnteringRequest["refuse"] = (refusal) =>
      answer.respond({ status: 503, ...refusal });
    if (!enterLink(this.#options.context, { ...entering, refuse })) return;
    const body = await this.#bodies.receive(request, {
      answer,
      leftMilliseconds: deadlineAt - this.#now(),
      refuse: (status, reason) => {
        if (status !== 503) {
          recordRefusal(head, { status, reason }, this.#options.context);
        }
        answer.respond({ status, reason });
      },
    });
    if (answer.hasStarted) return;
    if (hasCallerLeft(request)) return this.#recordUnread(head, arrivedAt);
    if (!body || answer.isClosed) return;
    const { selector } = this.#options.context;
    const routed = this.#routedRequest({
      request,
      head,
      route: admission.route,
      workspace: admission.workspace,
      quota,
      service: selector.parts.next(route),
      body,
      arrivedAt,
      ...this.#firstSending(admission.route, head, arrivedAt),
      deadlineAt,
    });
    this.#forwardOwn(routed, answer);
  }

  #firstSending(
    { name }: Route,
    { deadlineMilliseconds }: CallerRequestHead,
    arrivedAt: number,
  ): Pick<RoutedRequest, "firstSentAt" | "isAgeKnown"> {
    if (deadlineMilliseconds === undefined) {
      return { firstSentAt: arrivedAt, isAgeKnown: false };
    }
    const { callerDeadlines } = this.#options.context;
    const age = callerDeadlines.record(name, deadlineMilliseconds);
    return {
      firstSentAt: arrivedAt - age.milliseconds,
      isAgeKnown: age.isKnown,
    };
  }

  // Nothing of the request was sent anywhere.
  #recordUnread({ requestId }: CallerRequestHead, arrivedAt: number): void {
    const { logger, metrics, stalls } = this.#options.context;
    const stage = CallerStage.read;
    metrics.callersLeft.inc({ stage });
    logger.info("caller-left", {
      request: requestId,
      stage,
      ageMilliseconds: Math.round(this.#now() - arrivedAt),
      readDelayMilliseconds: Math.round(stalls.readDelay()),
    });
  }

  async #handleRelayed(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { secret, logger, metrics } = this.#options.context;
    let relay: RelayRequest;
    try {
      relay = decodeRelayRequest(request.headers[relayHeader], secret);
    } catch (failure) {
      logger.warn("relay-unreadable", { reason: describeFailure(failure) });
      response.writeHead(401, { "connection": "close" }).end();
      return;
    }
    const arrivedAt = this.#now() - heldMilliseconds(request);
    const answer = new CallerResponse(response, relay.id);
    const head = this.#options.context.wire.readRequest(request.headers);
    const route = this.#table.routeNamed(relay.route);
    const admission = admitRelayed(relay, route, {
      context: this.#options.context,
      requestId: head.requestId,
      isStopping: this.#options.stopSchedule.isStopping,
      relayedCount: this.#relayedCount,
    });
    if (admission.kind === "rejected") {
      const { decision, reason } = admission;
      metrics.relayedHere.inc({ decision });
      return answer.rejectRelay(decision, reason);
    }
    const deadlineAt = arrivedAt + relay.leftMilliseconds;
    const entering = {
      request,
      head,
      route: admission.route,
      arrivedAt,
      deadlineAt,
      answer,
    };
    const refuse: EnteringRequest["refuse"] = ({ reason }) => {
      metrics.relayedHere.inc({ decision: RelayDecision.unable });
      answer.rejectRelay(RelayDecision.unable, reason);
    };
    if (!enterLink(this.#options.context, { ...entering, refuse })) return;
    metrics.relayedHere.inc({ decision: RelayDecision.taken });
    this.#relayedCount += 1;
    answer.onClosed(() => (this.#relayedCount -= 1));
    const body = await this.#bodies.receive(request, {
      answer,
      leftMilliseconds: deadlineAt - this.#now(),
      refuse: (status, reason) =>
        status === 503
          ? answer.rejectRelay(RelayDecision.unable, reason)
          : answer.respond({ status, reason }),
    });
    if (answer.hasStarted) return;
    if (hasCallerLeft(request)) return this.#recordUnread(head, arrivedAt);
    if (!body || answer.isClosed) return;
    this.#forwardRelayed(
      this.#routedRequest({
        request,
        head,
        route: admission.route,
        workspace: admission.workspace,
        quota: admission.quota,
        service: relay.service,
        body,
        arrivedAt: arrivedAt - relay.ageMilliseconds,
        firstSentAt: arrivedAt - relay.ageMilliseconds,
        isAgeKnown: this.#options.context.callerDeadlines.isKnown(relay.route),
        deadlineAt,
        relayedBy: relay.from,
      }),
      { answer, relay },
    );
  }

  #forwardOwn(routed: RoutedRequest, answer: CallerResponse): void {
    const { context } = this.#options;
    let forwarder: Forwarder | undefined;
    const relay = (progress: ForwardingProgress) => {
      const relayForwarder = new RelayForwarder({
        context,
        routed,
        answer,
        progress,
      });
      forwarder = relayForwarder;
      relayForwarder.start();
    };
    answer.onClosed(() => forwarder?.abandon());
    if (!context.reach.shouldUseTargets()) {
      return relay({ arrived: [], mayHaveRun: false });
    }
    const requestForwarder = new RequestForwarder({
      context,
      routed,
      answer,
      handOver: relay,
    });
    forwarder = requestForwarder;
    requestForwarder.start();
  }

  #forwardRelayed(
    routed: RoutedRequest,
    { answer, relay }: {
      readonly answer: CallerResponse;
      readonly relay: RelayRequest;
    },
  ): void {
    const { context } = this.#options;
    const forwarder = new RequestForwarder({
      context,
      routed,
      answer,
      arrived: relay.arrived,
      handOver: () =>
        answer.rejectRelay(
          RelayDecision.unable,
          "this VM reaches no target either",
        ),
    });
    answer.onClosed(() => forwarder.abandon());
    context.logger.info("relayed-request-taken", {
      request: routed.head.requestId,
      service: routed.service,
      from: relay.from,
    });
    forwarder.start();
  }

  #routedRequest(
    options: Omit<RoutedRequest, "position" | "digest">,
  ): RoutedRequest {
    const { head, service, request, body, workspace } = options;
    const isKeyed = this.#table.service(service)?.isKeyed === true;
    return {
      ...options,
      position: isKeyed ? head.position : undefined,
      digest: this.#digestOf(request, this.#callerOf(head, workspace), body),
    };
  }

  // Where keys are required, other gateways and targets do not receive the
  // credentials, so that they cannot be a part of the digest.
  #callerOf(
    { caller }: CallerRequestHead,
    workspace: RequestWorkspace | undefined,
  ): string {
    const { keys } = this.#options.context;
    return keys.areKeysRequired ? workspace?.keyDigest ?? "" : caller;
  }

  // Most requests need no digest.
  #digestOf(
    { method = "GET", headers, url: path = "/" }: IncomingMessage,
    caller: string,
    body: RequestBody,
  ): () => string {
    const { host = "" } = headers;
    let digest: string | undefined;
    return () =>
      digest ??= this.#options.digest({ method, host, path, caller, body });
  }

  get #table(): GatewayTable {
    return this.#options.context.table();
  }

  #now(): number {
    return this.#options.context.clock.now();
  }
}

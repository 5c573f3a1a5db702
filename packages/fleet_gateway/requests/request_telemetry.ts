import type { TargetView, VmEndpoint } from "@kingcupglade/fleet";
import { describeFailure } from "@kingcupglade/telemetry";
import type { SentResponse } from "../callers/caller_response.ts";
import type { ExchangeResult } from "../exchanges/exchange.ts";
import { BodyFraming } from "../callers/response_framing.ts";
import type { ForwardingContext, RoutedRequest } from "./routed_request.ts";

const millisecondsPerSecond = 1000;

/** A response that the gateway generated in place of a target's. */
export interface Refusal {
  readonly status: number;
  readonly reason: string;
  readonly retryAfterMilliseconds: number | undefined;
  /** Number of times that the request reached a target. */
  readonly arrivals: number;
  /** Requests of the service that are queued at this gateway. */
  readonly waiting: number;
}

/** A target's response that is passed on to the caller. */
export interface ForwardedResponse extends SentResponse {
  readonly target: string;
  readonly status: number;
  /** Framing that the target used. */
  readonly received: BodyFraming;
}

/** What selects the target of a request. */
export const SendPath = {
  /** The manager of its slots. */
  granted: "granted",
  /** This gateway. */
  chosen: "chosen",
} as const;
export type SendPath = typeof SendPath[keyof typeof SendPath];

/** How far a request had got when its caller left. */
export const CallerStage = {
  /** The end of its connection was read together with it. */
  read: "read",
  /** It waits for a slot, a target or a permission. */
  waiting: "waiting",
  /** The connection to its target is being opened. */
  connecting: "connecting",
  /** A target has it. */
  sent: "sent",
  /** A part of the response was passed on. */
  responding: "responding",
} as const;
export type CallerStage = typeof CallerStage[keyof typeof CallerStage];

/** A request whose caller has closed its connection. */
export interface LeftCaller {
  readonly stage: CallerStage;
  /** Targets, or the gateway, that the request was sent to. */
  readonly targets: readonly string[];
}

/** Returns the stage of a request with the given exchanges. */
export function stageOf(
  exchanges: Iterable<{ readonly isSent: boolean }>,
  { hasStarted }: { readonly hasStarted: boolean },
): CallerStage {
  if (hasStarted) return CallerStage.responding;
  const all = [...exchanges];
  if (all.some(({ isSent }) => isSent)) return CallerStage.sent;
  return all.length > 0 ? CallerStage.connecting : CallerStage.waiting;
}

/** Writes the log lines and metrics of one request. */
export class RequestTelemetry {
  readonly #context: ForwardingContext;
  readonly #routed: RoutedRequest;

  constructor(options: {
    readonly context: ForwardingContext;
    readonly routed: RoutedRequest;
  }) {
    this.#context = options.context;
    this.#routed = options.routed;
  }

  /** Counts the outcome of the request and its duration. */
  count(outcome: string): void {
    const { clock, metrics } = this.#context;
    const { service, route, arrivedAt, relayedBy } = this.#routed;
    // The gateway that relayed the request counts it.
    if (relayedBy !== undefined) return;
    metrics.requests.seriesFor({
      service,
      tenant: "",
      class: `priority-${route.priority}`,
    }).observe(outcome, (clock.now() - arrivedAt) / millisecondsPerSecond);
  }

  /**
   * Logs that the request is sent to a target that names a limit, and what
   * selected the target.
   */
  recordSend(target: TargetView, path: SendPath): void {
    const { clock, limits, logger, metrics } = this.#context;
    const limit = limits.of(target.name);
    if (!limit) return;
    metrics.limitedRequests.inc({ path });
    logger.info("limited-target-used", {
      request: this.#routed.head.requestId,
      target: target.name,
      path,
      perSecond: limit.perSecond,
      limitAgeMilliseconds: Math.round(clock.now() - limit.learnedAt),
    });
  }

  /**
   * Logs that a request was sent and no response was received. All attempts of
   * callers with the same request have the same digest.
   */
  recordLoss(
    target: TargetView,
    { reason, cause }: Extract<ExchangeResult, { kind: "unknown" }>,
  ): void {
    const { head, service, digest } = this.#routed;
    this.#context.logger.info("outcome-unknown", {
      request: head.requestId,
      digest: digest(),
      service,
      target: target.name,
      cause,
      reason,
    });
  }

  /**
   * Counts a response that is passed on, and logs it. One whose end is marked by
   * nothing but its connection, or that was streamed, is logged always.
   */
  recordResponse(response: ForwardedResponse): void {
    const { clock, logger, metrics } = this.#context;
    const { head, service, arrivedAt } = this.#routed;
    const { received, sent, isStreamed } = response;
    metrics.responses.inc({ received, sent });
    const fields = {
      request: head.requestId,
      service,
      ...response,
      ageMilliseconds: Math.round(clock.now() - arrivedAt),
    };
    if (isStreamed || received === BodyFraming.connection) {
      logger.info("response-forwarded", fields);
    } else logger.debug("response-forwarded", fields);
  }

  /** Logs that the request may be sent although its runs may end targets. */
  recordAttempt(): void {
    const { head, service, digest } = this.#routed;
    this.#context.logger.info("suspect-sent", {
      request: head.requestId,
      digest: digest(),
      service,
    });
  }

  /** Logs that the request is sent to another gateway. */
  recordRelay({ name }: VmEndpoint, attempt: number): void {
    const { clock, logger } = this.#context;
    const { head, service, arrivedAt } = this.#routed;
    logger.info("request-relayed", {
      request: head.requestId,
      service,
      gateway: name,
      attempt,
      ageMilliseconds: Math.round(clock.now() - arrivedAt),
    });
  }

  /** Logs that another gateway did not take the request, or was lost. */
  recordRelayFailure({ name }: VmEndpoint, reason: string): void {
    const { head, service } = this.#routed;
    this.#context.logger.info("relay-failed", {
      request: head.requestId,
      service,
      gateway: name,
      reason,
    });
  }

  /**
   * Counts and logs that the caller has closed its connection. The end of the
   * connection may have waited for `readDelayMilliseconds` until it was read.
   */
  recordCallerLeft({ stage, targets }: LeftCaller): void {
    const { clock, logger, metrics, stalls } = this.#context;
    const { head, service, arrivedAt } = this.#routed;
    metrics.callersLeft.inc({ stage });
    logger.info("caller-left", {
      request: head.requestId,
      service,
      stage,
      targets: targets.join(","),
      ageMilliseconds: Math.round(clock.now() - arrivedAt),
      readDelayMilliseconds: Math.round(stalls.readDelay()),
    });
  }

  /** Logs that the exchange with a target has ended because the caller left. */
  recordCancellation(
    target: TargetView,
    { isSent, sinceMilliseconds }: {
      readonly isSent: boolean;
      /** Time since the end of the caller's connection was read. */
      readonly sinceMilliseconds: number;
    },
  ): void {
    const { head } = this.#routed;
    this.#context.logger.info("target-cancelled", {
      request: head.requestId,
      target: target.name,
      isSent,
      sinceMilliseconds: Math.round(sinceMilliseconds),
    });
  }

  /** Counts and logs that the request is sent to a second target. */
  recordHedge(target: TargetView): void {
    const { logger, metrics } = this.#context;
    const { head, service } = this.#routed;
    metrics.hedges.inc();
    logger.info("request-hedged", {
      request: head.requestId,
      service,
      target: target.name,
      reason: "the response is overdue",
    });
  }

  /** Logs that the request is not sent to its target. */
  recordWithheld(
    target: TargetView,
    { fault, chosenAt }: {
      readonly fault: string | undefined;
      readonly chosenAt: number;
    },
  ): void {
    const { clock, logger, table } = this.#context;
    const { head, service } = this.#routed;
    logger.info("request-withheld", {
      request: head.requestId,
      service,
      target: target.name,
      reason: fault ?? "the target may no longer be used",
      index: table().position.index,
      waitedMilliseconds: Math.round(clock.now() - chosenAt),
    });
  }

  /** Logs an event that concerns one target. */
  logTargetEvent(event: string, target: TargetView, reason: string): void {
    const { head, service } = this.#routed;
    this.#context.logger.info(event, {
      request: head.requestId,
      service,
      target: target.name,
      reason,
    });
  }

  /** Logs a fault of the program that the request met. */
  recordFault(failure: unknown): void {
    const { head, service } = this.#routed;
    this.#context.logger.error("request-failed", {
      request: head.requestId,
      service,
      reason: describeFailure(failure),
    });
  }

  /** Logs and counts a response generated by the gateway. */
  recordRefusal(refusal: Refusal): void {
    const { clock, logger, metrics } = this.#context;
    const { status, reason, retryAfterMilliseconds } = refusal;
    this.count(status === 503 ? "not-run" : "unknown");
    metrics.refusals.inc({ reason });
    const { head, route, service, arrivedAt } = this.#routed;
    logger.info("request-not-served", {
      request: head.requestId,
      route: route.name,
      service,
      status,
      reason,
      arrivals: refusal.arrivals,
      waiting: refusal.waiting,
      ageMilliseconds: Math.round(clock.now() - arrivedAt),
      retryAfterMilliseconds: retryAfterMilliseconds === undefined
        ? null
        : Math.round(retryAfterMilliseconds),
    });
  }
}

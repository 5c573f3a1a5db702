import type { IncomingMessage } from "node:http";
import type { Route } from "@kingcupglade/items";
import { maximumBufferedBytes } from "../callers/body_receiver.ts";
import type { CallerResponse } from "../callers/caller_response.ts";
import type { CallerRequestHead } from "../callers/caller_wire.ts";
import { LinkDirection } from "./link_direction.ts";
import type { LinkAnswer } from "./gateway_link.ts";
import { retryAfterMilliseconds } from "../admission/retry_after.ts";
import type { ForwardingContext } from "../requests/routed_request.ts";
import { requestBytes } from "../exchanges/target_exchange.ts";

const reason = "the link has no room in time";

/** A request whose route is known, before its body is read. */
export interface EnteringRequest {
  readonly request: IncomingMessage;
  readonly head: CallerRequestHead;
  readonly route: Route;
  readonly arrivedAt: number;
  readonly deadlineAt: number;
  readonly answer: CallerResponse;
  /** Refuses the request, which was sent nowhere. */
  readonly refuse: (
    refusal: {
      readonly reason: string;
      readonly retryAfterMilliseconds: number;
    },
  ) => void;
}

/**
 * Reserves the passage of a response over the link, or refuses the request if
 * the link cannot serve it within its deadline. Returns whether it may go on.
 */
export function enterLink(
  context: Pick<
    ForwardingContext,
    "link" | "clock" | "random" | "logger" | "metrics"
  >,
  entering: EnteringRequest,
): boolean {
  const { link } = context;
  if (!link) return true;
  const { route, deadlineAt, answer, request } = entering;
  link.count(LinkDirection.inbound, requestBytes(request));
  const decision = link.admit({ route, deadlineAt });
  if (decision.kind === "admitted") {
    answer.passage = decision.passage;
    decision.passage.hold(heldBodyBytes(request));
    return true;
  }
  refuse(context, entering, decision);
  return false;
}

// A body is kept until its target has responded, or it is streamed.
function heldBodyBytes({ headers }: IncomingMessage): number {
  const length = Number(headers["content-length"]) || 0;
  return Math.min(maximumBufferedBytes, length);
}

function refuse(
  { clock, random, logger, metrics }: Parameters<typeof enterLink>[0],
  { head, route, arrivedAt, deadlineAt, refuse }: EnteringRequest,
  decision: Extract<LinkAnswer, { kind: "refused" }>,
): void {
  const now = clock.now();
  const { waitMilliseconds, queuedBytes, profile } = decision;
  const leftMilliseconds = deadlineAt - now;
  const delay = retryAfterMilliseconds({
    waitMilliseconds,
    leftMilliseconds,
    random,
  });
  metrics.refusals.inc({ reason });
  logger.info("request-not-served", {
    request: head.requestId,
    route: route.name,
    status: 503,
    reason,
    priority: route.priority,
    queuedBytes,
    meanBytes: Math.round(profile.meanBytes),
    upperBytes: Math.round(profile.upperBytes),
    lateMilliseconds: Math.round(waitMilliseconds),
    leftMilliseconds: Math.round(leftMilliseconds),
    ageMilliseconds: Math.round(now - arrivedAt),
    retryAfterMilliseconds: Math.round(delay),
  });
  refuse({ reason, retryAfterMilliseconds: delay });
}

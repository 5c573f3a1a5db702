import type { IncomingMessage } from "node:http";
import type { TargetView } from "@kingcupglade/fleet";
import type { CallerResponse } from "./caller_response.ts";
import { Exchange } from "./exchange.ts";
import { LinkDirection } from "./link_direction.ts";
import { ReadPace } from "./read_pace.ts";
import { firstResponseStream } from "./first_response_stream.ts";
import { requestHeaders } from "./request_headers.ts";
import type { ForwardingContext, RoutedRequest } from "./routed_request.ts";
import type { TargetConnection } from "./address_pool.ts";

/** Time before the caller's deadline at which a response must be on its way. */
const responseMarginMilliseconds = 15;

/** Bytes of a typical head of a request and of its packets' headers. */
const headBytes = 700;

/** Longer bodies are streamed, and not on the link at once. */
const maximumCountedBytes = 128 * 1024;

/** Returns the bytes that a request takes on the link, about. */
export function requestBytes({ headers }: IncomingMessage): number {
  const length = Number(headers["content-length"]) || 0;
  return headBytes + Math.min(maximumCountedBytes, length);
}

/**
 * Starts to send a request to a target. What the head of the response says of
 * the target takes effect when it arrives.
 */
export function startTargetExchange(options: {
  readonly context: ForwardingContext;
  readonly routed: RoutedRequest;
  readonly answer: CallerResponse;
  readonly target: TargetView;
  readonly connection: TargetConnection;
  /** Every exchange of the request. */
  readonly exchanges: ReadonlySet<Exchange>;
  readonly startedAt: number;
}): Exchange {
  const { context, routed, answer, target, startedAt } = options;
  const { limits, notices, reach, wire } = context;
  const { request, body, deadlineAt } = routed;
  const { requestId } = routed.head;
  const remainingMilliseconds = deadlineAt - startedAt;
  const reservation = context.responseMemory.reserve();
  answer.onClosed(() => reservation.release());
  const { passage } = answer;
  passage?.recordSent();
  context.link?.count(LinkDirection.outbound, requestBytes(request));
  const exchange: Exchange = new Exchange({
    reservation,
    connection: options.connection,
    wire,
    stream: firstResponseStream(answer, {
      exchanges: options.exchanges,
      self: () => exchange,
      target: target.name,
    }),
    pace: passage && new ReadPace(passage, () => context.clock.now()),
    onData: () => reach.recordProgress(),
    onHead: (head) => {
      reach.recordResponse();
      notices.record(target, head, requestId);
      limits.record({
        target: target.name,
        request: requestId,
        perSecond: head.maximumRequestsPerSecond ?? null,
        isConclusive: head.isSigned && !head.didNotRun,
        sentAt: startedAt,
      });
    },
    request: {
      method: request.method ?? "GET",
      path: request.url ?? "/",
      headers: requestHeaders(
        request.headers,
        wire.targetHeaders({
          target: target.name,
          deadlineMilliseconds: Math.max(1, Math.floor(remainingMilliseconds)),
        }),
        body,
      ),
      body: body.open(),
      requestId,
      timeoutMilliseconds: Math.max(
        1,
        remainingMilliseconds - responseMarginMilliseconds,
      ),
    },
  });
  return exchange;
}

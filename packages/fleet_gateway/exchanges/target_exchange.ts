import type { IncomingMessage } from "node:http";
import type { TargetView } from "@kingcupglade/fleet";
import { RequestKind } from "@kingcupglade/items";
import type { CallerResponse } from "../callers/caller_response.ts";
import { Exchange, LossCause } from "./exchange.ts";
import type { ExchangeResult } from "./exchange.ts";
import { LinkDirection } from "../link/link_direction.ts";
import { ReadPace } from "../link/read_pace.ts";
import { firstResponseStream } from "./first_response_stream.ts";
import { requestHeaders } from "../requests/request_headers.ts";
import type { RequestProgress } from "../requests/request_progress.ts";
import type {
  ForwardingContext,
  RoutedRequest,
} from "../requests/routed_request.ts";
import type { TargetConnection } from "../targets/address_pool.ts";
import { mayReceive } from "../targets/may_receive.ts";

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

/** An attempt of a request at a target. */
export interface Attempt {
  readonly exchange: Exchange;
  /** Keeps or closes the connection, by the result of the exchange. */
  readonly end: (result: ExchangeResult) => void;
}

/**
 * Starts an attempt of a request at a target, on a connection that suits it.
 * Idempotent requests may use one that was used before.
 */
export function startAttempt(options: {
  readonly context: ForwardingContext;
  readonly routed: RoutedRequest;
  readonly answer: CallerResponse;
  readonly progress: RequestProgress;
  readonly target: TargetView;
}): Attempt {
  const { context, routed, progress, target } = options;
  const { connections } = context;
  const startedAt = context.clock.now();
  const connection = connections.acquire(target.address, {
    mustBeFresh: routed.route.requests !== RequestKind.idempotent,
    // A target that sends its response to the first attempt once more would
    // respond to this one, as both have the same ID.
    mustBeNew: progress.addresses.has(target.address),
    requestId: routed.head.requestId,
  });
  progress.addresses.add(target.address);
  const exchange = startTargetExchange({
    ...options,
    connection,
    exchanges: progress.exchanges,
    startedAt,
  });
  return {
    exchange,
    end: (result) =>
      endAttempt(result, {
        connections,
        target,
        connection,
        exchange,
        startedAt,
      }),
  };
}

/**
 * Starts to send a request to a target. What the head of the response says of
 * the target takes effect when it arrives.
 */
/** Keeps or closes the connection of an exchange that has ended. */
function endAttempt(
  result: ExchangeResult,
  { connections, target: { address }, connection, exchange, startedAt }: {
    readonly connections: ForwardingContext["connections"];
    readonly target: TargetView;
    readonly connection: TargetConnection;
    readonly exchange: Exchange;
    readonly startedAt: number;
  },
): void {
  const isSilent = result.kind === "unknown" &&
    result.cause === LossCause.timeout && exchange.isUnheard;
  if (result.kind === "answered") connections.release(address, connection);
  else if (isSilent) {
    connections.endSilent(address, { connection, sentAt: startedAt });
  } else connections.end(connection);
}

function startTargetExchange(options: {
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
  const { keys, limits, notices, reach, wire } = context;
  const { request, body, deadlineAt, workspace, quota } = routed;
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
    mayStart: () =>
      keys.recheck(workspace) === undefined && mayReceive(context, target) &&
      (quota?.send() ?? true),
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
          ...(workspace && { workspace: workspace.name }),
        }),
        body,
        keys.areKeysRequired ? wire.guardedHeaders : undefined,
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

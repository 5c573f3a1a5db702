import type { Clock } from "@kingcupglade/tasks";
import type {
  Exchange,
  ExchangeResult,
  ResponseHead,
} from "../exchanges/exchange.ts";
import type { RoutedRequest } from "./routed_request.ts";
import type { ServiceQueue } from "../slots/service_queue.ts";

/**
 * Further attempts, beyond the route's `maximumTargets`, of a request that has
 * not run, at targets that received it: one that refused it may accept it next.
 */
const maximumExtraArrivals = 2;

/** A target's response that is kept in case that no better one is received. */
export interface FailedResponse {
  readonly head: ResponseHead;
  readonly body: Buffer;
  readonly target: string;
}

/** Options of a {@link RequestProgress}. */
export interface RequestProgressOptions {
  readonly context: {
    readonly clock: Clock;
    /** Returns the number of gateways that share the retry budget. */
    readonly gatewayCount: () => number;
  };
  readonly routed: RoutedRequest;
  readonly queue: Pick<ServiceQueue, "budget" | "meanMilliseconds">;
  /** Names of targets that the request reached through another gateway. */
  readonly arrived: readonly string[] | undefined;
}

/** What has happened to one request at targets. */
export class RequestProgress {
  readonly exchanges = new Set<Exchange>();
  /** Names of the targets of the exchanges in progress. */
  readonly targets = new Map<Exchange, string>();
  /** Addresses to which the request was sent. */
  readonly addresses = new Set<string>();
  /** Names of targets that the request has reached. */
  readonly arrived: Set<string>;
  arrivals: number;
  connectFailures = 0;
  /** Targets that were chosen, but not sent to yet. */
  pendingSends = 0;
  /** Whether the request may have run at any target. */
  mayHaveRun = false;
  /** A target's 5xx response, forwarded if no better one is received. */
  failure: FailedResponse | undefined;
  readonly #options: RequestProgressOptions;

  constructor(options: RequestProgressOptions) {
    this.#options = options;
    this.arrived = new Set(options.arrived);
    this.arrivals = this.arrived.size;
  }

  /** Number of targets that have the request or are about to get it. */
  get inProgress(): number {
    return this.exchanges.size + this.pendingSends;
  }

  /** Whether a target may have received a part of the request. */
  get wasSent(): boolean {
    return this.mayHaveRun || [...this.exchanges].some((each) => each.isSent);
  }

  begin(exchange: Exchange, target: string): void {
    this.exchanges.add(exchange);
    this.targets.set(exchange, target);
  }

  end(exchange: Exchange, target: string, result: ExchangeResult): void {
    this.exchanges.delete(exchange);
    this.targets.delete(exchange);
    if (result.kind !== "notSent") this.arrived.add(target);
  }

  /**
   * Takes one more arrival: returns whether the route and the shared retry
   * budget allow it, and charges it to the budget.
   */
  takeArrival(): boolean {
    const { context, routed, queue } = this.#options;
    const { route, body, deadlineAt } = routed;
    const now = context.clock.now();
    const maximumArrivals = route.maximumTargets +
      (this.mayHaveRun ? 0 : maximumExtraArrivals);
    return this.arrivals + this.inProgress < maximumArrivals &&
      body.canBeSent &&
      deadlineAt - now > queue.meanMilliseconds &&
      queue.budget.take(now, context.gatewayCount());
  }
}

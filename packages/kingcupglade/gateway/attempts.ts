import type { IncomingHttpHeaders } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import type { TargetRecord } from "@kingcupglade/ownership";
import {
  Header,
  notRun,
  Outcome,
  Reason,
  RetryBudget,
  unknownOutcome,
} from "@kingcupglade/routing";
import type {
  CapacityGate,
  ExchangeReport,
  HedgePolicy,
  MatchedRequest,
  Refusal,
  TargetChanged,
} from "@kingcupglade/routing";
import type { Clock } from "@kingcupglade/tasks";
import type { Metrics } from "@kingcupglade/telemetry";
import type { RoutingTask } from "../control/routing_task.ts";
import type { RequestBody } from "@kingcupglade/transport";
import type { ResponseSink } from "./response_sink.ts";
import type { Destination } from "./destination.ts";
import type { ExchangeClient } from "./exchange.ts";
import { UnknownCause } from "./exchange_types.ts";
import type { ExchangeResult } from "./exchange_types.ts";
import { HedgedExchange } from "./hedged_exchange.ts";
import { TableWaitLimiter } from "./table_wait_limiter.ts";

const initialBackoffMilliseconds = 5;
const maximumBackoffMilliseconds = 80;

/** A caller's request, its body and the sink for its response. */
export interface CallerRequest {
  readonly matched: MatchedRequest;
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: RequestBody;
  readonly sink: ResponseSink;
  /** Monotonic time by which the response must have started. */
  readonly deadlineAt: number;
}

/** Options of {@link Attempts}. */
export interface AttemptsOptions {
  readonly routing: RoutingTask;
  readonly exchanges: ExchangeClient;
  readonly capacity: CapacityGate;
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** Region of this VM. */
  readonly region: string;
  /** Chooses the destination of a request in the current routing table. */
  readonly choose: (matched: MatchedRequest) => Destination | Refusal;
  /** Chooses another target that can accept the request immediately. */
  readonly chooseAlternative: (
    matched: MatchedRequest,
    first: TargetRecord,
  ) => Destination | undefined;
  /** Decides when a late request is also sent to a second target. */
  readonly hedges: HedgePolicy;
  /** Returns the ID of the range or service that a request waits for. */
  readonly waitKeyOf: (matched: MatchedRequest) => string;
}

/** Sends a request until it is answered, may have run, or times out. */
export class Attempts {
  readonly #options: AttemptsOptions;
  readonly #tableWaits: TableWaitLimiter;
  readonly #hedged: HedgedExchange;
  readonly #budget = new RetryBudget();

  constructor(options: AttemptsOptions) {
    this.#options = options;
    this.#tableWaits = new TableWaitLimiter({ routing: options.routing });
    this.#hedged = new HedgedExchange({
      clock: options.clock,
      policy: options.hedges,
      exchange: (caller, destination) => this.#exchange(caller, destination),
      chooseAlternative: (caller, first) =>
        options.chooseAlternative(caller.matched, first.target),
      onHedge: () => options.metrics.hedges.inc(),
    });
  }

  /**
   * Returns null when the sink received a response, complete or visibly
   * truncated; otherwise the refusal to send to the caller.
   */
  async run(caller: CallerRequest): Promise<Refusal | null> {
    const { clock, metrics } = this.#options;
    let backoffMilliseconds = initialBackoffMilliseconds;
    let last = notRun(Reason.deadline);
    // An attempt that did not run does not show whether an earlier one ran.
    let unknown: Refusal | null = null;
    this.#budget.recordRequest();
    while (clock.now() < caller.deadlineAt && !caller.sink.isClosed) {
      const destination = this.#choose(caller.matched);
      if ("kind" in destination) {
        last = destination;
        if (await this.#waitForTable(caller)) continue;
        return unknown ?? notRun(Reason.overload, { retryAfterSeconds: 1 });
      }
      const result = HedgedExchange.isHedgeable(caller)
        ? await this.#hedged.run(caller, destination)
        : await this.#exchange(caller, destination);
      if (result.kind === "moved") continue;
      const next = nextStep(result, caller);
      if (next.kind === "end") return next.refusal;
      last = next.refusal;
      if (last.outcome === Outcome.unknown) unknown = last;
      if (!caller.body.canBeSent || !this.#budget.take()) break;
      metrics.retries.inc({ reason: last.reason });
      await delay(backoffMilliseconds);
      backoffMilliseconds = Math.min(
        2 * backoffMilliseconds,
        maximumBackoffMilliseconds,
      );
    }
    return unknown ?? last;
  }

  #choose(matched: MatchedRequest): Destination | Refusal {
    return this.#options.routing.hasLease
      ? this.#options.choose(matched)
      : notRun(Reason.noLease, { retryAfterSeconds: 1 });
  }

  async #exchange(
    caller: CallerRequest,
    destination: Destination,
  ): Promise<ExchangeResult | Refusal | TargetChanged> {
    const { capacity, clock } = this.#options;
    const { matched, deadlineAt } = caller;
    const permit = await capacity.acquire({
      target: destination.target,
      tenant: matched.tenant,
      class: matched.route.class,
      deadlineAt,
      isCurrent: destination.isCurrent,
    });
    if (permit.kind !== "permit") return permit;
    const startedAt = clock.now();
    const end = destination.begin();
    const result = await this.#send(caller, destination);
    this.#releaseRange(result, { end, deadlineAt, destination });
    this.#countBytes(caller, destination);
    const milliseconds = clock.now() - startedAt;
    permit.release(
      result.kind === "notSent" && !this.#maySend(caller, destination)
        ? { result: "cancelled", milliseconds }
        : exchangeReportOf(result, milliseconds),
    );
    return result;
  }

  #send(
    caller: CallerRequest,
    destination: Destination,
  ): Promise<ExchangeResult> {
    const { exchanges, clock } = this.#options;
    const { body, deadlineAt, method, path, headers, sink } = caller;
    const timeoutMilliseconds = Math.max(1, deadlineAt - clock.now());
    return exchanges.run({
      address: destination.target.address,
      method,
      path,
      headers,
      openBody: () => body.open(),
      bodyLength: body.streamedLength,
      added: {
        ...destination.headers,
        [Header.deadline]: String(Math.ceil(timeoutMilliseconds)),
      },
      timeoutMilliseconds,
      maySend: () => this.#maySend(caller, destination),
    }, sink);
  }

  #maySend(caller: CallerRequest, destination: Destination): boolean {
    const { routing, clock } = this.#options;
    return routing.hasLease && clock.now() < caller.deadlineAt &&
      destination.isCurrent() && !caller.sink.isClosed;
  }

  #countBytes(caller: CallerRequest, destination: Destination): void {
    const { metrics, region } = this.#options;
    if (destination.target.region === region) return;
    metrics.regionLinkBytes.inc(
      { tenant: caller.matched.tenant },
      caller.body.length + caller.sink.bytes,
    );
  }

  // A target that does not check fences may still run an abandoned request
  // until its deadline, so the range is not released before then.
  #releaseRange(
    result: ExchangeResult,
    attempt: {
      readonly end: () => void;
      readonly deadlineAt: number;
      readonly destination: Destination;
    },
  ): void {
    const remaining = attempt.deadlineAt - this.#options.clock.now();
    const mayStillRun = result.kind === "unknown" ||
      result.kind === "truncated";
    if (
      !mayStillRun || remaining <= 0 || attempt.destination.target.checksFences
    ) {
      return attempt.end();
    }
    setTimeout(attempt.end, remaining).unref();
  }

  #waitForTable(caller: CallerRequest): Promise<boolean> {
    return this.#tableWaits.wait(
      this.#options.waitKeyOf(caller.matched),
      Math.max(1, caller.deadlineAt - this.#options.clock.now()),
    );
  }
}

type NextStep =
  | { readonly kind: "end"; readonly refusal: Refusal | null }
  | { readonly kind: "retry"; readonly refusal: Refusal };

/**
 * Decides what follows an exchange. A request that may have run is retried only
 * if that is safe.
 */
function nextStep(
  result: ExchangeResult | Refusal,
  caller: CallerRequest,
): NextStep {
  switch (result.kind) {
    case "answered":
    case "truncated":
      return { kind: "end", refusal: null };
    case "refusal":
      return { kind: "retry", refusal: result };
    case "notSent":
      return {
        kind: "retry",
        refusal: notRun(Reason.unreachable, { retryAfterSeconds: 1 }),
      };
    case "notRun":
      return { kind: "retry", refusal: refusalFromReceiver(result) };
    case "unknown":
      return {
        kind: isSafeToRepeat(result, caller) ? "retry" : "end",
        refusal: unknownOutcome(unknownReason(result)),
      };
  }
}

function isSafeToRepeat(
  result: ExchangeResult & { readonly kind: "unknown" },
  caller: CallerRequest,
): boolean {
  return caller.matched.isIdempotent &&
    result.cause === UnknownCause.connectionLost;
}

/**
 * Returns the caller's refusal for a request that its receiver, a target or
 * another VM, reported as not run.
 */
export function refusalFromReceiver(
  result: ExchangeResult & { readonly kind: "notRun" },
): Refusal {
  const reason = knownReasons.get(result.reason) ?? Reason.shed;
  return notRun(reason, {
    // Fencing is internal to the system, so the caller is asked to retry.
    status: reason === Reason.fenced ? 503 : result.status,
    ...(result.retryAfterSeconds === undefined
      ? {}
      : { retryAfterSeconds: result.retryAfterSeconds }),
  });
}

/** Returns the reason that a caller gets for an unknown outcome. */
export function unknownReason(
  result: ExchangeResult & { readonly kind: "unknown" },
): Reason {
  const reported = result.reason && knownReasons.get(result.reason);
  return reported || unknownReasons[result.cause];
}

const knownReasons: ReadonlyMap<string, Reason> = new Map(
  Object.values(Reason).map((reason) => [reason, reason]),
);

const unknownReasons: Readonly<Record<UnknownCause, Reason>> = {
  deadline: Reason.deadline,
  connectionLost: Reason.connectionLost,
  cancelled: Reason.cancelled,
  badAnswer: Reason.badAnswer,
};

function exchangeReportOf(
  result: ExchangeResult,
  milliseconds: number,
): ExchangeReport {
  switch (result.kind) {
    case "answered":
      return { result: "answered", milliseconds };
    case "notRun":
      return {
        result: result.reason === Reason.fenced ? "fenced" : "shed",
        milliseconds,
      };
    case "unknown":
      return {
        result: result.cause === UnknownCause.cancelled
          ? "cancelled"
          : "failed",
        milliseconds,
      };
    case "notSent":
    case "truncated":
      return { result: "failed", milliseconds };
  }
}

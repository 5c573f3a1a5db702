import type { IncomingMessage, ServerResponse } from "node:http";
import type { KeyHasher } from "@kingcupglade/ownership";
import {
  Header,
  matchRequest,
  notRun,
  Outcome,
  Reason,
  unknownOutcome,
} from "@kingcupglade/routing";
import type {
  CapacityGate,
  ExchangeReport,
  MatchedRequest,
  Refusal,
} from "@kingcupglade/routing";
import type { Clock } from "@kingcupglade/tasks";
import { describeFailure } from "@kingcupglade/telemetry";
import type { Logger, Metrics } from "@kingcupglade/telemetry";
import type { RoutingTask } from "../control/routing_task.ts";
import { BodyTooLargeError, readBody } from "../listeners/body.ts";
import type { ExchangeClient, ExchangeResult } from "./exchange.ts";
import type { Destination } from "./destination.ts";
import { OwnerChooser } from "./owner_chooser.ts";
import { RequestsInProgress } from "./requests_in_progress.ts";
import { TargetChooser } from "./target_chooser.ts";

const retryPauseMilliseconds = 10;

/** Options of a {@link Gateway}. */
export interface GatewayOptions {
  readonly routing: RoutingTask;
  readonly exchanges: ExchangeClient;
  readonly capacity: CapacityGate;
  readonly hasher: KeyHasher;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Region of this VM. */
  readonly region: string;
}

interface CallerRequest {
  readonly matched: MatchedRequest;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: Buffer;
  /** Monotonic time by which the answer must have begun. */
  readonly deadlineAt: number;
}

/** Serves callers: finds the owner of a request and passes the answer back. */
export class Gateway {
  readonly #options: GatewayOptions;
  readonly #owners: OwnerChooser;
  readonly #targets: TargetChooser;

  constructor(options: GatewayOptions) {
    const { routing, hasher } = options;
    const inProgress = new RequestsInProgress();
    this.#options = options;
    this.#owners = new OwnerChooser({ routing, hasher, inProgress });
    this.#targets = new TargetChooser({ routing });
    routing.watchRequests(inProgress);
  }

  /** Serves one request of a caller. */
  async serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    try {
      const refusal = await this.#serve(request, response);
      if (refusal) this.#refuse(response, refusal);
    } catch (failure) {
      this.#options.logger.error("request-failed", {
        reason: describeFailure(failure),
      });
      response.destroy();
    }
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<Refusal | null> {
    const { routing, clock, metrics } = this.#options;
    const startedAt = clock.now();
    const bundle = routing.table.bundle?.bundle;
    if (!bundle || !routing.hasLease) return notRun(Reason.noLease);
    const matched = matchRequest(bundle, {
      method: request.method ?? "GET",
      path: request.url ?? "/",
      header: (name) => singleHeader(request, name),
    });
    if (matched.kind === "refusal") return matched;
    const body = await this.#readBody(request, matched);
    if (!Buffer.isBuffer(body)) return body;
    const deadlineAt = startedAt + matched.deadlineMilliseconds;
    const refusal = await this.#attempt({
      matched,
      request,
      response,
      body,
      deadlineAt,
    });
    const labels = {
      service: matched.service,
      tenant: matched.tenant,
      class: matched.route.class,
    };
    metrics.latency.observe(labels, (clock.now() - startedAt) / 1000);
    metrics.requests.inc({
      ...labels,
      outcome: refusal?.outcome ?? Outcome.answered,
    });
    return refusal;
  }

  async #readBody(
    request: IncomingMessage,
    matched: MatchedRequest,
  ): Promise<Buffer | Refusal> {
    try {
      return await readBody(request, matched.route.maximumBodyBytes);
    } catch (failure) {
      if (failure instanceof BodyTooLargeError) {
        return notRun(Reason.bodyTooLarge, { status: 413 });
      }
      throw failure;
    }
  }

  /** Tries until the request was answered, may have run, or is out of time. */
  async #attempt(caller: CallerRequest): Promise<Refusal | null> {
    const { clock, metrics } = this.#options;
    let lastRefusal = notRun(Reason.noOwner);
    while (clock.now() < caller.deadlineAt) {
      if (caller.response.destroyed) return null;
      const destination = this.#choose(caller.matched);
      if ("kind" in destination) {
        lastRefusal = destination;
        await this.#waitForTable(caller.deadlineAt);
        continue;
      }
      const result = await this.#exchange(caller, destination);
      if (result.kind === "refusal") lastRefusal = result;
      else if (result.kind === "unknown") {
        return unknownOutcome(
          result.timedOut ? Reason.deadline : Reason.connectionLost,
        );
      } else if (result.kind !== "notRun" && result.kind !== "notSent") {
        return null;
      } else lastRefusal = notRun(Reason.unreachable);
      metrics.retries.inc({ reason: lastRefusal.reason });
      await pause(retryPauseMilliseconds);
    }
    return lastRefusal;
  }

  async #exchange(
    caller: CallerRequest,
    destination: Destination,
  ): Promise<ExchangeResult | Refusal> {
    const { capacity, exchanges, clock, routing } = this.#options;
    const { matched, request, response, body, deadlineAt } = caller;
    const permit = await capacity.acquire({
      target: destination.target,
      tenant: matched.tenant,
      class: matched.route.class,
      deadlineAt,
    });
    if (permit.kind === "refusal") return permit;
    const startedAt = clock.now();
    const end = destination.begin();
    const timeoutMilliseconds = Math.max(1, deadlineAt - startedAt);
    const result = await exchanges.run({
      address: destination.target.address,
      method: request.method ?? "GET",
      path: request.url ?? "/",
      headers: request.headers,
      body,
      added: {
        ...destination.headers,
        [Header.deadline]: String(Math.floor(timeoutMilliseconds)),
      },
      timeoutMilliseconds,
      maySend: () =>
        routing.hasLease && clock.now() < deadlineAt && destination.isCurrent(),
    }, response);
    end();
    permit.release(reportOf(result, clock.now() - startedAt));
    return result;
  }

  #choose(matched: MatchedRequest): Destination | Refusal {
    if (!this.#options.routing.hasLease) return notRun(Reason.noLease);
    return matched.key === undefined
      ? this.#targets.choose(matched)
      : this.#owners.choose(matched, matched.key);
  }

  async #waitForTable(deadlineAt: number): Promise<void> {
    const { routing, clock } = this.#options;
    await routing.nextTable(Math.min(100, deadlineAt - clock.now()));
  }

  #refuse(response: ServerResponse, refusal: Refusal): void {
    this.#options.metrics.refusals.inc({ reason: refusal.reason });
    if (response.destroyed || response.headersSent) return;
    const body = `${
      JSON.stringify({ outcome: refusal.outcome, reason: refusal.reason })
    }\n`;
    response.writeHead(refusal.status, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(body),
      [Header.outcome]: refusal.outcome,
      [Header.reason]: refusal.reason,
      ...(refusal.retryAfterSeconds === undefined
        ? {}
        : { "retry-after": String(refusal.retryAfterSeconds) }),
    });
    response.end(body);
  }
}

function singleHeader(
  request: IncomingMessage,
  name: string,
): string | undefined {
  const values = request.headersDistinct[name];
  return values?.length === 1 ? values[0] : undefined;
}

function reportOf(
  result: ExchangeResult,
  milliseconds: number,
): ExchangeReport {
  switch (result.kind) {
    case "answered":
      return { result: "answered", milliseconds };
    case "notRun":
      return { result: "shed", milliseconds };
    case "notSent":
    case "unknown":
    case "truncated":
      return { result: "failed", milliseconds };
  }
}

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

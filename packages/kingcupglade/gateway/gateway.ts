import type { IncomingMessage, ServerResponse } from "node:http";
import type { KeyHasher } from "@kingcupglade/ownership";
import {
  Header,
  matchRequest,
  notRun,
  Outcome,
  Reason,
} from "@kingcupglade/routing";
import type {
  CapacityGate,
  MatchedRequest,
  Refusal,
} from "@kingcupglade/routing";
import type { Clock } from "@kingcupglade/tasks";
import { describeFailure } from "@kingcupglade/telemetry";
import type { Logger, Metrics } from "@kingcupglade/telemetry";
import type { RoutingTask } from "../control/routing_task.ts";
import { BodyTooLargeError, RequestBody } from "../listeners/body.ts";
import { ResponseSink } from "./answer_sink.ts";
import { Attempts } from "./attempts.ts";
import type { ExchangeClient } from "./exchange.ts";
import { OwnerChooser } from "./owner_chooser.ts";
import { RequestsInProgress } from "./requests_in_progress.ts";
import { TargetChooser } from "./target_chooser.ts";

const bufferedBodyBytes = 65_536;

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

/** Serves callers: finds the owner of a request and passes the answer back. */
export class Gateway {
  readonly #options: GatewayOptions;
  readonly #attempts: Attempts;

  constructor(options: GatewayOptions) {
    const { routing, hasher } = options;
    const inProgress = new RequestsInProgress();
    const owners = new OwnerChooser({ routing, hasher, inProgress });
    const targets = new TargetChooser({ routing });
    this.#options = options;
    this.#attempts = new Attempts({
      ...options,
      choose: (matched) =>
        matched.key === undefined
          ? targets.choose(matched)
          : owners.choose(matched, matched.key),
      subjectOf: (matched) => owners.subjectOf(matched),
    });
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
      if (response.destroyed) return;
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
    const { routing, clock } = this.#options;
    const startedAt = clock.now();
    const bundle = routing.table.bundle?.bundle;
    if (!bundle || !routing.hasLease) return notRun(Reason.noLease);
    const matched = matchRequest(bundle, requestHead(request));
    if (matched.kind === "refusal") return matched;
    const body = await receiveBody(request, matched);
    if ("kind" in body) return body;
    const refusal = await this.#attempts.run({
      matched,
      method: request.method ?? "GET",
      path: request.url ?? "/",
      headers: request.headers,
      body,
      sink: new ResponseSink(response),
      deadlineAt: startedAt + matched.deadlineMilliseconds,
    });
    this.#observe(matched, { refusal, startedAt });
    return refusal;
  }

  #observe(
    matched: MatchedRequest,
    end: { readonly refusal: Refusal | null; readonly startedAt: number },
  ): void {
    const { clock, metrics } = this.#options;
    const labels = {
      service: matched.service,
      tenant: matched.tenant,
      class: matched.route.class,
    };
    metrics.latency.observe(labels, (clock.now() - end.startedAt) / 1000);
    metrics.requests.inc({
      ...labels,
      outcome: end.refusal?.outcome ?? Outcome.answered,
    });
  }

  #refuse(response: ServerResponse, refusal: Refusal): void {
    this.#options.metrics.refusals.inc({ reason: refusal.reason });
    if (response.destroyed || response.headersSent) return;
    const body = `${
      JSON.stringify({ outcome: refusal.outcome, reason: refusal.reason })
    }\n`;
    // What is left of an unread body must not be taken for another request.
    if (!response.req.complete) response.setHeader("connection", "close");
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

function requestHead(request: IncomingMessage) {
  const values = (name: string) => request.headersDistinct[name] ?? [];
  return {
    method: request.method ?? "GET",
    path: request.url ?? "/",
    header: (name: string) =>
      values(name).length === 1 ? values(name)[0] : undefined,
    isRepeated: (name: string) => values(name).length > 1,
  };
}

async function receiveBody(
  request: IncomingMessage,
  matched: MatchedRequest,
): Promise<RequestBody | Refusal> {
  try {
    return await RequestBody.receive(request, {
      maximumBytes: matched.route.maximumBodyBytes,
      bufferedBytes: bufferedBodyBytes,
    });
  } catch (failure) {
    if (failure instanceof BodyTooLargeError) {
      return notRun(Reason.bodyTooLarge, { status: 413 });
    }
    throw failure;
  }
}

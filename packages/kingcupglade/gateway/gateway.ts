import type { IncomingMessage, ServerResponse } from "node:http";
import { claimOf } from "@kingcupglade/ledger";
import type { Claim, StoredResponse } from "@kingcupglade/ledger";
import type { KeyHasher, RoleAssignment } from "@kingcupglade/ownership";
import {
  Header,
  HedgePolicy,
  ledgerNotQueried,
  matchRequest,
  notRun,
  Outcome,
  Reason,
} from "@kingcupglade/routing";
import type {
  CapacityGate,
  MatchedRequest,
  Refusal,
  RequestHead,
  TargetObservations,
} from "@kingcupglade/routing";
import type { Clock } from "@kingcupglade/tasks";
import { describeFailure } from "@kingcupglade/telemetry";
import type { Logger, Metrics } from "@kingcupglade/telemetry";
import type { RoutingTask } from "../control/routing_task.ts";
import { ClaimedRequests } from "../ledger/claimed_requests.ts";
import type { LedgerTask } from "../ledger/ledger_task.ts";
import {
  BodyTooLargeError,
  hasBody,
  heldMilliseconds,
  RequestBody,
} from "@kingcupglade/transport";
import type { RequestBodyOptions } from "@kingcupglade/transport";
import { CallerResponseSink } from "./response_sink.ts";
import { Attempts } from "./attempts.ts";
import type { CallerRequest } from "./attempts.ts";
import type { ExchangeClient } from "./exchange.ts";
import { forwardedPathPrefix } from "./forwarder.ts";
import type { Forwarder } from "./forwarder.ts";
import { HomeVms } from "./home_vms.ts";
import { OwnerChooser } from "./owner_chooser.ts";
import { RequestsInProgress } from "./requests_in_progress.ts";
import { TargetChooser } from "./target_chooser.ts";
import type { CandidateSelector } from "./target_chooser.ts";

const maximumBufferedBodyBytes = 65_536;
const maximumClaimedBodyBytes = 1 << 20;
const idlePollIntervalMilliseconds = 20;

/** Options of a {@link Gateway}. */
export interface GatewayOptions {
  readonly routing: RoutingTask;
  readonly exchanges: ExchangeClient;
  readonly capacity: CapacityGate;
  readonly observations: TargetObservations;
  /** Replaces the choice among eligible targets, for measurements. */
  readonly choice?: CandidateSelector | undefined;
  /** A number of at least 0 and less than 1. */
  readonly random: () => number;
  /** Hedges allowed per request. @default 0.04 */
  readonly hedgeShare?: number | undefined;
  readonly ledger: LedgerTask;
  readonly forwarder: Forwarder;
  readonly hasher: KeyHasher;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly dataCentre: string;
  /** Region of this VM. */
  readonly region: string;
  /** Scheme of the callers' listeners, for redirects. */
  readonly redirectScheme: "http" | "https";
}

interface ServedRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Path as the caller sent it. */
  readonly path: string;
  /** Whether another VM forwarded the request; it is not forwarded again. */
  readonly isForwarded: boolean;
}

/**
 * Serves callers: sends a request to its target and passes the response back.
 */
export class Gateway {
  readonly #options: GatewayOptions;
  readonly #attempts: Attempts;
  readonly #claimedRequests: ClaimedRequests;
  readonly #homeVms: HomeVms;
  readonly #activeRequests = new Set<ServedRequest>();

  constructor(options: GatewayOptions) {
    const { routing, hasher } = options;
    const inProgress = new RequestsInProgress();
    const owners = new OwnerChooser({ routing, hasher, inProgress });
    const targets = new TargetChooser({
      ...options,
    });
    this.#options = options;
    this.#attempts = new Attempts({
      ...options,
      choose: (matched) =>
        matched.key === undefined
          ? targets.choose(matched)
          : owners.choose(matched, matched.key),
      chooseAlternative: (matched, first) =>
        targets.chooseAlternative(matched, first),
      hedges: new HedgePolicy({ share: options.hedgeShare }),
      waitKeyOf: (matched) => owners.waitKeyOf(matched),
    });
    this.#claimedRequests = new ClaimedRequests({
      ...options,
      attempts: this.#attempts,
    });
    this.#homeVms = new HomeVms(options);
    routing.setQuiescenceSource(inProgress);
  }

  /** Serves one request of a caller. */
  serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const path = request.url ?? "/";
    return this.#serve({ request, response, path, isForwarded: false });
  }

  /** Serves one request that another VM forwarded. */
  serveForwarded(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const path = (request.url ?? "").slice(forwardedPathPrefix.length);
    const exchange = request.headers[Header.exchange];
    if (exchange !== undefined) response.setHeader(Header.exchange, exchange);
    return this.#serve({ request, response, path, isForwarded: true });
  }

  /** Resolves when no request is being served. */
  async untilIdle(): Promise<void> {
    while (this.#activeRequests.size + this.#claimedRequests.size > 0) {
      await new Promise((resolve) =>
        setTimeout(resolve, idlePollIntervalMilliseconds)
      );
    }
  }

  async #serve(served: ServedRequest): Promise<void> {
    const { response } = served;
    this.#activeRequests.add(served);
    try {
      const refusal = await this.#handle(served);
      if (refusal) this.#sendRefusal(response, refusal);
    } catch (failure) {
      if (response.destroyed) return;
      this.#options.logger.error("request-failed", {
        reason: describeFailure(failure),
      });
      response.destroy();
    } finally {
      this.#activeRequests.delete(served);
    }
  }

  async #handle(served: ServedRequest): Promise<Refusal | null> {
    const { routing, clock } = this.#options;
    const { request, response, path } = served;
    const startedAt = clock.now() - heldMilliseconds(request);
    const bundle = routing.table.bundle?.bundle;
    if (!bundle || !routing.hasLease) {
      return refusalWithoutTable(request);
    }
    const matched = matchRequest(bundle, requestHead(served));
    if (matched.kind === "refusal") return matched;
    if (this.#redirectHome(served, matched)) return null;
    const body = hasBody(request)
      ? await receiveBody(request, {
        maximumBytes: matched.route.maximumBodyBytes,
        maximumBufferedBytes: this.#maximumBufferedBytes(matched, served),
      })
      : RequestBody.empty;
    if ("kind" in body) return body;
    const refusal = await this.#route({
      matched,
      method: request.method ?? "GET",
      path,
      headers: request.headers,
      body,
      sink: new CallerResponseSink(response),
      deadlineAt: startedAt + matched.deadlineMilliseconds,
    }, served);
    if (!served.isForwarded) this.#observe(matched, { refusal, startedAt });
    return refusal;
  }

  /** Sends a request to its target, or to the VM that must send it on. */
  #route(
    caller: CallerRequest,
    served: ServedRequest,
  ): Promise<Refusal | null> {
    const claim = this.#claimOf(caller.matched);
    if (claim) return this.#routeClaimed(caller, { claim, served });
    if (this.#homeVms.isHome(caller.matched)) return this.#attempts.run(caller);
    if (served.isForwarded) return Promise.resolve(notRun(Reason.noHome));
    return this.#options.forwarder.run(caller, {
      reason: "home",
      refuse: (reason) => notRun(reason, { retryAfterSeconds: 1 }),
      choose: () => this.#homeVms.choose(caller.matched),
      mayRepeat: caller.matched.isIdempotent,
    });
  }

  async #routeClaimed(
    caller: CallerRequest,
    context: { readonly claim: Claim; readonly served: ServedRequest },
  ): Promise<Refusal | null> {
    const { ledger, forwarder, routing } = this.#options;
    const { claim, served } = context;
    const role = this.#roleOf(claim, caller.matched);
    if (role && ledger.isHolder(role)) {
      const result = await this.#claimedRequests.run({ claim, role, caller });
      if (result.kind === "refusal") return result;
      sendStoredResponse(served.response, result.answer);
      return null;
    }
    if (served.isForwarded) {
      return ledgerNotQueried(Reason.noLedger);
    }
    return forwarder.run(caller, {
      reason: "ledger",
      refuse: ledgerNotQueried,
      choose: () => {
        const holder = this.#roleOf(claim, caller.matched)?.holder;
        return (holder && routing.table.vms.get(holder)) || null;
      },
      mayRepeat: true,
    });
  }

  #claimOf({ service, tenant, idempotencyKey }: MatchedRequest): Claim | null {
    return idempotencyKey === undefined
      ? null
      : claimOf({ service, tenant, idempotencyKey });
  }

  #roleOf(claim: Claim, matched: MatchedRequest): RoleAssignment | null {
    const { routing, ledger } = this.#options;
    const { service, tenant } = matched;
    return ledger.roleOf(claim, routing.table.homeRegionsOf(service, tenant));
  }

  // The holder of a claim compares complete bodies, so it buffers them.
  #maximumBufferedBytes(
    matched: MatchedRequest,
    served: ServedRequest,
  ): number {
    const claim = this.#claimOf(matched);
    if (!claim) return maximumBufferedBodyBytes;
    const role = this.#roleOf(claim, matched);
    const isHolder = served.isForwarded ||
      (role !== null && this.#options.ledger.isHolder(role));
    return isHolder ? maximumClaimedBodyBytes : maximumBufferedBodyBytes;
  }

  /**
   * Redirects a caller to a home region of the request if the route requires
   * it; returns whether it did.
   */
  #redirectHome(served: ServedRequest, matched: MatchedRequest): boolean {
    const { response, isForwarded, path } = served;
    if (
      isForwarded || matched.route.outsideHome !== "redirect" ||
      this.#homeVms.isHome(matched)
    ) return false;
    const vm = this.#homeVms.choose(matched);
    if (!vm) return false;
    response.writeHead(307, {
      location: `${this.#options.redirectScheme}://${vm.callersAddress}${path}`,
      "content-length": 0,
      [Header.outcome]: Outcome.notRun,
      [Header.reason]: Reason.outsideHome,
      ...(served.request.complete ? {} : { connection: "close" }),
    });
    response.end();
    return true;
  }

  #observe(
    matched: MatchedRequest,
    end: { readonly refusal: Refusal | null; readonly startedAt: number },
  ): void {
    const { clock, metrics } = this.#options;
    const series = metrics.requests.seriesFor({
      service: matched.service,
      tenant: matched.tenant,
      class: matched.route.class,
    });
    series.observe(
      end.refusal?.outcome ?? Outcome.answered,
      (clock.now() - end.startedAt) / 1000,
    );
  }

  #sendRefusal(response: ServerResponse, refusal: Refusal): void {
    this.#options.metrics.refusals.inc({ reason: refusal.reason });
    if (response.destroyed || response.headersSent) return;
    const body = `${
      JSON.stringify({ outcome: refusal.outcome, reason: refusal.reason })
    }\n`;
    // The rest of an unread body must not be parsed as another request.
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

function requestHead({ request, path }: ServedRequest): RequestHead {
  const { headers, rawHeaders } = request;
  return {
    method: request.method ?? "GET",
    path,
    header: (name: string) =>
      headerCount(rawHeaders, name) === 1 ? String(headers[name]) : undefined,
    isRepeated: (name: string) => headerCount(rawHeaders, name) > 1,
  };
}

/** Counts the occurrences of a header in alternating names and values. */
function headerCount(rawHeaders: readonly string[], name: string): number {
  let count = 0;
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const sent = rawHeaders[index]!;
    if (sent.length === name.length && sent.toLowerCase() === name) count += 1;
  }
  return count;
}

function refusalWithoutTable(request: IncomingMessage): Refusal {
  return request.headers[Header.idempotencyKey] === undefined
    ? notRun(Reason.noLease, { retryAfterSeconds: 1 })
    : ledgerNotQueried(Reason.noLease);
}

async function receiveBody(
  request: IncomingMessage,
  options: RequestBodyOptions,
): Promise<RequestBody | Refusal> {
  try {
    return await RequestBody.receive(request, options);
  } catch (failure) {
    if (failure instanceof BodyTooLargeError) {
      return notRun(Reason.bodyTooLarge, { status: 413 });
    }
    throw failure;
  }
}

function sendStoredResponse(
  response: ServerResponse,
  stored: StoredResponse,
): void {
  if (response.destroyed) return;
  response.writeHead(stored.status, {
    ...stored.headers,
    ...(stored.body.length > 0 ? { "content-length": stored.body.length } : {}),
  });
  response.end(stored.body);
}

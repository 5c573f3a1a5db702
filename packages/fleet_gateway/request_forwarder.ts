import { minimumRemainingShare } from "@kingcupglade/dispatch";
import type { TargetRecord, WaitingRequest } from "@kingcupglade/dispatch";
import type { TargetView } from "@kingcupglade/fleet";
import { RequestKind } from "@kingcupglade/items";
import { CallerPresence } from "./caller_presence.ts";
import type { CallerResponse } from "./caller_response.ts";
import { LossCause } from "./exchange.ts";
import type { Exchange, ExchangeResult, ResponseHead } from "./exchange.ts";
import { isSuccess, isUnstatedRefusal, mayHaveRun } from "./exchange_end.ts";
import type { ForwardingProgress } from "./relay_forwarder.ts";
import { SlotAcquisition } from "./slot_acquisition.ts";
import type { ForwardingContext, RoutedRequest } from "./routed_request.ts";
import { retryAfterMilliseconds } from "./retry_after.ts";
import { RequestGuard } from "./request_guard.ts";
import { RequestTelemetry, SendPath, stageOf } from "./request_telemetry.ts";
import { RequestSuspicion } from "./request_suspicion.ts";
import { RequestHedge } from "./request_hedge.ts";
import type { ServiceQueue } from "./service_queue.ts";
import type { SlotTicket } from "./slot_client.ts";
import { TargetAttempts } from "./target_attempts.ts";
import { startTargetExchange } from "./target_exchange.ts";
import { misdirectedStatus, TargetUse } from "./target_use.ts";

/**
 * An owner that refuses has lost the range or has not received it yet; a table
 * update arrives within this time.
 */
const ownerRetryDelayMilliseconds = 100;

/**
 * Further attempts, beyond the route's `maximumTargets`, of a request that has
 * not run, at targets that received it: one that refused it may accept it next.
 */
const maximumExtraArrivals = 2;

/** Mean delay of a repeat while the link is full, about a window at 2 Mbit/s. */
const fullLinkRetryMilliseconds = 300;

/** Connection failures after which a request is refused. */
const maximumConnectFailures = 4;

/**
 * Forwards one request to targets until one responds. If none does, responds
 * with 503 if the request ran nowhere, and with 502 or 504 if it may have run.
 */
export class RequestForwarder {
  readonly #context: ForwardingContext;
  readonly #routed: RoutedRequest;
  readonly #response: CallerResponse;
  readonly #queue: ServiceQueue;
  readonly #attempts: TargetAttempts;
  /** Addresses to which the request was sent. */
  readonly #addresses = new Set<string>();
  #arrivals: number;
  #connectFailures = 0;
  /** Whether the request may have run at any target. */
  #mayHaveRun = false;
  /** A target's 5xx response, forwarded if no better one is received. */
  #failure:
    | {
      readonly head: ResponseHead;
      readonly body: Buffer;
      readonly target: string;
    }
    | undefined;
  readonly #exchanges = new Set<Exchange>();
  /** Targets that were chosen, but not sent to yet. */
  #pendingSends = 0;
  readonly #presence: CallerPresence;
  /** Names of targets that the request has reached. */
  readonly #arrived: Set<string>;
  /** Names of the targets of the exchanges in progress. */
  readonly #targets = new Map<Exchange, string>();
  readonly #handOver: (progress: ForwardingProgress) => void;
  #endCutOffWatch: () => void = () => {};
  readonly #hedge: RequestHedge;
  #earliestSendAt = -Infinity;
  #waiting: WaitingRequest | undefined;
  readonly #slotAcquisition: SlotAcquisition;
  readonly #telemetry: RequestTelemetry;
  readonly #suspicion: RequestSuspicion;
  readonly #guard = new RequestGuard((failure) => this.#handleFault(failure));
  #isFinished = false;
  /** When the end of the caller's connection was read; Infinity before. */
  #leftAt = Infinity;

  constructor(options: {
    readonly context: ForwardingContext;
    readonly routed: RoutedRequest;
    readonly answer: CallerResponse;
    /** Names of targets that the request reached through another gateway. */
    readonly arrived?: readonly string[];
    /** Continues elsewhere, when this gateway is cut off from all targets. */
    readonly handOver: (progress: ForwardingProgress) => void;
  }) {
    this.#context = options.context;
    this.#routed = options.routed;
    this.#response = options.answer;
    this.#presence = new CallerPresence(options.context.clock);
    this.#handOver = options.handOver;
    this.#arrived = new Set(options.arrived);
    this.#attempts = new TargetAttempts({
      maximumTargets: options.routed.route.maximumTargets,
      reached: options.arrived,
    });
    this.#arrivals = this.#arrived.size;
    this.#queue = options.context.selector.service(options.routed.service);
    if (options.routed.relayedBy === undefined) {
      this.#queue.budget.recordRequest(options.context.clock.now());
    }
    this.#telemetry = new RequestTelemetry(options);
    this.#suspicion = new RequestSuspicion({
      gate: options.context.suspects,
      routed: options.routed,
    });
    this.#slotAcquisition = new SlotAcquisition({
      ...options,
      granted: (target, ticket) =>
        this.#guard.watch(
          this.#send(
            target,
            this.#context.selector.record(target.name),
            ticket,
          ),
        ),
      refused: (reason, wait) =>
        this.#guard.run(() => this.#handleSlotRefusal(reason, wait), undefined),
      unmanaged: () => this.#guard.run(() => this.#dispatch(), undefined),
    });
    this.#hedge = new RequestHedge({
      ...options,
      slotAcquisition: this.#slotAcquisition,
      objectiveAt: this.#objectiveAt,
      attempts: this.#attempts,
      mayHedge: () =>
        !this.#isFinished && !this.#response.hasStarted &&
        this.#inProgress === 1 && this.#suspicion.mayHedge &&
        !this.#isDelayedByLink,
      takeAttempt: () => this.#mayTryElsewhere,
      send: (target, record, ticket) => {
        this.#context.metrics.hedges.inc();
        this.#log("request-hedged", target, "the response is overdue");
        this.#guard.watch(this.#send(target, record, ticket));
      },
    });
  }

  /** Starts forwarding; the caller receives its response at the end. */
  start(): void {
    const { service, position } = this.#routed;
    if (position !== undefined) {
      this.#context.selector.recordDemand(service, position);
    }
    this.#endCutOffWatch = this.#context.reach.onCutOff(() =>
      this.#guard.run(() => this.#handleCutOff(), undefined)
    );
    this.#guard.run(() => this.#begin(), undefined);
  }

  /** Stops forwarding because the caller has disconnected. */
  abandon(): void {
    if (this.#isFinished) return;
    this.#leftAt = this.#context.clock.now();
    this.#telemetry.recordCallerLeft({
      stage: stageOf(this.#exchanges, this.#response),
      targets: [...this.#targets.values()],
    });
    this.#finish();
  }

  // What may run only once is continued elsewhere only if it was sent nowhere.
  #handleCutOff(): void {
    if (this.#isFinished || this.#response.hasStarted) return;
    const { body, relayedBy } = this.#routed;
    const wasSent = this.#mayHaveRun ||
      [...this.#exchanges].some((each) => each.isSent);
    const mayContinue = body.canBeSent && (!wasSent ||
      (this.#isIdempotent && relayedBy === undefined && this.#mayTryElsewhere));
    if (!mayContinue) return;
    for (const [exchange, target] of this.#targets) {
      if (exchange.isSent) this.#arrived.add(target);
    }
    this.#finish();
    this.#handOver({ arrived: [...this.#arrived], mayHaveRun: wasSent });
  }

  // A request whose runs may end targets waits until it may be attempted.
  #begin(): void {
    this.#suspicion.awaitPermission({
      permitted: (isAttempt) => {
        if (isAttempt) this.#telemetry.recordAttempt();
        this.#guard.run(() => this.#dispatch(), undefined);
      },
      quarantined: (milliseconds) =>
        this.#refuseFor("the request ends its targets", milliseconds),
      late: () => this.#refuse("an attempt of the same request is running", 0),
    });
  }

  // Requests that already wait go first, unless they wait for other targets.
  #dispatch(): void {
    if (this.#queue.waitingCount === 0 && this.#tryStart()) return;
    if (this.#isFinished) return;
    const { clock } = this.#context;
    const { route, arrivedAt, deadlineAt } = this.#routed;
    const lane = this.#context.selector.laneOf(this.#routed);
    const wait = this.#queue.expectedWait({
      priority: route.priority,
      ...lane,
    });
    const minimum = this.#queue.meanMilliseconds * minimumRemainingShare;
    if (clock.now() + wait + minimum > deadlineAt) {
      return this.#refuse("no room in time", wait);
    }
    this.#waiting = {
      priority: route.priority,
      lane: lane.lane,
      arrivedAt,
      objectiveAt: this.#objectiveAt,
      deadlineAt,
      tryStart: () => this.#guard.run(() => this.#tryStart(), true),
      refuse: () => this.#refuse("no room in time", 0),
    };
    this.#queue.wait(this.#waiting);
    this.#queue.advance();
  }

  #handleSlotRefusal(reason: string, waitMilliseconds: number): void {
    if (this.#attempts.retryUnreached()) return this.#dispatch();
    this.#refuse(reason, waitMilliseconds);
  }

  get #objectiveAt(): number {
    const { arrivedAt, route } = this.#routed;
    return arrivedAt + route.objectiveMilliseconds;
  }

  #tryStart(): boolean {
    const { route, service, position } = this.#routed;
    if (this.#context.clock.now() < this.#earliestSendAt) return false;
    const limitation = this.#attempts.next;
    if (this.#slotAcquisition.requestSlot(limitation)) {
      this.#waiting = undefined;
      return true;
    }
    const selection = this.#context.selector.select({
      route,
      service,
      position,
      ...limitation,
      objectiveAt: this.#objectiveAt,
    });
    if (selection.kind === "wait") return false;
    if (selection.kind === "probe") {
      void this.#context.loadProber.probe(selection.target, selection)
        .then(() => this.#queue.advance());
      return false;
    }
    this.#waiting = undefined;
    if (selection.kind === "none") {
      if (this.#attempts.retryUnreached()) return this.#tryStart();
      const { reason, waitMilliseconds } = selection;
      if (waitMilliseconds === undefined) this.#refuse(reason, 0);
      else this.#refuseFor(reason, waitMilliseconds);
      return true;
    }
    this.#guard.watch(this.#send(selection.target, selection.record));
    return true;
  }

  async #send(
    target: TargetView,
    record: TargetRecord,
    ticket?: SlotTicket,
  ): Promise<void> {
    const use = new TargetUse({
      context: this.#context,
      queue: this.#queue,
      target,
      record,
      ticket,
    });
    this.#attempts.recordSend(target.name);
    const confirmation = this.#presence.confirm();
    if (confirmation) {
      this.#pendingSends += 1;
      await confirmation;
      this.#pendingSends -= 1;
    }
    if (this.#isFinished) return use.cancel();
    // It may have become a suspect while it waited for a target.
    if (!this.#suspicion.maySend) {
      use.cancel();
      if (!this.#arrived.has(target.name)) {
        this.#attempts.recordNotSent(target.name);
      }
      return this.#begin();
    }
    const { clock, connections, reach } = this.#context;
    const { connection, exchange } = use.cancelOnFailure(() =>
      this.#startExchange(target)
    );
    this.#telemetry.recordSend(
      target,
      ticket ? SendPath.granted : SendPath.chosen,
    );
    this.#exchanges.add(exchange);
    this.#targets.set(exchange, target.name);
    reach.begin();
    this.#scheduleHedge();
    const result = await exchange.result;
    reach.end();
    this.#exchanges.delete(exchange);
    this.#targets.delete(exchange);
    if (result.kind !== "notSent") this.#arrived.add(target.name);
    else if (!this.#arrived.has(target.name)) {
      this.#attempts.recordUnreached(target.name);
    }
    if (this.#leftAt <= clock.now()) {
      this.#telemetry.recordCancellation(target, {
        isSent: exchange.isSent,
        sinceMilliseconds: clock.now() - this.#leftAt,
      });
    }
    if (result.kind === "answered") {
      connections.release(target.address, connection);
    } else connections.end(connection);
    use.end(result, {
      isAbandoned: this.#isFinished,
      heldMilliseconds: exchange.heldMilliseconds,
    });
    const examination = this.#suspicion.recordResult(result, target);
    // Most results do not wait for it.
    if (examination) this.#guard.watch(examination.then(() => {}));
    if (!this.#isFinished) this.#handleResult(result, target, examination);
  }

  #startExchange(target: TargetView) {
    const { clock, connections } = this.#context;
    const connection = connections.acquire(
      target.address,
      {
        mustBeFresh: !this.#isIdempotent,
        // A target that sends its response to the first attempt once more would
        // respond to this one, as both have the same ID.
        mustBeNew: this.#addresses.has(target.address),
        requestId: this.#routed.head.requestId,
      },
    );
    this.#addresses.add(target.address);
    const exchange = startTargetExchange({
      context: this.#context,
      routed: this.#routed,
      answer: this.#response,
      target,
      connection,
      exchanges: this.#exchanges,
      startedAt: clock.now(),
    });
    return { connection, exchange };
  }

  /** Number of targets that have the request or are about to get it. */
  get #inProgress(): number {
    return this.#exchanges.size + this.#pendingSends;
  }

  #scheduleHedge(): void {
    const { position } = this.#routed;
    if (!this.#isIdempotent || position !== undefined) return;
    this.#hedge.schedule((hedge) => this.#guard.run(hedge, undefined));
  }

  #handleResult(
    result: ExchangeResult,
    target: TargetView,
    examination: Promise<boolean> | undefined,
  ): void {
    const isStreamed = result.kind === "answered" && result.body === null;
    if (this.#response.hasStarted && !isStreamed) {
      return this.#handleUnstreamed(result, target);
    }
    if (this.#inProgress > 0 && !isSuccess(result)) {
      // The other target may still respond, or may be silent.
      if (result.kind !== "notSent") this.#arrivals += 1;
      if (mayHaveRun(result)) this.#mayHaveRun = true;
      this.#log("hedge-failed", target, result.kind);
      return this.#replaceHedge(examination);
    }
    switch (result.kind) {
      case "answered":
        return this.#handleResponse(result, target);
      case "notSent":
        this.#log("target-unreachable", target, result.reason);
        this.#connectFailures += 1;
        if (this.#connectFailures >= maximumConnectFailures) {
          return this.#guard.watch(this.#handleConnectFailures());
        }
        return this.#retry();
      case "unknown":
        this.#arrivals += 1;
        this.#mayHaveRun = true;
        this.#telemetry.recordLoss(target, result);
        if (result.cause === LossCause.timeout) {
          return this.#respond(504, "the time is up");
        }
        if (this.#isIdempotent && examination) {
          return this.#guard.watch(
            examination.then((hasEnded) => this.#handleExamination(hasEnded)),
          );
        }
        return this.#retryLostResponse();
    }
  }

  // A request that ended a target is not sent to one more.
  #replaceHedge(examination: Promise<boolean> | undefined): void {
    if (!examination) return this.#hedge.hedge();
    this.#guard.watch(
      examination.then((hasEnded) => {
        if (!hasEnded) this.#hedge.hedge();
      }),
    );
  }

  // A response that has begun is neither replaced nor sent a second time.
  #handleUnstreamed(result: ExchangeResult, target: TargetView): void {
    if (mayHaveRun(result)) this.#mayHaveRun = true;
    if (!this.#response.isClosed) {
      return this.#log("hedge-failed", target, "another response has begun");
    }
    if (result.kind === "unknown") this.#telemetry.recordLoss(target, result);
    this.#telemetry.count("failed");
    this.#finish();
  }

  // The gateway may just be finding out that the fault is its own.
  async #handleConnectFailures(): Promise<void> {
    if (await this.#context.reach.confirmCutOff()) this.#handleCutOff();
    this.#refuse("no target takes a connection", 0);
  }

  // A request that ended the target of its own attempt is not attempted again.
  #handleExamination(hasEnded: boolean): void {
    if (this.#isFinished) return;
    if (hasEnded && this.#suspicion.wasAttempted) {
      return this.#respond(502, "the request ended its target");
    }
    this.#retryLostResponse();
  }

  #retryLostResponse(): void {
    if (this.#mayRetry) return this.#retry();
    this.#respond(502, "the target's answer was lost");
  }

  #handleResponse(
    result: Extract<ExchangeResult, { kind: "answered" }>,
    target: TargetView,
  ): void {
    const { head, body } = result;
    this.#arrivals += 1;
    const { position } = this.#routed;
    if (position !== undefined) {
      this.#context.selector.recordHolding({
        service: this.#routed.service,
        position,
        target: target.name,
      }, head.status !== misdirectedStatus);
    }
    if (head.didNotRun) {
      this.#log("target-refused", target, String(head.status));
      if (position !== undefined) {
        this.#earliestSendAt = this.#context.clock.now() +
          ownerRetryDelayMilliseconds;
      }
      if (this.#mayTryElsewhere) return this.#retry();
      return this.#refuse("the target had no room", 0);
    }
    this.#mayHaveRun = true;
    if (body === null) {
      this.#telemetry.count("answered");
      this.#recordResponse(head, target);
      return this.#finish();
    }
    if (!this.#isIdempotent && isUnstatedRefusal(head)) {
      return this.#respond(502, "the target did not state that nothing ran");
    }
    if (head.status >= 500 && !this.#failure) {
      this.#failure = { head, body, target: target.name };
      this.#log("target-failed", target, String(head.status));
      if (this.#mayRetry) return this.#retry();
    }
    this.#telemetry.count(head.status < 500 ? "answered" : "failed");
    this.#finish();
    this.#response.target = target.name;
    this.#response.forward(head, body);
    this.#recordResponse(head, target);
  }

  #recordResponse(
    { status, framing: received }: ResponseHead,
    { name: target }: TargetView,
  ): void {
    const { sent } = this.#response;
    this.#telemetry.recordResponse({ target, status, received, ...sent });
  }

  /** Whether the request may run a second time. */
  get #mayRetry(): boolean {
    return this.#isIdempotent && this.#mayTryElsewhere;
  }

  get #isIdempotent(): boolean {
    return this.#routed.route.requests === RequestKind.idempotent;
  }

  // Whether the route and the shared retry budget allow one more arrival, which
  // is then charged to the budget.
  get #mayTryElsewhere(): boolean {
    const { clock, gatewayCount } = this.#context;
    const { route, body, deadlineAt } = this.#routed;
    const now = clock.now();
    const maximumArrivals = route.maximumTargets +
      (this.#mayHaveRun ? 0 : maximumExtraArrivals);
    return this.#arrivals + this.#inProgress < maximumArrivals &&
      body.canBeSent &&
      deadlineAt - now > this.#queue.meanMilliseconds &&
      this.#queue.budget.take(now, gatewayCount());
  }

  /** Whether one more run would wait for the link, as the first did. */
  get #isDelayedByLink(): boolean {
    return this.#context.link?.isFull === true;
  }

  #retry(): void {
    if (this.#isDelayedByLink) {
      this.#earliestSendAt = this.#context.clock.now() +
        fullLinkRetryMilliseconds * (0.5 + this.#context.random());
    }
    this.#context.metrics.retries.inc({
      reason: this.#mayHaveRun ? "failed" : "not-run",
    });
    // A keyed request can only be sent to the owner.
    if (this.#routed.position !== undefined) this.#attempts.clear();
    this.#begin();
  }

  #refuse(reason: string, waitMilliseconds: number): void {
    if (this.#isFinished) return;
    if (this.#failure) {
      this.#telemetry.count("failed");
      this.#finish();
      this.#response.target = this.#failure.target;
      return this.#response.forward(this.#failure.head, this.#failure.body);
    }
    // A request that is in flight may run.
    if (this.#mayHaveRun || this.#exchanges.size > 0) {
      return this.#respond(502, reason);
    }
    const { clock, random } = this.#context;
    this.#respond(
      503,
      reason,
      retryAfterMilliseconds({
        waitMilliseconds,
        leftMilliseconds: this.#routed.deadlineAt - clock.now(),
        random,
      }),
    );
  }

  // The wait is not limited to the caller's deadline, as returning sooner is of
  // no use.
  #refuseFor(reason: string, milliseconds: number): void {
    if (this.#isFinished) return;
    if (this.#mayHaveRun || this.#exchanges.size > 0) {
      return this.#respond(502, reason);
    }
    this.#respond(503, reason, milliseconds);
  }

  #respond(
    status: number,
    reason: string,
    retryAfterMilliseconds?: number,
  ): void {
    this.#finish();
    this.#telemetry.recordRefusal({
      status,
      reason,
      retryAfterMilliseconds,
      arrivals: this.#arrivals,
      waiting: this.#queue.waitingCount,
    });
    this.#response.respond({
      status,
      reason,
      ...(retryAfterMilliseconds !== undefined && { retryAfterMilliseconds }),
    });
  }

  #handleFault(failure: unknown): void {
    this.#telemetry.recordFault(failure);
    if (this.#isFinished) return;
    this.#mayHaveRun ||= this.#arrived.size > 0;
    this.#refuse("a fault of the gateway", 0);
  }

  #finish(): void {
    this.#isFinished = true;
    this.#endCutOffWatch();
    this.#hedge.cancel();
    this.#suspicion.release();
    if (this.#waiting) this.#queue.remove(this.#waiting);
    this.#slotAcquisition.close();
    for (const exchange of this.#exchanges) exchange.abandon();
  }

  #log(event: string, target: TargetView, reason: string): void {
    this.#telemetry.logTargetEvent(event, target, reason);
  }
}

import { minimumRemainingShare } from "@kingcupglade/dispatch";
import type { TargetRecord, WaitingRequest } from "@kingcupglade/dispatch";
import type { TargetView } from "@kingcupglade/fleet";
import { RequestKind } from "@kingcupglade/items";
import { AttemptResults } from "./attempt_results.ts";
import { CallerPresence } from "../callers/caller_presence.ts";
import type { CallerResponse } from "../callers/caller_response.ts";
import type { ForwardingProgress } from "../relay/relay_forwarder.ts";
import { findSendFault } from "./send_fault.ts";
import { SlotAcquisition } from "../slots/slot_acquisition.ts";
import type { ForwardingContext, RoutedRequest } from "./routed_request.ts";
import { RequestEnding } from "./request_ending.ts";
import { RequestGuard } from "./request_guard.ts";
import { RequestTelemetry, SendPath, stageOf } from "./request_telemetry.ts";
import { RequestSuspicion } from "./request_suspicion.ts";
import { RequestHedge } from "./request_hedge.ts";
import { RequestProgress } from "./request_progress.ts";
import type { ServiceQueue } from "../slots/service_queue.ts";
import type { SlotTicket } from "../slots/slot_client.ts";
import { mayReceive } from "../targets/may_receive.ts";
import { TargetAttempts } from "../targets/target_attempts.ts";
import { startAttempt } from "../exchanges/target_exchange.ts";
import { TargetUse } from "../targets/target_use.ts";

/**
 * An owner that refuses has lost the range or has not received it yet; a table
 * update arrives within this time.
 */
const ownerRetryDelayMilliseconds = 100;

/** Mean delay of a repeat while the link is full, about a window at 2 Mbit/s. */
const fullLinkRetryMilliseconds = 300;

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
  readonly #progress: RequestProgress;
  readonly #ending: RequestEnding;
  readonly #results: AttemptResults;
  readonly #presence: CallerPresence;
  readonly #handOver: (progress: ForwardingProgress) => void;
  #endCutOffWatch: () => void = () => {};
  readonly #hedge: RequestHedge;
  #earliestSendAt = -Infinity;
  #waiting: WaitingRequest | undefined;
  readonly #slotAcquisition: SlotAcquisition;
  readonly #telemetry: RequestTelemetry;
  readonly #suspicion: RequestSuspicion;
  readonly #guard = new RequestGuard((failure) => this.#handleFault(failure));
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
    this.#attempts = new TargetAttempts({
      maximumTargets: options.routed.route.maximumTargets,
      reached: options.arrived,
    });
    this.#queue = options.context.selector.service(options.routed.service);
    if (options.routed.relayedBy === undefined) {
      this.#queue.budget.recordRequest(options.context.clock.now());
    }
    this.#progress = new RequestProgress({
      ...options,
      queue: this.#queue,
      arrived: options.arrived,
    });
    this.#telemetry = new RequestTelemetry(options);
    this.#ending = new RequestEnding({
      ...options,
      queue: this.#queue,
      progress: this.#progress,
      telemetry: this.#telemetry,
      release: () => this.#release(),
    });
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
        !this.#ending.isFinished && !this.#response.hasStarted &&
        this.#progress.inProgress === 1 && this.#suspicion.mayHedge &&
        !this.#isDelayedByLink,
      takeAttempt: () => this.#progress.takeArrival(),
      send: (target, record, ticket) => {
        this.#telemetry.recordHedge(target);
        this.#guard.watch(this.#send(target, record, ticket));
      },
    });
    this.#results = new AttemptResults({
      ...options,
      progress: this.#progress,
      ending: this.#ending,
      telemetry: this.#telemetry,
      hedge: this.#hedge,
      suspicion: this.#suspicion,
      guard: this.#guard,
      retry: () => this.#retry(),
      onOwnerRefusal: () => {
        this.#earliestSendAt = this.#context.clock.now() +
          ownerRetryDelayMilliseconds;
      },
      onCutOff: () => this.#handleCutOff(),
    });
  }

  /** Starts forwarding; the caller receives its response at the end. */
  start(): void {
    const { service, position } = this.#routed;
    this.#context.selector.recordReceived(this.#routed);
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
    if (this.#ending.isFinished) return;
    this.#leftAt = this.#context.clock.now();
    this.#telemetry.recordCallerLeft({
      stage: stageOf(this.#progress.exchanges, this.#response),
      targets: [...this.#progress.targets.values()],
    });
    this.#ending.finish();
  }

  // What may run only once is continued elsewhere only if it was sent nowhere.
  #handleCutOff(): void {
    if (this.#ending.isFinished || this.#response.hasStarted) return;
    const { body, relayedBy } = this.#routed;
    const { wasSent, arrived, targets } = this.#progress;
    const mayContinue = body.canBeSent && (!wasSent ||
      (this.#isIdempotent && relayedBy === undefined &&
        this.#progress.takeArrival()));
    if (!mayContinue) return;
    for (const [exchange, target] of targets) {
      if (exchange.isSent) arrived.add(target);
    }
    this.#ending.finish();
    this.#handOver({ arrived: [...arrived], mayHaveRun: wasSent });
  }

  // A request whose runs may end targets waits until it may be attempted.
  #begin(): void {
    this.#suspicion.awaitPermission({
      permitted: (isAttempt) => {
        if (isAttempt) this.#telemetry.recordAttempt();
        this.#guard.run(() => this.#dispatch(), undefined);
      },
      quarantined: (milliseconds) =>
        this.#ending.refuseFor("the request ends its targets", milliseconds),
      late: () =>
        this.#ending.refuse("an attempt of the same request is running", 0),
    });
  }

  // Requests that already wait go first, unless they wait for other targets.
  #dispatch(): void {
    if (this.#queue.waitingCount === 0 && this.#tryStart()) return;
    if (this.#ending.isFinished) return;
    const { route, firstSentAt, isAgeKnown, deadlineAt } = this.#routed;
    const lane = this.#context.selector.laneOf(this.#routed);
    const wait = this.#queue.expectedWait({
      priority: route.priority,
      ...lane,
    });
    const minimum = this.#queue.meanMilliseconds * minimumRemainingShare;
    if (this.#context.clock.now() + wait + minimum > deadlineAt) {
      return this.#ending.refuse("no room in time", wait);
    }
    this.#waiting = {
      priority: route.priority,
      lane: lane.lane,
      arrivedAt: firstSentAt,
      isAgeKnown,
      objectiveAt: this.#objectiveAt,
      deadlineAt,
      tryStart: () => this.#guard.run(() => this.#tryStart(), true),
      refuse: (reason, wait) => this.#ending.refuse(reason, wait),
    };
    this.#queue.wait(this.#waiting);
    this.#queue.advance();
  }

  #handleSlotRefusal(reason: string, waitMilliseconds: number): void {
    if (this.#attempts.retryUnreached()) return this.#dispatch();
    this.#ending.refuse(reason, waitMilliseconds);
  }

  get #objectiveAt(): number {
    const { firstSentAt, route } = this.#routed;
    return firstSentAt + route.objectiveMilliseconds;
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
      if (waitMilliseconds === undefined) this.#ending.refuse(reason, 0);
      else this.#ending.refuseFor(reason, waitMilliseconds);
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
      this.#progress.pendingSends += 1;
      await confirmation;
      this.#progress.pendingSends -= 1;
    }
    if (this.#ending.isFinished) return use.cancel();
    // It may have become a suspect while it waited for a target.
    if (!this.#suspicion.maySend) {
      use.cancel();
      if (!this.#progress.arrived.has(target.name)) {
        this.#attempts.recordNotSent(target.name);
      }
      return this.#begin();
    }
    if (
      findSendFault(this.#context, this.#routed) ||
      !mayReceive(this.#context, target)
    ) return this.#withhold(target, use);
    const { clock, reach } = this.#context;
    const attempt = use.cancelOnFailure(() =>
      startAttempt({
        context: this.#context,
        routed: this.#routed,
        answer: this.#response,
        progress: this.#progress,
        target,
      })
    );
    this.#telemetry.recordSend(
      target,
      ticket ? SendPath.granted : SendPath.chosen,
    );
    const { exchange } = attempt;
    this.#progress.begin(exchange, target.name);
    reach.begin();
    this.#scheduleHedge();
    const result = await exchange.result;
    reach.end();
    this.#progress.end(exchange, target.name, result);
    if (!this.#progress.arrived.has(target.name)) {
      this.#attempts.recordUnreached(target.name);
    }
    if (this.#leftAt <= clock.now()) {
      this.#telemetry.recordCancellation(target, {
        isSent: exchange.isSent,
        sinceMilliseconds: clock.now() - this.#leftAt,
      });
    }
    attempt.end(result);
    if (result.kind === "notSent" && result.isWithheld) {
      return this.#withhold(target, use);
    }
    use.end(result, {
      isAbandoned: this.#ending.isFinished,
      heldMilliseconds: exchange.heldMilliseconds,
    });
    const examination = this.#suspicion.recordResult(result, target);
    // Most results do not wait for it.
    if (examination) this.#guard.watch(examination.then(() => {}));
    if (!this.#ending.isFinished) {
      this.#results.handle(result, target, examination);
    }
  }

  /**
   * Handles that the request was not sent to a target because of its key or limit,
   * or because the target leaves. Without a fault, it is sent again.
   */
  #withhold(target: TargetView, use: TargetUse): void {
    use.cancel();
    const fault = findSendFault(this.#context, this.#routed);
    this.#telemetry.recordWithheld(target, { fault, chosenAt: use.startedAt });
    if (this.#ending.isFinished) return;
    if (!this.#progress.arrived.has(target.name)) {
      this.#attempts.recordNotSent(target.name);
    }
    // Another target has the request, and may respond.
    if (this.#progress.inProgress > 0) return;
    if (!fault && this.#routed.body.canBeSent) return this.#begin();
    if (!fault) return this.#ending.refuse("the body cannot be sent again", 0);
    this.#ending.refuseSend(fault);
  }

  #scheduleHedge(): void {
    const { position } = this.#routed;
    if (!this.#isIdempotent || position !== undefined) return;
    this.#hedge.schedule((hedge) => this.#guard.run(hedge, undefined));
  }

  get #isIdempotent(): boolean {
    return this.#routed.route.requests === RequestKind.idempotent;
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
      reason: this.#progress.mayHaveRun ? "failed" : "not-run",
    });
    // A keyed request can only be sent to the owner.
    if (this.#routed.position !== undefined) this.#attempts.clear();
    this.#begin();
  }

  #handleFault(failure: unknown): void {
    this.#telemetry.recordFault(failure);
    if (this.#ending.isFinished) return;
    this.#progress.mayHaveRun ||= this.#progress.arrived.size > 0;
    this.#ending.refuse("a fault of the gateway", 0);
  }

  // Called when the request has ended.
  #release(): void {
    this.#endCutOffWatch();
    this.#hedge.cancel();
    this.#suspicion.release();
    if (this.#waiting) this.#queue.remove(this.#waiting);
    this.#slotAcquisition.close();
    for (const exchange of this.#progress.exchanges) exchange.abandon();
  }
}

import type { TargetView } from "@kingcupglade/fleet";
import { RequestKind } from "@kingcupglade/items";
import type { CallerResponse } from "../callers/caller_response.ts";
import { LossCause } from "../exchanges/exchange.ts";
import type { ExchangeResult } from "../exchanges/exchange.ts";
import {
  isSuccess,
  isUnstatedRefusal,
  mayHaveRun,
} from "../exchanges/exchange_end.ts";
import type { RequestEnding } from "./request_ending.ts";
import type { RequestGuard } from "./request_guard.ts";
import type { RequestHedge } from "./request_hedge.ts";
import type { RequestProgress } from "./request_progress.ts";
import type { RequestSuspicion } from "./request_suspicion.ts";
import type { RequestTelemetry } from "./request_telemetry.ts";
import type { ForwardingContext, RoutedRequest } from "./routed_request.ts";
import { misdirectedStatus } from "../targets/target_use.ts";

/** Connection failures after which a request is refused. */
const maximumConnectFailures = 4;

/** Options of {@link AttemptResults}. */
export interface AttemptResultsOptions {
  readonly context: Pick<ForwardingContext, "reach" | "selector">;
  readonly routed: RoutedRequest;
  readonly answer: CallerResponse;
  readonly progress: RequestProgress;
  readonly ending: RequestEnding;
  readonly telemetry: RequestTelemetry;
  readonly hedge: Pick<RequestHedge, "hedge">;
  readonly suspicion: Pick<RequestSuspicion, "wasAttempted">;
  readonly guard: RequestGuard;
  /** Attempts the request again. */
  readonly retry: () => void;
  /** Called when the owner of a key refuses the request. */
  readonly onOwnerRefusal: () => void;
  /** Called when this gateway turns out to be cut off from all targets. */
  readonly onCutOff: () => void;
}

/** Decides what follows from the result of each attempt of one request. */
export class AttemptResults {
  readonly #options: AttemptResultsOptions;

  constructor(options: AttemptResultsOptions) {
    this.#options = options;
  }

  /**
   * Handles the result of an attempt.
   *
   * @param examination Resolves with whether the request has ended the target;
   * undefined if that is not examined.
   */
  handle(
    result: ExchangeResult,
    target: TargetView,
    examination: Promise<boolean> | undefined,
  ): void {
    const { answer, progress } = this.#options;
    const isStreamed = result.kind === "answered" && result.body === null;
    if (answer.hasStarted && !isStreamed) {
      return this.#handleUnstreamed(result, target);
    }
    if (progress.inProgress > 0 && !isSuccess(result)) {
      // The other target may still respond, or may be silent.
      if (result.kind !== "notSent") progress.arrivals += 1;
      if (mayHaveRun(result)) progress.mayHaveRun = true;
      this.#log("hedge-failed", target, result.kind);
      return this.#replaceHedge(examination);
    }
    switch (result.kind) {
      case "answered":
        return this.#handleResponse(result, target);
      case "notSent":
        return this.#handleNotSent(result, target);
      case "unknown":
        return this.#handleLoss(result, target, examination);
    }
  }

  #handleNotSent(
    { reason }: Extract<ExchangeResult, { kind: "notSent" }>,
    target: TargetView,
  ): void {
    const { progress, guard, retry } = this.#options;
    this.#log("target-unreachable", target, reason);
    progress.connectFailures += 1;
    if (progress.connectFailures >= maximumConnectFailures) {
      return guard.watch(this.#handleConnectFailures());
    }
    retry();
  }

  #handleLoss(
    result: Extract<ExchangeResult, { kind: "unknown" }>,
    target: TargetView,
    examination: Promise<boolean> | undefined,
  ): void {
    const { progress, ending, telemetry, guard } = this.#options;
    progress.arrivals += 1;
    progress.mayHaveRun = true;
    telemetry.recordLoss(target, result);
    if (result.cause === LossCause.timeout) {
      return ending.respond(504, "the time is up");
    }
    if (this.#isIdempotent && examination) {
      return guard.watch(
        examination.then((hasEnded) => this.#handleExamination(hasEnded)),
      );
    }
    this.#retryLostResponse();
  }

  // A request that ended a target is not sent to one more.
  #replaceHedge(examination: Promise<boolean> | undefined): void {
    const { hedge, guard } = this.#options;
    if (!examination) return hedge.hedge();
    guard.watch(
      examination.then((hasEnded) => {
        if (!hasEnded) hedge.hedge();
      }),
    );
  }

  // A response that has begun is neither replaced nor sent a second time.
  #handleUnstreamed(result: ExchangeResult, target: TargetView): void {
    const { answer, progress, ending, telemetry } = this.#options;
    if (mayHaveRun(result)) progress.mayHaveRun = true;
    if (!answer.isClosed) {
      return this.#log("hedge-failed", target, "another response has begun");
    }
    if (result.kind === "unknown") telemetry.recordLoss(target, result);
    telemetry.count("failed");
    ending.finish();
  }

  // The gateway may just be finding out that the fault is its own.
  async #handleConnectFailures(): Promise<void> {
    const { context, ending, onCutOff } = this.#options;
    if (await context.reach.confirmCutOff()) onCutOff();
    ending.refuse("no target takes a connection", 0);
  }

  // A request that ended the target of its own attempt is not attempted again.
  #handleExamination(hasEnded: boolean): void {
    const { ending, suspicion } = this.#options;
    if (ending.isFinished) return;
    if (hasEnded && suspicion.wasAttempted) {
      return ending.respond(502, "the request ended its target");
    }
    this.#retryLostResponse();
  }

  #retryLostResponse(): void {
    if (this.#takeRetry()) return this.#options.retry();
    this.#options.ending.respond(502, "the target's answer was lost");
  }

  #handleResponse(
    result: Extract<ExchangeResult, { kind: "answered" }>,
    target: TargetView,
  ): void {
    const { progress, ending } = this.#options;
    const { head, body } = result;
    progress.arrivals += 1;
    this.#recordHolding(target, head.status !== misdirectedStatus);
    if (head.didNotRun) return this.#handleRefusal(head.status, target);
    progress.mayHaveRun = true;
    if (body === null) return ending.endStreamed(head, target);
    if (!this.#isIdempotent && isUnstatedRefusal(head)) {
      return ending.respond(502, "the target did not state that nothing ran");
    }
    if (head.status >= 500 && !progress.failure) {
      progress.failure = { head, body, target: target.name };
      this.#log("target-failed", target, String(head.status));
      if (this.#takeRetry()) return this.#options.retry();
    }
    ending.forward(head, body, target);
  }

  #handleRefusal(status: number, target: TargetView): void {
    const { routed, progress, ending, retry, onOwnerRefusal } = this.#options;
    this.#log("target-refused", target, String(status));
    if (routed.position !== undefined) onOwnerRefusal();
    if (progress.takeArrival()) return retry();
    ending.refuse("the target had no room", 0);
  }

  #recordHolding(target: TargetView, isHeld: boolean): void {
    const { context, routed } = this.#options;
    const { service, position } = routed;
    if (position === undefined) return;
    context.selector.recordHolding(
      { service, position, target: target.name },
      isHeld,
    );
  }

  /** Takes an arrival, if the request may run a second time. */
  #takeRetry(): boolean {
    return this.#isIdempotent && this.#options.progress.takeArrival();
  }

  get #isIdempotent(): boolean {
    return this.#options.routed.route.requests === RequestKind.idempotent;
  }

  #log(event: string, target: TargetView, reason: string): void {
    this.#options.telemetry.logTargetEvent(event, target, reason);
  }
}

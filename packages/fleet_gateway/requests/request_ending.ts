import type { TargetView } from "@kingcupglade/fleet";
import type { CallerResponse } from "../callers/caller_response.ts";
import type { ResponseHead } from "../exchanges/exchange.ts";
import type { RequestProgress } from "./request_progress.ts";
import type { RequestTelemetry } from "./request_telemetry.ts";
import { retryAfterMilliseconds } from "../admission/retry_after.ts";
import type { ForwardingContext, RoutedRequest } from "./routed_request.ts";
import { refuseSend } from "./send_fault.ts";
import type { SendFault } from "./send_fault.ts";
import type { ServiceQueue } from "../slots/service_queue.ts";

/** Options of a {@link RequestEnding}. */
export interface RequestEndingOptions {
  readonly context: Pick<
    ForwardingContext,
    "clock" | "random" | "keys" | "quotas"
  >;
  readonly routed: RoutedRequest;
  readonly answer: CallerResponse;
  readonly progress: RequestProgress;
  readonly telemetry: RequestTelemetry;
  readonly queue: Pick<ServiceQueue, "waitingCount">;
  /** Ends everything that is in progress for the request. */
  readonly release: () => void;
}

/**
 * Ends one request: with a target's response, or with 503 if the request ran
 * nowhere, and with 502 or 504 if it may have run.
 */
export class RequestEnding {
  readonly #options: RequestEndingOptions;
  #isFinished = false;

  constructor(options: RequestEndingOptions) {
    this.#options = options;
  }

  get isFinished(): boolean {
    return this.#isFinished;
  }

  /** Ends the request without a response. */
  finish(): void {
    this.#isFinished = true;
    this.#options.release();
  }

  /** Forwards a response whose end was received. */
  forward(head: ResponseHead, body: Buffer, target: TargetView): void {
    const { telemetry, answer } = this.#options;
    telemetry.count(head.status < 500 ? "answered" : "failed");
    this.finish();
    answer.target = target.name;
    answer.forward(head, body);
    this.#recordResponse(head, target);
  }

  /** Ends a request whose response was streamed to its end. */
  endStreamed(head: ResponseHead, target: TargetView): void {
    this.#options.telemetry.count("answered");
    this.#recordResponse(head, target);
    this.finish();
  }

  /** Refuses the request, unless a target's failure can be forwarded. */
  refuse(reason: string, waitMilliseconds: number): void {
    if (this.#isFinished) return;
    const { context, routed, answer, progress, telemetry } = this.#options;
    const { failure } = progress;
    if (failure) {
      telemetry.count("failed");
      this.finish();
      answer.target = failure.target;
      return answer.forward(failure.head, failure.body);
    }
    // A request that is in flight may run.
    if (progress.mayHaveRun || progress.exchanges.size > 0) {
      return this.respond(502, reason);
    }
    const { clock, random } = context;
    this.respond(
      503,
      reason,
      retryAfterMilliseconds({
        waitMilliseconds,
        leftMilliseconds: routed.deadlineAt - clock.now(),
        random,
      }),
    );
  }

  /**
   * Refuses the request for a time that is not limited to the caller's deadline,
   * as returning sooner is of no use.
   */
  refuseFor(reason: string, milliseconds: number): void {
    if (this.#isFinished) return;
    const { progress } = this.#options;
    if (progress.mayHaveRun || progress.exchanges.size > 0) {
      return this.respond(502, reason);
    }
    this.respond(503, reason, milliseconds);
  }

  /** Refuses a request that is sent nowhere because of its key or limit. */
  refuseSend(fault: SendFault): void {
    const { progress, telemetry, answer } = this.#options;
    if (progress.mayHaveRun) {
      return this.refuse("the request may not be sent again", 0);
    }
    telemetry.count("not-run");
    this.finish();
    answer.respond(refuseSend(fault, this.#options));
  }

  /** Responds in place of a target. */
  respond(
    status: number,
    reason: string,
    retryAfterMilliseconds?: number,
  ): void {
    const { progress, telemetry, queue, answer } = this.#options;
    this.finish();
    telemetry.recordRefusal({
      status,
      reason,
      retryAfterMilliseconds,
      arrivals: progress.arrivals,
      waiting: queue.waitingCount,
    });
    answer.respond({
      status,
      reason,
      ...(retryAfterMilliseconds !== undefined && { retryAfterMilliseconds }),
    });
  }

  #recordResponse(
    { status, framing: received }: ResponseHead,
    { name: target }: TargetView,
  ): void {
    const { telemetry, answer } = this.#options;
    telemetry.recordResponse({ target, status, received, ...answer.sent });
  }
}

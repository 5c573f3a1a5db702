import { AdmissionQueue, RetryBudget } from "@kingcupglade/dispatch";
import type {
  RetryBudgetOptions,
  WaitingRequest,
} from "@kingcupglade/dispatch";

/** Weight of the latest duration in the moving averages of a service. */
const durationWeight = 0.05;
/** Start value of the moving averages, before any response. */
const initialDurationMilliseconds = 250;
/** Limits the effect of one response: a few take many times the expected. */
const maximumWorkRatio = 4;
/** Interval at which queued requests are reviewed without another trigger. */
const reviewIntervalMilliseconds = 20;

/** Mean share of the interval between two requests that has not elapsed yet. */
const meanRemainingShare = 0.5;
const millisecondsPerSecond = 1000;

/** Targets for which requests wait in the same lane. */
export interface Lane {
  readonly lane: string;
  /** Requests of this gateway in flight at the targets of the lane. */
  readonly inFlight: number;
  /** Requests per second that these targets accept; Infinity for any number. */
  readonly maximumPerSecond: number;
}

/** Queue of one service's requests, with statistics of its responses. */
export class ServiceQueue {
  readonly budget: RetryBudget;
  readonly #queue = new AdmissionQueue();
  readonly #now: () => number;
  #meanMilliseconds = initialDurationMilliseconds;
  #workMilliseconds = initialDurationMilliseconds;
  #inFlight = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: {
    readonly now: () => number;
    readonly budget: RetryBudgetOptions;
  }) {
    this.#now = options.now;
    this.budget = new RetryBudget(options.budget);
  }

  /** Requests in progress. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Moving average of the duration until a response, in milliseconds. */
  get meanMilliseconds(): number {
    return this.#meanMilliseconds;
  }

  /** Mean duration at a target of average speed, in milliseconds. */
  get workMilliseconds(): number {
    return this.#workMilliseconds;
  }

  /** Number of queued requests. */
  get waitingCount(): number {
    return this.#queue.length;
  }

  recordStart(): void {
    this.#inFlight += 1;
  }

  /** Records the end of a request, with its durations if it was answered. */
  recordEnd(
    answered: {
      readonly durationMilliseconds: number;
      /** Duration that was expected when the request was sent. */
      readonly expectedMilliseconds: number;
    } | null,
  ): void {
    this.#inFlight -= 1;
    if (answered !== null) {
      const { durationMilliseconds, expectedMilliseconds } = answered;
      this.#meanMilliseconds +=
        (durationMilliseconds - this.#meanMilliseconds) * durationWeight;
      const ratio = durationMilliseconds / Math.max(1, expectedMilliseconds);
      this.#workMilliseconds *= 1 +
        (Math.min(maximumWorkRatio, ratio) - 1) * durationWeight;
    }
    this.advance();
  }

  /** Returns the expected milliseconds until a new request starts. */
  expectedWait(request: Lane & { readonly priority: number }): number {
    const { priority, lane, inFlight, maximumPerSecond } = request;
    const ahead = this.#queue.countAhead(priority, lane);
    return Math.max(
      ahead * this.#meanMilliseconds / Math.max(1, inFlight),
      (ahead + meanRemainingShare) * millisecondsPerSecond / maximumPerSecond,
    );
  }

  /** Queues a request, which {@link advance} starts or refuses. */
  wait(request: WaitingRequest): void {
    this.#queue.add(request);
    this.#scheduleReview();
  }

  remove(request: WaitingRequest): void {
    this.#queue.remove(request);
  }

  /** Starts requests as capacity allows; refuses those that are too late. */
  advance(): void {
    if (this.#queue.length === 0) return;
    this.#queue.advance(this.#now(), this.#meanMilliseconds);
    this.#scheduleReview();
  }

  #scheduleReview(): void {
    if (this.#timer || this.#queue.length === 0) return;
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      this.advance();
    }, reviewIntervalMilliseconds);
  }
}

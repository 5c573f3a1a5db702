import { setImmediate as nextTurn } from "node:timers/promises";
import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import type { Figure } from "./experiment.ts";
import { RandomSource } from "./random_source.ts";

const highestTrackableMicroseconds = 120_000_000;
const microsecondsPerMillisecond = 1000;
const timerToleranceMilliseconds = 2;

/** Options of {@link runLoad}. */
export interface LoadOptions {
  /** Average number of requests that start each second. */
  readonly perSecond: number;
  readonly seconds: number;
  /** Seed of the arrival times and of the random source passed to `send`. */
  readonly seed: number;
  /**
   * Sends one request and resolves with the name of its outcome. A rejection
   * is counted as the outcome `failed`.
   */
  readonly send: (index: number, random: RandomSource) => Promise<string>;
  /**
   * Maximum number of requests in progress. Further requests wait, and their
   * latency still counts from the intended start.
   * @default 4096
   */
  readonly maximumInProgress?: number;
  /**
   * Spins the event loop between requests, so that each starts at its intended
   * time and not together with others when a timer fires. @default false
   */
  readonly startsOnTime?: boolean;
}

/** Result of {@link runLoad}. */
export interface LoadResult {
  readonly sent: number;
  /** Seconds from the first intended start to the last end. */
  readonly seconds: number;
  /** Number of requests by outcome. */
  readonly outcomes: ReadonlyMap<string, number>;
  /** Microseconds from the intended start to the end, by outcome. */
  readonly latency: ReadonlyMap<string, Histogram>;
  /** Microseconds by which requests started after their intended start. */
  readonly startDelay: Histogram;
}

/** Draws the intended start times in milliseconds from a Poisson process. */
export function arrivalTimes(
  options: Pick<LoadOptions, "perSecond" | "seconds">,
  random: RandomSource,
): readonly number[] {
  const meanMilliseconds = 1000 / options.perSecond;
  const times: number[] = [];
  let at = random.exponential(meanMilliseconds);
  while (at < options.seconds * 1000) {
    times.push(at);
    at += random.exponential(meanMilliseconds);
  }
  return times;
}

/**
 * Generates open-loop load: requests start at seeded times that do not depend
 * on responses, so that the latency includes the queueing delay of a slow
 * system.
 */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
  const random = new RandomSource(options.seed);
  const times = arrivalTimes(options, random);
  const recorder = new LoadRecorder();
  const running = new Set<Promise<void>>();
  const maximumInProgress = options.maximumInProgress ?? 4096;
  let notifyEnd = () => {};
  const nextEnd = () => new Promise<void>((resolve) => (notifyEnd = resolve));
  const startedAt = performance.now();
  for (const [index, time] of times.entries()) {
    const intendedAt = startedAt + time;
    if (options.startsOnTime) await spinUntil(intendedAt);
    else await pauseUntil(intendedAt);
    while (running.size >= maximumInProgress) await nextEnd();
    recorder.recordStart(intendedAt);
    const request = options.send(index, random).then(
      (outcome) => recorder.recordEnd(intendedAt, outcome),
      () => recorder.recordEnd(intendedAt, "failed"),
    ).finally(() => {
      running.delete(request);
      notifyEnd();
    });
    running.add(request);
  }
  await Promise.all(running);
  return recorder.result((performance.now() - startedAt) / 1000);
}

/** Returns percentiles of the latency of one outcome, in milliseconds. */
export function latencyFigures(
  result: LoadResult,
  options: { readonly name: string; readonly outcome: string },
): readonly Figure[] {
  const histogram = result.latency.get(options.outcome);
  const percentiles = [50, 90, 99, 99.9];
  return percentiles.map((percentile) => ({
    name: `${options.name} p${percentile}`,
    value: (histogram?.getValueAtPercentile(percentile) ?? 0) /
      microsecondsPerMillisecond,
    unit: "ms",
  }));
}

/** Returns the share of the requests that ended with an outcome, 0 to 1. */
export function outcomeShare(result: LoadResult, outcome: string): number {
  return result.sent === 0
    ? 0
    : (result.outcomes.get(outcome) ?? 0) / result.sent;
}

class LoadRecorder {
  #sent = 0;
  readonly #outcomes = new Map<string, number>();
  readonly #latency = new Map<string, Histogram>();
  readonly #startDelay = createHistogram();

  recordStart(intendedAt: number): void {
    this.#sent += 1;
    this.#startDelay.recordValue(microsecondsSince(intendedAt));
  }

  recordEnd(intendedAt: number, outcome: string): void {
    this.#outcomes.set(outcome, (this.#outcomes.get(outcome) ?? 0) + 1);
    const histogram = this.#latency.get(outcome) ?? createHistogram();
    this.#latency.set(outcome, histogram);
    histogram.recordValue(microsecondsSince(intendedAt));
  }

  result(seconds: number): LoadResult {
    return {
      sent: this.#sent,
      seconds,
      outcomes: this.#outcomes,
      latency: this.#latency,
      startDelay: this.#startDelay,
    };
  }
}

function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: highestTrackableMicroseconds,
    numberOfSignificantValueDigits: 3,
  });
}

function microsecondsSince(at: number): number {
  const microseconds = Math.round(
    (performance.now() - at) * microsecondsPerMillisecond,
  );
  return Math.min(highestTrackableMicroseconds, Math.max(0, microseconds));
}

async function spinUntil(at: number): Promise<void> {
  await pauseUntil(at - timerToleranceMilliseconds);
  while (performance.now() < at) await nextTurn();
}

// Timers are too coarse for short gaps: several requests may start at once.
async function pauseUntil(at: number): Promise<void> {
  const remaining = at - performance.now();
  if (remaining > 0) {
    await new Promise((resolve) => setTimeout(resolve, remaining));
  }
}

import type { IncomingHttpHeaders } from "node:http";
import { FramingBudget } from "./framing_budget.ts";
import type { PipelineStep } from "./pipeline_policy.ts";

/**
 * Room for unread requests and for responses that wait for one before them, next
 * to 48 MiB for bodies and 32 MiB for held responses, within a VM of 210 MB.
 */
const defaultMaximumBytes = 16 * 1024 * 1024;
/**
 * Requests of each connection run one by one for this long after a response
 * whose body ends with its connection: such a target sends more of them.
 */
const sequentialMilliseconds = 60_000;

/**
 * Bytes of framing of all bodies. A chunk of one byte has five, and takes some
 * 1.2 microseconds of processor time.
 */
const framingBytesPerMillisecond = 512;

/** Why a request waits. */
export type PipelineWait = Exclude<
  PipelineStep,
  typeof PipelineStep.proceed | typeof PipelineStep.discard
>;

/** Receives what happens to pipelined requests. */
export interface PipelineObserver {
  /** A request, or the bytes of some, began to wait. */
  readonly onWait?: (reason: PipelineWait) => void;
  /**
   * What stands behind a response that closes its connection is dropped; called
   * for the first bytes of a connection.
   */
  readonly onDiscard?: (dropped: {
    /** Requests that were read and not started. */
    readonly requests: number;
    /** Bytes that were not read as requests. */
    readonly bytes: number;
  }) => void;
  /** A response that would close its connection before others is replaced. */
  readonly onReplace?: (headers: IncomingHttpHeaders) => void;
  /**
   * A body in small chunks is read more slowly than it arrives; called once for
   * each connection.
   */
  readonly onHold?: () => void;
  /** Called with the memory in use when it changes. */
  readonly onBytes?: (bytes: number) => void;
}

/** Options of {@link PipelineLimits}. */
export interface PipelineLimitsOptions {
  /** Requests of a connection in progress at the same time. @default 4 */
  readonly concurrentPerConnection?: number;
  /** Bound on what waits on all connections. @default 16 MiB */
  readonly maximumBytes?: number;
  readonly observer?: PipelineObserver;
  /** Returns milliseconds. @default performance.now */
  readonly now?: () => number;
}

/** Limits of pipelined requests, over all connections of a listener. */
export class PipelineLimits {
  readonly observer: PipelineObserver;
  /** Budget for the framing of bodies. */
  readonly framing: FramingBudget;
  readonly #concurrent: number;
  readonly #maximumBytes: number;
  readonly #now: () => number;
  #usedBytes = 0;
  #sequentialUntil = -Infinity;

  constructor(options: PipelineLimitsOptions = {}) {
    this.#concurrent = options.concurrentPerConnection ?? 4;
    this.#maximumBytes = options.maximumBytes ?? defaultMaximumBytes;
    this.observer = options.observer ?? {};
    this.#now = options.now ?? (() => performance.now());
    this.framing = new FramingBudget({
      bytesPerMillisecond: framingBytesPerMillisecond,
      now: this.#now,
    });
  }

  /** Requests of a connection that may be in progress at the same time. */
  get concurrentPerConnection(): number {
    return this.#now() < this.#sequentialUntil ? 1 : this.#concurrent;
  }

  /** Bytes that wait on all connections. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  get isFull(): boolean {
    return this.#usedBytes >= this.#maximumBytes;
  }

  /** Adds bytes that wait, or returns them if negative. */
  add(bytes: number): void {
    if (bytes === 0) return;
    this.#usedBytes += bytes;
    this.observer.onBytes?.(this.#usedBytes);
  }

  /** Records a response whose body ends with its connection. */
  recordClosingBody(): void {
    this.#sequentialUntil = this.#now() + sequentialMilliseconds;
  }
}

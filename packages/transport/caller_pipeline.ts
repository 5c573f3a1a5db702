import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { BodyBoundary } from "./body_boundary.ts";
import type { ReadBody } from "./framing_budget.ts";
import { HeadBoundary } from "./head_boundary.ts";
import { lingerMilliseconds } from "./listener_connection.ts";
import type { ListenerConnection } from "./listener_connection.ts";
import { PartCollector } from "./part_collector.ts";
import type { PipelineLimits, PipelineWait } from "./pipeline_limits.ts";
import {
  isSafeMethod,
  nextPipelineStep,
  PipelineStep,
} from "./pipeline_policy.ts";
import { PipelinedResponse } from "./pipelined_response.ts";

/**
 * Unread bytes of a connection above which it is not read on. Below, it is, as
 * the end of a connection is behind all that has arrived before.
 */
const maximumHeldBytes = 16 * 1024;

/** A request that was read and not started. */
interface PendingRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly start: () => void;
}

/**
 * Bounds the requests of one connection that are in progress at the same time.
 * It stands between the socket and its parser, and gives the parser no more than
 * one request at a time; what may not be started yet stays unread.
 */
export class CallerPipeline {
  readonly #socket: Socket;
  readonly #connection: ListenerConnection;
  readonly #limits: PipelineLimits;
  readonly #parse: (chunk: Buffer) => void;
  readonly #headBoundary = new HeadBoundary();
  /** End of the body of the request that was read last. */
  #bodyBoundary = BodyBoundary.of({});
  /** Bytes that the parser was not given. */
  readonly #held = new PartCollector();
  /** The first of them, of which the parser was given a part. */
  #rest: Buffer | undefined;
  #heldBytes = 0;
  #pending: PendingRequest[] = [];
  #waitReason: PipelineWait | undefined;
  #isAdvancing = false;
  #isPaused = false;
  /** Whether the body has to wait for the budget for framing. */
  #isHeld = false;
  #wasHeld = false;
  #isClosing = false;
  #hasDiscarded = false;
  #isStopped = false;

  /** The server must have set up the socket before. */
  constructor(options: {
    readonly socket: Socket;
    readonly connection: ListenerConnection;
    readonly limits: PipelineLimits;
  }) {
    const { socket, connection, limits } = options;
    this.#socket = socket;
    this.#connection = connection;
    this.#limits = limits;
    const parsers = socket.listeners("data") as ((chunk: Buffer) => void)[];
    socket.removeAllListeners("data");
    this.#parse = (chunk) => {
      for (const parse of parsers) parse.call(socket, chunk);
    };
    // A listener for data has Node.js hand the bytes over to JavaScript.
    socket.on("data", (chunk: Buffer) => this.#receive(chunk));
    socket.on("resume", () => {
      // The event comes in a later turn, in which it may be paused again.
      this.#isPaused &&= socket.isPaused();
      this.advance();
    });
    socket.on("drain", () => this.advance());
    socket.once("end", () => this.stop());
    socket.once("close", () => this.#release());
    // Node.js calls it after a response that closes the connection.
    socket.destroySoon = () => this.#linger();
  }

  /** Starts a request that was read, now or once those before it allow it. */
  add(pending: PendingRequest): void {
    this.#pending.push(pending);
    this.#bodyBoundary = BodyBoundary.of(pending.request.headers);
    this.advance();
  }

  /** Starts and reads what may be. */
  advance(): void {
    if (this.#isAdvancing) return;
    this.#isAdvancing = true;
    try {
      while (this.#takeStep());
    } finally {
      this.#isAdvancing = false;
    }
    this.#pauseOrResume();
  }

  /** Drops what is unread, and all that arrives from now on. */
  stop(): void {
    this.#isStopped = true;
    this.#drop();
  }

  #receive(chunk: Buffer): void {
    if (this.#isStopped) return;
    this.#held.add(chunk);
    this.#addHeldBytes(chunk.length);
    this.advance();
    if (this.#heldBytes < maximumHeldBytes || !this.#limits.isFull) return;
    // The caller sends again what stands behind a response that closes.
    this.#connection.refuseReuse();
    this.advance();
  }

  #takeStep(): boolean {
    if (this.#isStopped || this.#socket.destroyed) return false;
    const next = this.#pending[0];
    if (next) {
      if (!this.#mayProceed(isSafeMethod(next.request.method))) return false;
      this.#pending.shift();
      this.#start(next);
      return true;
    }
    // Node.js pauses a socket while the body of a request is not read.
    const isPausedElsewhere = this.#socket.isPaused() && !this.#isPaused;
    if (this.#heldBytes === 0 || isPausedElsewhere) return false;
    if (!this.#bodyBoundary.hasEnded) {
      if (this.#isHeld) return false;
      this.#parseBody();
      return true;
    }
    if (!this.#mayProceed(undefined)) return false;
    this.#parseNext(this.#headBoundary);
    return true;
  }

  #mayProceed(isSafe: boolean | undefined): boolean {
    const step = this.#nextStep(isSafe);
    if (step === PipelineStep.proceed) {
      this.#waitReason = undefined;
      return true;
    }
    if (step === PipelineStep.discard) {
      this.#discard();
      return false;
    }
    // Each request is counted once, whatever it waits for next.
    if (this.#waitReason === undefined) this.#limits.observer.onWait?.(step);
    this.#waitReason = step;
    return false;
  }

  #nextStep(isSafe: boolean | undefined): PipelineStep {
    const { responses } = this.#connection;
    let hasUnsafe = false;
    let waitingBytes = 0;
    for (const each of responses) {
      this.#isClosing ||= !each.shouldKeepAlive || each.destroyed;
      hasUnsafe ||= !isSafeMethod(each.req.method);
      if (each instanceof PipelinedResponse) waitingBytes += each.waitingBytes;
    }
    return nextPipelineStep({
      inProgress: responses.size,
      maximum: this.#limits.concurrentPerConnection,
      isClosing: this.#isClosing,
      hasUnsafe,
      isSafe,
      waitingBytes,
      // Beyond it, Node.js would stop to read and not notice that a caller leaves.
      maximumWaitingBytes: this.#socket.writableHighWaterMark,
      isMemoryFull: this.#limits.isFull,
      isCallerSlow: this.#socket.writableNeedDrain,
    });
  }

  #start({ response, start }: PendingRequest): void {
    if (response instanceof PipelinedResponse) {
      response.place = {
        limits: this.#limits,
        isFollowed: () => this.#connection.newestResponse !== response,
      };
    }
    start();
    response.once("close", () => {
      // The connection itself closes a little later.
      this.#isClosing ||= !response.shouldKeepAlive;
      this.advance();
    });
  }

  #parseBody(): void {
    const boundary = this.#bodyBoundary;
    const { bodyBytes: earlierBytes } = boundary;
    const length = this.#parseNext(boundary, boundary.maximumParsedBytes);
    const bodyBytes = boundary.bodyBytes - earlierBytes;
    this.#takeFraming({ framingBytes: length - bodyBytes, bodyBytes });
  }

  #takeFraming(read: ReadBody): void {
    const waitMilliseconds = this.#limits.framing.take(read);
    if (waitMilliseconds === 0) return;
    this.#isHeld = true;
    setTimeout(() => {
      this.#isHeld = false;
      this.advance();
    }, waitMilliseconds).unref();
    if (!this.#wasHeld) this.#limits.observer.onHold?.();
    this.#wasHeld = true;
  }

  /** Has the next bytes parsed, up to the boundary; returns their number. */
  #parseNext(
    boundary: BodyBoundary | HeadBoundary,
    maximumBytes = Infinity,
  ): number {
    const chunk = this.#rest ?? this.#held.shift()!;
    const length = boundary.measure(chunk.subarray(0, maximumBytes));
    const isWhole = length === chunk.length;
    this.#rest = isWhole ? undefined : chunk.subarray(length);
    this.#addHeldBytes(-length);
    this.#parse(isWhole ? chunk : chunk.subarray(0, length));
    return length;
  }

  // The system resets a connection that is closed before all bytes were read, and
  // the caller would lose responses that it has not read.
  #linger(): void {
    this.stop();
    this.#pauseOrResume();
    this.#socket.end();
    const timer = setTimeout(() => this.#socket.destroy(), lingerMilliseconds);
    this.#socket.once("close", () => clearTimeout(timer));
  }

  #pauseOrResume(): void {
    const isFull = this.#heldBytes >= maximumHeldBytes;
    if (isFull && !this.#socket.isPaused()) {
      this.#isPaused = true;
      this.#socket.pause();
    } else if (!isFull && this.#isPaused) {
      this.#isPaused = false;
      this.#socket.resume();
    }
  }

  #discard(): void {
    const dropped = { requests: this.#pending.length, bytes: this.#heldBytes };
    this.#drop();
    if (dropped.requests + dropped.bytes === 0 || this.#hasDiscarded) return;
    this.#hasDiscarded = true;
    this.#limits.observer.onDiscard?.(dropped);
  }

  #drop(): void {
    for (const { request } of this.#pending) request.resume();
    this.#pending = [];
    this.#held.take();
    this.#rest = undefined;
    this.#addHeldBytes(-this.#heldBytes);
  }

  #addHeldBytes(bytes: number): void {
    this.#heldBytes += bytes;
    this.#limits.add(bytes);
  }

  #release(): void {
    this.stop();
    for (const each of this.#connection.responses) {
      if (each instanceof PipelinedResponse) each.release();
    }
  }
}

import { setTimeout as pause } from "node:timers/promises";
import { CrashSuspects, Standing, SuspectAttempts } from "@kingcupglade/fleet";
import type { CrashSuspect, TargetView } from "@kingcupglade/fleet";
import type { SuspectCall, SuspectReply } from "@kingcupglade/fleet_control";
import type { Clock } from "@kingcupglade/tasks";
import { describeFailure } from "@kingcupglade/telemetry";
import type { Logger, Metrics } from "@kingcupglade/telemetry";
import { incarnationId, TargetEnd } from "./target_end_detector.ts";
import type { TargetEndDetector } from "./target_end_detector.ts";

/** Pause before the leader is asked again for an attempt. */
const askIntervalMilliseconds = 70;
/** Suspects that wait for an attempt at the same time. */
const maximumWaiting = 500;
/** Pause before a report that the leader did not receive is repeated. */
const reportPauseMilliseconds = 250;

/** Content and service of a request, as far as the gate needs them. */
export interface GatedRequest {
  readonly service: string;
  readonly digest: () => string;
  readonly deadlineAt: number;
}

/** Permission to send a suspect to a target. */
export interface SuspectAttempt {
  /** Ends the attempt, which showed nothing. */
  release(): void;
}

/** Receives the result of waiting for an attempt; one of them, once. */
export interface AttemptListener {
  readonly granted: (attempt: SuspectAttempt) => void;
  /** The request is not suspected any more. */
  readonly cleared: () => void;
  /** The request may not be sent for a time. */
  readonly quarantined: (milliseconds: number) => void;
  /** The deadline is too close for an attempt. */
  readonly late: () => void;
}

/** Options of a {@link SuspectGate}. */
export interface SuspectGateOptions {
  readonly name: string;
  /** Sends a call to the leader; fails if there is none. */
  readonly call: (call: SuspectCall) => Promise<SuspectReply>;
  readonly endDetector: Pick<TargetEndDetector, "examine">;
  /** Returns the time that an attempt takes. */
  readonly attemptMilliseconds: (service: string) => number;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

interface Waiter {
  readonly request: GatedRequest;
  readonly listener: AttemptListener;
}

/**
 * Keeps requests whose runs may end targets from reaching one target after the
 * other: lets one attempt of each run at a time over all gateways, as long as
 * the leader can be asked, and refuses those in quarantine.
 */
export class SuspectGate {
  readonly #options: SuspectGateOptions;
  readonly #suspects = new CrashSuspects();
  /** Used while the leader cannot be asked. */
  readonly #ownAttempts = new SuspectAttempts();
  /** Requests that wait for an attempt, by digest. */
  readonly #waiters = new Map<string, Waiter[]>();
  #waiterCount = 0;
  /** Digests that the leader published last, and its term. */
  #published: ReadonlySet<string> = new Set();
  #term = 0;

  constructor(options: SuspectGateOptions) {
    this.#options = options;
  }

  /** Whether a request must not be sent without an attempt. */
  isSuspect({ digest }: Pick<GatedRequest, "digest">): boolean {
    // Spares the digest as long as there are no suspects.
    return this.#suspects.size > 0 &&
      this.#standing(digest()) !== Standing.clear;
  }

  /**
   * Waits for permission to send a suspect. Returns a function that ends the
   * wait.
   */
  requestAttempt(
    request: GatedRequest,
    listener: AttemptListener,
  ): () => void {
    const digest = request.digest();
    const waiter = { request, listener };
    const waiting = this.#waiters.get(digest) ?? [];
    const isFirst = waiting.length === 0;
    const isFull = this.#waiterCount >= maximumWaiting &&
      this.#standing(digest) === Standing.suspect;
    if (isFull) {
      setImmediate(() => listener.late());
      return () => {};
    }
    this.#waiters.set(digest, waiting);
    waiting.push(waiter);
    this.#waiterCount += 1;
    if (isFirst) void this.#ask(digest);
    return () => this.#remove(digest, waiter);
  }

  /**
   * Examines the target of a request that lost its connection; returns whether
   * the target ended. The attempt, if there was one, ends with this.
   */
  async examine(
    target: TargetView,
    request: GatedRequest,
    attempt: SuspectAttempt | undefined,
  ): Promise<boolean> {
    const { endDetector, clock, metrics, name } = this.#options;
    const end = await endDetector.examine(target);
    if (end !== TargetEnd.ended) {
      attempt?.release();
      return false;
    }
    const digest = request.digest();
    const incarnation = incarnationId(target);
    const isExclusive = this.#ownAttempts.end(digest, name);
    this.#suspects.recordEnd(
      { digest, incarnation, isExclusive },
      clock.now(),
    );
    metrics.suspects.inc({ decision: "ended" });
    this.#report({ kind: "ended", gateway: name, digest, incarnation });
    return true;
  }

  /** Records that a run of a request ended by itself. */
  recordRun({ digest }: Pick<GatedRequest, "digest">): void {
    const { name, logger, metrics } = this.#options;
    if (this.#suspects.size === 0) return;
    this.#ownAttempts.end(digest(), name);
    if (!this.#suspects.clear(digest())) return;
    metrics.suspects.inc({ decision: "cleared" });
    logger.info("suspect-ran", { digest: digest() });
    this.#report({ kind: "ran", gateway: name, digest: digest() });
    this.#settle(digest());
  }

  /** Returns what this gateway knows, for a new leader. */
  all(): readonly CrashSuspect[] {
    return this.#suspects.all(this.#options.clock.now());
  }

  /** Applies what a leader published. */
  applyPublished(suspects: readonly CrashSuspect[], term: number): void {
    const now = this.#options.clock.now();
    const published = new Set(suspects.map(({ digest }) => digest));
    // A new leader does not know everything yet.
    if (term === this.#term) {
      for (const digest of this.#published) {
        if (!published.has(digest)) this.#suspects.clear(digest);
      }
    }
    for (const suspect of suspects) this.#suspects.merge(suspect, now);
    this.#published = published;
    this.#term = term;
    for (const digest of [...this.#waiters.keys()]) this.#settle(digest);
  }

  /** Forgets what is outdated; called periodically. */
  expire(): void {
    this.#suspects.expire(this.#options.clock.now());
  }

  #standing(digest: string): Standing {
    return this.#suspects.standing(digest, this.#options.clock.now());
  }

  // Asks the leader for one waiting request after the other.
  async #ask(digest: string): Promise<void> {
    for (;;) {
      this.#settle(digest);
      const [first] = this.#waiters.get(digest) ?? [];
      if (!first) return;
      const reply = await this.#askOnce(first.request);
      if (reply.kind === "granted") this.#grant(digest);
      else if (reply.kind === "clear") this.#suspects.clear(digest);
      else if (reply.kind === "quarantined") {
        this.#suspects.merge(reply.suspect, this.#options.clock.now());
      } else await pause(askIntervalMilliseconds);
    }
  }

  async #askOnce(request: GatedRequest): Promise<SuspectReply> {
    const { call, clock, name, logger } = this.#options;
    const now = clock.now();
    const digest = request.digest();
    const suspect = this.#suspects.get(digest, now);
    if (!suspect) return { kind: "clear" };
    const { service, deadlineAt } = request;
    const leftMilliseconds = deadlineAt - now;
    try {
      const reply = await call({
        kind: "attempt",
        gateway: name,
        service,
        suspect,
        leftMilliseconds,
      });
      if (reply.kind !== "elsewhere") return reply;
    } catch (failure) {
      const reason = describeFailure(failure);
      logger.info("suspect-call-failed", { digest, reason });
    }
    const isGranted = this.#ownAttempts.request({
      digest,
      service,
      holder: name,
      isExclusive: this.#suspects.needsExclusiveAttempt(digest),
      expiresAt: deadlineAt,
    }, clock.now());
    return { kind: isGranted ? "granted" : "wait" };
  }

  #grant(digest: string): void {
    const { name, metrics } = this.#options;
    const [first] = this.#waiters.get(digest) ?? [];
    const release = () => {
      this.#ownAttempts.end(digest, name);
      this.#report({ kind: "released", gateway: name, digest });
    };
    // The request may have ended while the leader was asked.
    if (!first) return release();
    metrics.suspects.inc({ decision: "attempted" });
    this.#remove(digest, first);
    first.listener.granted({ release });
  }

  /** Ends the wait of requests that are cleared, quarantined or late. */
  #settle(digest: string): void {
    const { clock, attemptMilliseconds, metrics } = this.#options;
    const now = clock.now();
    const standing = this.#standing(digest);
    for (const waiter of [...this.#waiters.get(digest) ?? []]) {
      const { request, listener } = waiter;
      const isLate =
        request.deadlineAt - now < attemptMilliseconds(request.service);
      if (standing === Standing.suspect && !isLate) continue;
      this.#remove(digest, waiter);
      if (standing === Standing.clear) listener.cleared();
      else if (standing === Standing.suspect) listener.late();
      else {
        metrics.suspects.inc({ decision: "refused" });
        listener.quarantined(this.#suspects.refusedMilliseconds(digest, now));
      }
    }
  }

  #remove(digest: string, waiter: Waiter): void {
    const waiting = this.#waiters.get(digest) ?? [];
    const index = waiting.indexOf(waiter);
    if (index < 0) return;
    waiting.splice(index, 1);
    this.#waiterCount -= 1;
    if (waiting.length === 0) this.#waiters.delete(digest);
  }

  // A report that is lost twice reaches the next leader with the watch.
  #report(report: SuspectCall): void {
    const { call, logger } = this.#options;
    void call(report).catch(() =>
      pause(reportPauseMilliseconds).then(() => call(report))
    ).catch((failure) => {
      const reason = describeFailure(failure);
      logger.info("suspect-call-failed", { kind: report.kind, reason });
    });
  }
}

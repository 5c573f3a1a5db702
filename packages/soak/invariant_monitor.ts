import { DepartureMonitor } from "./departure_monitor.ts";
import { isOwnBody } from "./soak_response.ts";
import { LimitMonitor } from "./limit_monitor.ts";
import type { NamedLimit } from "./limit_monitor.ts";
import { NoticeMonitor } from "./notice_monitor.ts";

/** Statuses that guarantee that a request has not run and never will. */
const notExecutedStatuses: ReadonlySet<number> = new Set([
  401,
  408,
  421,
  429,
  503,
]);

/** A target that holds positions for a limited time. */
export interface PositionHolder {
  readonly name: string;
  /** Returns whether the target runs and has a valid hold on a position. */
  holds(position: number): boolean;
}

interface ObservedRequest {
  readonly isIdempotent: boolean;
  /** Address of the gateway that the caller sent it to. */
  readonly gateway: string;
  readonly sentAt: number;
  executions: number;
  hasArrived: boolean;
  /** Target that began to run it last; empty if none did. */
  target: string;
  /** Whether it counts neither as asked nor as served. */
  readonly isProbe: boolean;
  /** Status of the response that the caller received; 0 for none. */
  status: number;
}

/**
 * Checks invariants while callers and targets report events: a non-idempotent
 * request runs at most once, a refused request never runs, a caller receives
 * the response to its own request, and a position has at most one owner.
 */
export class InvariantMonitor {
  readonly violations: string[] = [];
  /** Times at which requests ended the targets that ran them. */
  readonly crashes: number[] = [];
  /** Judges what goes on for callers that have left. */
  readonly departures = new DepartureMonitor();
  readonly #requests = new Map<string, ObservedRequest>();
  readonly #holders: PositionHolder[] = [];
  readonly #limits = new Map<string, LimitMonitor>();
  readonly #notices = new Map<string, NoticeMonitor>();
  /** Number of requests that received status 200, without probes. */
  servedCount = 0;
  #probeCount = 0;

  /** Number of requests that callers have sent, without probes. */
  get requestCount(): number {
    return this.#requests.size - this.#probeCount;
  }

  /** Adds a target that names a limit in its responses. */
  addLimit(limit: NamedLimit): void {
    this.#limits.set(
      limit.target,
      new LimitMonitor(limit, (violation) => this.#fail(violation)),
    );
  }

  /** Records that a new incarnation of a target starts. */
  recordStart(target: string): void {
    this.#noticesOf(target).restart();
    this.#limits.get(target)?.restart();
  }

  /** Records that a gateway, named by its address, becomes faulty or is repaired. */
  recordFault(gateway: string, isFaulty: boolean): void {
    this.departures.recordFault(gateway, isFaulty);
    for (const notices of this.#notices.values()) {
      notices.recordFault(gateway, isFaulty);
    }
    for (const limit of this.#limits.values()) {
      limit.recordFault(gateway, isFaulty, performance.now());
    }
  }

  /** Records that a request ended the target that ran it. */
  recordCrash(): void {
    this.crashes.push(performance.now());
  }

  /** Records that a request reaches a target, whether it runs or not. */
  recordArrival(id: string, target: string): void {
    const seen = this.#requests.get(id);
    if (seen) seen.hasArrived = true;
    this.departures.recordArrival(id);
    const { gateway = "", sentAt = 0 } = seen ?? {};
    const now = performance.now();
    const age = Math.round(now - sentAt);
    this.#noticesOf(target).recordArrival(
      gateway,
      now,
      `${id}, sent ${age} ms before,`,
    );
  }

  /** Returns whether a request has reached a target. */
  hasArrived(id: string): boolean {
    return this.#requests.get(id)?.hasArrived ?? false;
  }

  /** Records that a target turned a request away and asked for a pause. */
  recordPause(id: string, target: string, milliseconds: number): void {
    const { gateway = "" } = this.#requests.get(id) ?? {};
    this.#noticesOf(target).recordPause(
      gateway,
      performance.now(),
      milliseconds,
    );
  }

  /** Records that a target said in a response that it leaves. */
  recordLeaving(id: string, target: string): void {
    const { gateway = "" } = this.#requests.get(id) ?? {};
    this.#noticesOf(target).recordLeaving(gateway, performance.now());
  }

  #noticesOf(target: string): NoticeMonitor {
    const known = this.#notices.get(target);
    if (known) return known;
    const notices = new NoticeMonitor(target, (each) => this.#fail(each));
    this.#notices.set(target, notices);
    return notices;
  }

  /** Adds a target of a keyed service. */
  watch(holder: PositionHolder): void {
    this.#holders.push(holder);
  }

  /** Records that a caller sends a request. */
  recordRequest(id: string, isIdempotent: boolean, gateway = ""): void {
    this.#addRequest(id, { isIdempotent, gateway, isProbe: false });
  }

  /**
   * Records a request that shows which configuration a gateway has, or that may
   * be rejected for other reasons.
   */
  recordProbe(id: string, gateway: string, isIdempotent = true): void {
    this.#probeCount += 1;
    this.#addRequest(id, { isIdempotent, gateway, isProbe: true });
  }

  /** Returns the target that began to run a request last; empty for none. */
  targetOf(id: string): string {
    return this.#requests.get(id)?.target ?? "";
  }

  /** Returns the address of the gateway that a request was sent to. */
  gatewayOf(id: string): string {
    return this.#requests.get(id)?.gateway ?? "";
  }

  #addRequest(
    id: string,
    request: Pick<ObservedRequest, "isIdempotent" | "gateway" | "isProbe">,
  ): void {
    this.#requests.set(id, {
      ...request,
      sentAt: performance.now(),
      executions: 0,
      hasArrived: false,
      target: "",
      status: 0,
    });
  }

  /** Records that a target starts to run a request. */
  recordExecution(id: string, target: string): void {
    const seen = this.#requests.get(id);
    if (!seen) return this.#fail(`${target} runs ${id}, which no caller sent`);
    this.#limits.get(target)?.recordArrival(seen.gateway, performance.now());
    seen.executions += 1;
    seen.target = target;
    if (!seen.isIdempotent && seen.executions > 1) {
      this.#fail(
        `${id} runs ${seen.executions} times, now at ${target}`,
      );
    }
    if (notExecutedStatuses.has(seen.status)) {
      this.#fail(`${id} runs at ${target} after response ${seen.status}`);
    }
  }

  /** Checks that no other target holds the position of a started request. */
  checkOwner(
    id: string,
    execution: { target: string; position: number },
  ): void {
    const others = this.#holders.filter((each) =>
      each.name !== execution.target && each.holds(execution.position)
    );
    if (others.length === 0) return;
    const names = others.map(({ name }) => name).join(", ");
    this.#fail(
      `${id}: ${execution.target} and ${names} hold position ${execution.position}`,
    );
  }

  /** Records the response that a caller received. */
  recordResponse(
    id: string,
    response: {
      readonly status: number;
      readonly body: string;
      /** Whether a length or chunks marked its end. */
      readonly isDelimited: boolean;
      /** Target that named a limit in the response; empty if none did. */
      readonly limitedTarget?: string;
    },
  ): void {
    const seen = this.#requests.get(id)!;
    const { limitedTarget = "" } = response;
    this.#limits.get(limitedTarget)?.recordResponse(
      seen.gateway,
      performance.now(),
    );
    seen.status = response.status;
    if (response.status === 200) {
      if (!seen.isProbe) this.servedCount += 1;
      const { body, isDelimited } = response;
      if (!isOwnBody(id, body, isDelimited)) {
        this.#fail(`${id} received ${describeBody(body)}`);
      }
    }
    if (
      notExecutedStatuses.has(response.status) && !seen.isIdempotent &&
      seen.executions > 0
    ) {
      this.#fail(`${id} received status ${response.status} but has run`);
    }
  }

  #fail(violation: string): void {
    const seconds = (performance.now() / 1000).toFixed(3);
    this.violations.push(`at ${seconds} s: ${violation}`);
  }
}

const describedBytes = 80;

function describeBody(body: string): string {
  return `${body.length} bytes, "${body.slice(0, describedBytes)}"`;
}

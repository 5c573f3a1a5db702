import { randomBytes } from "node:crypto";
import type { Workspace } from "@kingcupglade/items";
import {
  packReport,
  QuotaAdmissions,
  QuotaRejection,
  unpackAnswer,
} from "@kingcupglade/quotas";
import type {
  QuotaCall,
  QuotaDecision,
  QuotaReply,
  QuotaState,
  QuotaUse,
} from "@kingcupglade/quotas";
import type { Clock } from "@kingcupglade/tasks";
import { describeFailure } from "@kingcupglade/telemetry";
import type { Logger, Metrics } from "@kingcupglade/telemetry";
import type { GatewayResponse } from "../callers/caller_response.ts";

/** Bytes that distinguish the lives of one gateway within some seconds. */
const incarnationBytes = 4;
/** Retry-after of a request whose lease ended after it was admitted. */
const elsewhereRetryMilliseconds = 300;

/** A request whose workspace is known. */
export interface LimitedRequest {
  readonly requestId: string;
  readonly workspace: string;
}

/** Decision on a request; no use if its workspace has no limit. */
export type QuotaAdmission =
  | { readonly kind: "accepted"; readonly use?: QuotaUse }
  | { readonly kind: "refused"; readonly response: GatewayResponse };

/** Options of a {@link QuotaGate}. */
export interface QuotaGateOptions {
  /** Name of this VM. */
  readonly name: string;
  readonly windowMilliseconds: number;
  readonly table: () => {
    readonly keys: {
      readonly hasLimits: boolean;
      workspaceNamed(name: string): Workspace | undefined;
    };
    workspaceVersion(name: string): number;
  };
  /** Calls the leader; fails if there is none. */
  readonly call: (call: QuotaCall) => Promise<QuotaReply>;
  readonly clock: Clock;
  /** Also advances while this VM is suspended. */
  readonly elapsedClock: Clock;
  readonly logger: Logger;
  readonly metrics: Pick<
    Metrics,
    "quotaDecisions" | "quotaCalls" | "quotaWorkspaces" | "refusals"
  >;
}

/** Keeps requests of workspaces within the limits that all gateways share. */
export class QuotaGate {
  readonly #options: QuotaGateOptions;
  readonly #admissions: QuotaAdmissions;
  #timer: NodeJS.Timeout | undefined;
  #isClosed = false;

  constructor(options: QuotaGateOptions) {
    this.#options = options;
    this.#admissions = new QuotaAdmissions({
      ...options,
      incarnation: randomBytes(incarnationBytes).toString("hex"),
    });
  }

  /**
   * Decides on a request, after 250 ms at the latest. Whoever receives a use has
   * to release it once the request has ended.
   */
  async admit(request: LimitedRequest): Promise<QuotaAdmission> {
    const { workspace } = request;
    const content = this.#options.table().keys.workspaceNamed(workspace);
    if (!content || content.ratePerSecond <= 0) return { kind: "accepted" };
    const startedAt = this.#options.clock.now();
    const decision = await new Promise<QuotaDecision>((resolve) => {
      this.#admissions.admit(workspace, resolve);
      this.#drive();
    });
    const waitedMilliseconds = Math.round(
      this.#options.clock.now() - startedAt,
    );
    if (decision.kind === "rejected") {
      return {
        kind: "refused",
        response: this.#reject(request, decision, waitedMilliseconds),
      };
    }
    this.#options.metrics.quotaDecisions.inc({
      decision: waitedMilliseconds > 0 ? "waited" : "admitted",
    });
    return { kind: "accepted", use: decision.use };
  }

  /** Logs and counts that an admitted request is not sent without a lease. */
  refuseUnleased(request: LimitedRequest): GatewayResponse {
    return this.#reject(request, {
      reason: QuotaRejection.lease,
      retryAfterMilliseconds: elsewhereRetryMilliseconds,
      state: this.#admissions.quotas.state(request.workspace),
    }, 0);
  }

  /**
   * Returns the use of a request that another gateway relays and counts, and
   * that must be sent to a target within the given time.
   */
  relayedUse(milliseconds: number): QuotaUse {
    const { elapsedClock } = this.#options;
    const endsAt = elapsedClock.now() + milliseconds;
    let isSent = false;
    const isValid = () => isSent || elapsedClock.now() < endsAt;
    return {
      get isValid() {
        return isValid();
      },
      get leftMilliseconds() {
        return Math.max(0, endsAt - elapsedClock.now());
      },
      send: () => (isSent = isValid()),
      // A relayed request is not relayed again.
      relay: () => false,
      release: () => {},
    };
  }

  /** Returns the report for a watch request; empty without any limit. */
  takeReport(isNewLeader: boolean): readonly unknown[] {
    const { metrics, table } = this.#options;
    const { quotas } = this.#admissions;
    const isUnused = quotas.size === 0 && !table().keys.hasLimits;
    if (isUnused) {
      quotas.reportWholeNext();
      return [];
    }
    const report = quotas.report(isNewLeader);
    metrics.quotaWorkspaces.set(quotas.size);
    return packReport(report);
  }

  /** Applies what a watch response says. */
  receive({ quotas }: { readonly quotas?: unknown }): void {
    const answer = unpackAnswer(quotas);
    if (!answer) return;
    this.#admissions.apply(answer);
    this.#drive();
  }

  /** Ends all waits; requests are rejected. */
  close(): void {
    this.#isClosed = true;
    clearTimeout(this.#timer);
  }

  #reject(
    { requestId, workspace }: LimitedRequest,
    { reason, retryAfterMilliseconds, state }: {
      readonly reason: QuotaRejection;
      readonly retryAfterMilliseconds: number;
      readonly state: QuotaState;
    },
    waitedMilliseconds: number,
  ): GatewayResponse {
    const { logger, metrics, table } = this.#options;
    const status = reason === QuotaRejection.limit ? 429 : 503;
    metrics.quotaDecisions.inc({ decision: "rejected" });
    metrics.refusals.inc({ reason });
    logger.info("quota-rejected", {
      request: requestId,
      status,
      reason,
      workspace,
      version: table().workspaceVersion(workspace),
      perSecond: table().keys.workspaceNamed(workspace)?.ratePerSecond ?? null,
      allowance: state.allowance,
      count: state.count,
      leaseAgeMilliseconds: rounded(state.leaseAgeMilliseconds),
      waitedMilliseconds,
      retryAfterMilliseconds: Math.round(retryAfterMilliseconds),
    });
    return { status, reason, retryAfterMilliseconds };
  }

  // Does what is due, and sets the timer for what is due next.
  #drive(): void {
    const admissions = this.#admissions;
    admissions.expire();
    if (this.#isClosed) return;
    if (admissions.isCallDue) void this.#call();
    clearTimeout(this.#timer);
    const { nextAt } = admissions;
    if (nextAt === undefined) return;
    const milliseconds = Math.max(1, nextAt - this.#options.clock.now());
    this.#timer = setTimeout(() => this.#drive(), milliseconds);
  }

  async #call(): Promise<void> {
    const { name, call, logger, metrics } = this.#options;
    const report = packReport(this.#admissions.startCall());
    let answer: ReturnType<typeof unpackAnswer>;
    try {
      answer = unpackAnswer((await call({ gateway: name, report })).answer);
      metrics.quotaCalls.inc({ outcome: answer ? "answered" : "elsewhere" });
    } catch (failure) {
      const reason = describeFailure(failure);
      metrics.quotaCalls.inc({ outcome: "failed" });
      logger.info("quota-call-failed", { report: report[0], reason });
    }
    this.#admissions.endCall(answer ?? null);
    this.#drive();
  }
}

function rounded(milliseconds: number): number | null {
  return Number.isFinite(milliseconds) ? Math.round(milliseconds) : null;
}

import type { VmRecord } from "@kingcupglade/ownership";
import {
  Header,
  ledgerNotQueried,
  Reason,
  unknownOutcome,
} from "@kingcupglade/routing";
import type { Refusal } from "@kingcupglade/routing";
import type { Clock } from "@kingcupglade/tasks";
import type { Metrics } from "@kingcupglade/telemetry";
import type { RoutingTask } from "../control/routing_task.ts";
import type { ResolvedTls } from "../settings/tls.ts";
import { refusalFromReceiver, unknownReason } from "./attempts.ts";
import type { CallerRequest } from "./attempts.ts";
import { ExchangeClient } from "./exchange.ts";
import { UnknownCause } from "./exchange_types.ts";
import type { ExchangeResult } from "./exchange_types.ts";

/** Path prefix of requests that another VM forwarded. */
export const forwardedPathPrefix = "/forward";

const connectionsPerVm = 64;
const retryIntervalMilliseconds = 25;
const deadlineMarginMilliseconds = 30;

/**
 * Refusals after which another VM, or the same one later, may serve the
 * request.
 */
const transientReasons: ReadonlySet<Reason> = new Set([
  Reason.noLedger,
  Reason.noHome,
  Reason.noLease,
  Reason.unreachable,
]);

/** Options of a {@link Forwarder}. */
export interface ForwarderOptions {
  readonly routing: RoutingTask;
  readonly secret: string;
  readonly tls: ResolvedTls;
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** Region of this VM. */
  readonly region: string;
  /** Returns the address of another VM. @default its registered address */
  readonly peerAddress?: ((vm: string) => string) | undefined;
}

/** How a request is forwarded. */
export interface ForwardPlan {
  readonly reason: "ledger" | "home";
  /** Chooses the VM to forward to; null when there is none. */
  readonly choose: () => VmRecord | null;
  /** Creates the refusal of a request that was not forwarded. */
  readonly refuse: (reason: Reason) => Refusal;
  /**
   * Whether a repeated request is safe: it is idempotent or runs at most once.
   */
  readonly mayRepeat: boolean;
}

/** Forwards requests to other VMs; keeps no state about the requests. */
export class Forwarder {
  readonly #options: ForwarderOptions;
  readonly #exchanges: ExchangeClient;
  readonly #scheme: "http" | "https";

  constructor(options: ForwarderOptions) {
    const { tls } = options;
    const material = tls.listeners.has("peers") ? tls.material : undefined;
    this.#options = options;
    this.#scheme = material ? "https" : "http";
    this.#exchanges = new ExchangeClient({
      connectionsPerTarget: connectionsPerVm,
      ...material,
    });
  }

  /**
   * Returns null when the sink received a response, complete or visibly
   * truncated; otherwise the refusal to send to the caller.
   */
  async run(
    caller: CallerRequest,
    plan: ForwardPlan,
  ): Promise<Refusal | null> {
    const { clock, metrics, routing } = this.#options;
    let unknown: Refusal | null = null;
    let last = plan.refuse(
      plan.reason === "ledger" ? Reason.noLedger : Reason.noHome,
    );
    metrics.forwarded.inc({ reason: plan.reason });
    while (clock.now() < caller.deadlineAt && !caller.sink.isClosed) {
      const vm = plan.choose();
      const result = vm ? await this.#exchange(caller, vm) : null;
      if (result?.kind === "answered" || result?.kind === "truncated") {
        return null;
      }
      if (result) last = refusalOf(result, plan);
      // An attempt that did not run does not show whether an earlier one ran.
      if (result?.kind === "unknown" && !isTransient(last)) unknown = last;
      if (result && !mayRetry(result, { last, plan })) break;
      if (!caller.body.canBeSent) break;
      await routing.waitForRenewal(
        Math.min(retryIntervalMilliseconds, caller.deadlineAt - clock.now()),
      );
    }
    return unknown ?? last;
  }

  /** Closes every connection. */
  close(): Promise<void> {
    return this.#exchanges.close();
  }

  async #exchange(
    caller: CallerRequest,
    vm: VmRecord,
  ): Promise<ExchangeResult> {
    const { clock, secret, routing, metrics, region } = this.#options;
    const address = this.#options.peerAddress?.(vm.name) ?? vm.peerAddress;
    const { body, deadlineAt, method, path, headers, sink } = caller;
    const timeoutMilliseconds = Math.max(1, deadlineAt - clock.now());
    const result = await this.#exchanges.run({
      address: `${this.#scheme}://${address}`,
      method,
      path: `${forwardedPathPrefix}${path}`,
      headers,
      openBody: () => body.open(),
      bodyLength: body.streamedLength,
      added: {
        [Header.vmSecret]: `Bearer ${secret}`,
        [Header.deadline]: String(
          nextHopTimeoutMilliseconds(timeoutMilliseconds),
        ),
      },
      timeoutMilliseconds,
      maySend: () =>
        routing.hasLease && clock.now() < deadlineAt && !sink.isClosed,
    }, sink);
    if (vm.region !== region) {
      metrics.regionLinkBytes.inc(
        { tenant: caller.matched.tenant },
        body.length + sink.bytes,
      );
    }
    return result;
  }
}

// The next VM gets less time, so that its outcome arrives before the deadline.
function nextHopTimeoutMilliseconds(timeoutMilliseconds: number): number {
  const margin = Math.min(deadlineMarginMilliseconds, timeoutMilliseconds / 4);
  return Math.max(1, Math.floor(timeoutMilliseconds - margin));
}

type FailedExchange = Exclude<
  ExchangeResult,
  { readonly kind: "answered" | "truncated" }
>;

function refusalOf(result: FailedExchange, plan: ForwardPlan): Refusal {
  switch (result.kind) {
    case "notSent":
      return plan.refuse(Reason.unreachable);
    case "notRun":
      return refusalFromReceiver(result);
    case "unknown":
      return result.reason === Reason.noLedger
        ? ledgerNotQueried(Reason.noLedger)
        : unknownOutcome(unknownReason(result));
  }
}

function isTransient(refusal: Refusal): boolean {
  return transientReasons.has(refusal.reason);
}

function mayRetry(
  result: FailedExchange,
  context: { readonly last: Refusal; readonly plan: ForwardPlan },
): boolean {
  if (isTransient(context.last)) return true;
  return result.kind === "unknown" && context.plan.mayRepeat &&
    result.reason === undefined &&
    result.cause === UnknownCause.connectionLost;
}

import { CallerDeadlines } from "@kingcupglade/dispatch";
import { createMetrics } from "@kingcupglade/telemetry";
import { noKeys, noQuotas } from "./forwarding_fixture.ts";
import { RequestHandler } from "./request_handler.ts";
import type { RequestHandlerOptions } from "./request_handler.ts";
import { ServiceQueue } from "../slots/service_queue.ts";
import { StopSchedule } from "../callers/stop_schedule.ts";

/** Creates a handler that finds no target for any request. */
export function createIdleHandler(
  context:
    & { readonly table: () => unknown }
    & Readonly<
      Record<string, unknown>
    >,
  options: Partial<RequestHandlerOptions> = {},
): RequestHandler {
  const queue = new ServiceQueue({
    now: () => 0,
    budget: { ratio: 0.2, windowMilliseconds: 1000, slack: 5 },
  });
  return new RequestHandler({
    context: {
      logger: { debug() {}, info() {}, warn() {}, error() {} },
      metrics: createMetrics(),
      clock: { now: () => 0 },
      stalls: { readDelay: () => 0 },
      random: Math.random,
      wire: { readRequest: () => ({ requestId: "r1" }) },
      selector: {
        recordReceived: () => {},
        parts: { next: () => "catalogue" },
        service: () => queue,
        select: () => ({ kind: "none", reason: "no target" }),
      },
      pools: { poolFor: () => undefined },
      keys: noKeys,
      contactAge: () => 0,
      callerDeadlines: new CallerDeadlines(),
      quotas: noQuotas,
      suspects: { isSuspect: () => false },
      reach: {
        isCutOff: false,
        shouldUseTargets: () => true,
        onCutOff: () => () => {},
      },
      ...context,
    } as never,
    stopSchedule: new StopSchedule(6000),
    digest: () => "",
    ...options,
  });
}

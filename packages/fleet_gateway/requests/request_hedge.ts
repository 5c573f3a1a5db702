import type { TargetRecord } from "@kingcupglade/dispatch";
import type { TargetView } from "@kingcupglade/fleet";
import { hedgeDelay } from "./hedge_delay.ts";
import type { ForwardingContext, RoutedRequest } from "./routed_request.ts";
import type { SlotAcquisition } from "../slots/slot_acquisition.ts";
import type { SlotTicket } from "../slots/slot_client.ts";
import type { TargetAttempts } from "../targets/target_attempts.ts";

/** Options of a {@link RequestHedge}. */
export interface RequestHedgeOptions {
  readonly context: Pick<ForwardingContext, "clock" | "selector">;
  readonly routed: RoutedRequest;
  readonly slotAcquisition: Pick<SlotAcquisition, "requestHedgeSlot">;
  /** Time of the route's latency objective. */
  readonly objectiveAt: number;
  /** Targets that the request was sent to. */
  readonly attempts: Pick<TargetAttempts, "mayTryNew" | "tried">;
  /** Whether the request is in flight, and may be sent to a second target. */
  readonly mayHedge: () => boolean;
  /** Charges one more arrival to the retry budget, if that allows it. */
  readonly takeAttempt: () => boolean;
  readonly send: (
    target: TargetView,
    record: TargetRecord,
    ticket?: SlotTicket,
  ) => void;
}

/**
 * Sends a request whose response is overdue to a second target, which is idle
 * and in the region, and to a further one if one of the two fails.
 */
export class RequestHedge {
  readonly #options: RequestHedgeOptions;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: RequestHedgeOptions) {
    this.#options = options;
  }

  /** Starts waiting for the response, once for each request. */
  schedule(run: (hedge: () => void) => void): void {
    if (this.#timer) return;
    const { context, routed, objectiveAt } = this.#options;
    const { clock, selector } = context;
    const delay = hedgeDelay({
      meanMilliseconds: selector.service(routed.service).meanMilliseconds,
      objectiveMilliseconds: objectiveAt - clock.now(),
    });
    this.#timer = setTimeout(() => run(() => this.hedge()), delay);
  }

  cancel(): void {
    clearTimeout(this.#timer);
  }

  /** Sends the request to one more target, if that is allowed. */
  hedge(): void {
    const { context, routed, slotAcquisition, attempts } = this.#options;
    const { mayHedge, takeAttempt, send } = this.#options;
    const { clock, selector } = context;
    const { route, service, deadlineAt } = routed;
    if (!mayHedge()) return;
    const { meanMilliseconds } = selector.service(service);
    if (clock.now() + meanMilliseconds / 2 > deadlineAt) return;
    if (!attempts.mayTryNew) return;
    const { tried } = attempts;
    const isRequested = slotAcquisition.requestHedgeSlot({
      tried,
      granted: (target, ticket) => {
        if (!mayHedge() || !takeAttempt()) return ticket.end(null);
        send(target, selector.record(target.name), ticket);
      },
    });
    if (isRequested) return;
    const selection = selector.selectIdle({ route, service, tried });
    if (!selection || !takeAttempt()) return;
    send(selection.target, selection.record);
  }
}

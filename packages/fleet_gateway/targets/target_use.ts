import { ExchangeEnd } from "@kingcupglade/dispatch";
import type { TargetRecord } from "@kingcupglade/dispatch";
import type { TargetView } from "@kingcupglade/fleet";
import { LossCause } from "../exchanges/exchange.ts";
import type { ExchangeResult } from "../exchanges/exchange.ts";
import { endOf } from "../exchanges/exchange_end.ts";
import type { ForwardingContext } from "../requests/routed_request.ts";
import type { ServiceQueue } from "../slots/service_queue.ts";
import type { SlotTicket } from "../slots/slot_client.ts";

/** Status of a target that is not the expected one or does not hold the key. */
export const misdirectedStatus = 421;

/** Options of {@link TargetUse}. */
export interface TargetUseOptions {
  readonly context: Pick<ForwardingContext, "clock" | "limits" | "link">;
  readonly target: TargetView;
  readonly record: TargetRecord;
  readonly queue: ServiceQueue;
  /** The slot that a manager granted; undefined if there is none. */
  readonly ticket: SlotTicket | undefined;
}

/**
 * The place of one request at a target, which counts from the moment at which the
 * target is chosen.
 */
export class TargetUse {
  readonly startedAt: number;
  readonly #options: TargetUseOptions;
  readonly #expectedMilliseconds: number;

  constructor(options: TargetUseOptions) {
    const { context, record, queue } = options;
    this.#options = options;
    this.startedAt = context.clock.now();
    this.#expectedMilliseconds = record.expectedDuration(
      queue.workMilliseconds,
      this.startedAt,
    );
    record.begin();
    queue.recordStart();
  }

  /** Returns what `start` does; gives the place back if it throws. */
  cancelOnFailure<Result>(start: () => Result): Result {
    try {
      return start();
    } catch (failure) {
      this.cancel();
      throw failure;
    }
  }

  /** Gives the place back, as the request is not sent. */
  cancel(): void {
    const { record, queue, ticket } = this.#options;
    record.end(ExchangeEnd.abandoned, this.#durationsWithout(0));
    ticket?.end(null);
    queue.recordEnd(null);
  }

  /** Records how the exchange with the target has ended. */
  end(
    result: ExchangeResult,
    options: {
      readonly isAbandoned: boolean;
      /** Time for which the link kept the response from being read. */
      readonly heldMilliseconds?: number;
    },
  ): void {
    const { context, record, queue, target, ticket } = this.#options;
    const saysNothing = options.isAbandoned || this.#isOfFullLink(result);
    const end = saysNothing ? ExchangeEnd.abandoned : endOf(result);
    const durations = this.#durationsWithout(options.heldMilliseconds ?? 0);
    const head = result.kind === "answered" ? result.head : undefined;
    record.end(end, durations);
    if (head?.load) record.report(head.load, durations.now);
    ticket?.end({
      end,
      durationMilliseconds: durations.durationMilliseconds,
      load: head?.load || null,
      isHeld: head ? head.status !== misdirectedStatus : null,
      maximumPerSecond: context.limits.of(target.name)?.perSecond ?? null,
    });
    queue.recordEnd(end === ExchangeEnd.answered ? durations : null);
  }

  // What is late while the link is full tells nothing of the target.
  #isOfFullLink(result: ExchangeResult): boolean {
    const isLate = result.kind === "notSent" ||
      (result.kind === "unknown" && result.cause === LossCause.timeout);
    return isLate && this.#options.context.link?.isFull === true;
  }

  #durationsWithout(heldMilliseconds: number) {
    const now = this.#options.context.clock.now();
    return {
      now,
      durationMilliseconds: now - this.startedAt - heldMilliseconds,
      expectedMilliseconds: this.#expectedMilliseconds,
    };
  }
}

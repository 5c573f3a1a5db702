import type { Clock } from "@kingcupglade/tasks";
import type { Logger } from "@kingcupglade/telemetry";
import type { TargetResponseHead } from "./caller_wire.ts";

/** Limit of the requests that a target accepts from all gateways together. */
export interface TargetLimit {
  readonly perSecond: number;
  /** Time at which this VM learned of it, on its clock, in milliseconds. */
  readonly learnedAt: number;
}

/** What a target's response says about its limit. */
export interface LimitObservation {
  readonly target: string;
  /** ID of the request that was answered; empty for a load probe. */
  readonly request: string;
  readonly head: Pick<
    TargetResponseHead,
    "maximumRequestsPerSecond" | "isSigned" | "didNotRun"
  >;
  /** Time at which the answered request was sent. */
  readonly sentAt: number;
}

/** Limits of requests that targets name in their responses. */
export class TargetLimits {
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #limits = new Map<string, TargetLimit>();

  constructor(options: { readonly clock: Clock; readonly logger: Logger }) {
    this.#clock = options.clock;
    this.#logger = options.logger;
  }

  /** Returns the limit of a target; undefined when it names none. */
  of(target: string): TargetLimit | undefined {
    return this.#limits.get(target);
  }

  /** Records a response; one that names no limit ends an earlier one. */
  record({ target, request, head, sentAt }: LimitObservation): void {
    const perSecond = head.maximumRequestsPerSecond;
    const known = this.#limits.get(target);
    if (perSecond === known?.perSecond) return;
    if (perSecond === undefined) {
      // The response may have been sent before the target named its limit, and
      // rejections need not name it.
      const isConclusive = head.isSigned && !head.didNotRun;
      if (!isConclusive || sentAt < known!.learnedAt) return;
      this.#limits.delete(target);
    } else {
      this.#limits.set(target, { perSecond, learnedAt: this.#clock.now() });
    }
    this.#logger.info("target-limit-changed", {
      target,
      request,
      perSecond: perSecond ?? null,
      before: known?.perSecond ?? null,
    });
  }

  /** Discards the limits of targets that no longer exist. */
  retainOnly(isTarget: (name: string) => boolean): void {
    for (const name of this.#limits.keys()) {
      if (!isTarget(name)) this.#limits.delete(name);
    }
  }
}

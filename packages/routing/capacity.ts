import type { TargetRecord } from "@kingcupglade/ownership";
import { notRun, Reason } from "./outcome.ts";
import type { Refusal } from "./outcome.ts";

/** A request that needs a permit for its target. */
export interface CapacityRequest {
  readonly target: TargetRecord;
  readonly tenant: string;
  readonly class: string;
  /** Monotonic time in milliseconds after which waiting is useless. */
  readonly deadlineAt: number;
  /**
   * Returns whether the request still belongs to the target; checked whenever
   * the routing table changes. If absent, it does.
   */
  readonly isCurrent?: () => boolean;
}

/** The request no longer belongs to the target it was waiting for. */
export interface TargetChanged {
  readonly kind: "moved";
}

/** Result of an exchange with a target, from which limits are adapted. */
export interface ExchangeReport {
  /**
   * `fenced` if the target refused the fencing epoch, `shed` if it refused to
   * run the request for another reason.
   */
  readonly result: "answered" | "shed" | "fenced" | "failed" | "cancelled";
  readonly milliseconds: number;
}

/** Permission to have one request in progress at a target. */
export interface Permit {
  readonly kind: "permit";
  /** Must be called exactly once, when the exchange has ended. */
  release(report: ExchangeReport): void;
}

/** Decides when a request may be sent to a target. */
export abstract class CapacityGate {
  /**
   * Waits for a permit. Returns a refusal if none is expected or available by
   * the deadline, or {@link TargetChanged} if the request has to be sent
   * elsewhere.
   */
  abstract acquire(
    request: CapacityRequest,
  ): Promise<Permit | Refusal | TargetChanged>;

  /** Returns how many requests may start at a target now. */
  abstract available(target: TargetRecord): number;

  /** Returns how many requests of this VM run at a target or wait for it. */
  abstract load(target: TargetRecord): number;

  /** Returns how many requests of this VM wait for a target. */
  abstract queued(target: TargetRecord): number;
}

/** Applies a fixed limit per target that this VM enforces on its own. */
export class LocalCapacityGate extends CapacityGate {
  readonly #inProgress = new Map<string, number>();
  readonly #share: number;

  constructor(options: {
    /** Share of a target's slots that this VM uses. @default 1 */
    readonly share?: number;
  } = {}) {
    super();
    this.#share = options.share ?? 1;
  }

  override available(target: TargetRecord): number {
    const limit = target.condition === "cold" ? target.coldSlots : target.slots;
    return Math.max(1, Math.floor(limit * this.#share)) - this.load(target);
  }

  override load(target: TargetRecord): number {
    return this.#inProgress.get(target.target) ?? 0;
  }

  override queued(): number {
    return 0;
  }

  override acquire(
    request: CapacityRequest,
  ): Promise<Permit | Refusal | TargetChanged> {
    const { target } = request;
    const used = this.load(target);
    if (this.available(target) <= 0) {
      return Promise.resolve(
        notRun(Reason.overload, { retryAfterSeconds: 1 }),
      );
    }
    this.#inProgress.set(target.target, used + 1);
    return Promise.resolve({
      kind: "permit",
      release: () => this.#release(target.target),
    });
  }

  #release(target: string): void {
    const used = this.#inProgress.get(target) ?? 0;
    if (used <= 1) this.#inProgress.delete(target);
    else this.#inProgress.set(target, used - 1);
  }
}

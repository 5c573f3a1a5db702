import {
  intervalMilliseconds,
  SharedRateLimiter,
} from "@kingcupglade/dispatch";
import type { SharedRate } from "@kingcupglade/dispatch";
import type { TargetView } from "@kingcupglade/fleet";
import type { TableSynchronizer } from "../table/table_synchronizer.ts";
import type { TargetLimits } from "./target_limits.ts";

/**
 * A gateway without contact to the leader for this long stops using cold
 * targets: a new leader waits longer before it assigns gateways to them.
 */
const coldLeaseMilliseconds = 2000;
/**
 * Share of a cold target's rate that is used, as requests that are sent evenly
 * may arrive together.
 */
const usedColdShare = 0.85;
/**
 * Requests per second that are sent to a target even if it names a lower limit,
 * as only a response can show that the limit has ended.
 */
const minimumPerSecond = 0.25;
const millisecondsPerSecond = 1000;

/** Options of {@link TargetRates}. */
export interface TargetRatesOptions {
  readonly synchronizer: Pick<
    TableSynchronizer,
    "table" | "millisecondsSinceContact"
  >;
  /** Name of the gateway's VM. */
  readonly name: string;
  readonly limits: Pick<TargetLimits, "of">;
  /**
   * Returns the number of gateways that share a target's limit, this one
   * included; 0 if this one may not send to a target that names a limit.
   */
  readonly limitSharers: (target: TargetView) => number;
  /** Returns a number between 0 and 1. */
  readonly random: () => number;
}

/** Keeps a gateway's requests within the rates that targets can take. */
export class TargetRates {
  readonly #options: TargetRatesOptions;
  readonly #coldLimiters = new Map<string, SharedRateLimiter>();
  /** Limiters of targets that name a limit. */
  readonly #limiters = new Map<string, SharedRateLimiter>();

  constructor(options: TargetRatesOptions) {
    this.#options = options;
  }

  /** Whether a request may be sent to a target now. */
  allows(target: TargetView, now: number): boolean {
    return this.#allowsCold(target, now) && this.#allowsLimited(target, now);
  }

  /**
   * Returns the requests per second that the limit of a target leaves to this
   * gateway; Infinity if it names none.
   */
  maximumPerSecond(target: TargetView): number {
    const rate = this.#limitedRate(target);
    if (!rate) return Infinity;
    return rate.gateways === 0
      ? 0
      : millisecondsPerSecond / intervalMilliseconds(rate);
  }

  /** Records that a request is sent to a target. */
  record(target: TargetView, now: number): void {
    if (target.isCold) this.#coldLimiter(target.name).take(now);
    this.#limiters.get(target.name)?.take(now);
  }

  /** Discards the state of a target that was removed. */
  forget(target: string): void {
    this.#coldLimiters.delete(target);
    this.#limiters.delete(target);
  }

  #allowsCold(target: TargetView, now: number): boolean {
    if (!target.isCold) return true;
    const { synchronizer, name } = this.#options;
    const { coldGateways } = target;
    const service = synchronizer.table.service(target.service);
    return service !== undefined && coldGateways.includes(name) &&
      synchronizer.millisecondsSinceContact(now) < coldLeaseMilliseconds &&
      this.#coldLimiter(target.name).allows(now, {
        perSecond: service.coldPerSecond * usedColdShare,
        gateways: coldGateways.length,
      });
  }

  #allowsLimited(target: TargetView, now: number): boolean {
    const rate = this.#limitedRate(target);
    if (!rate || rate.gateways === 0) {
      this.#limiters.delete(target.name);
      return !rate;
    }
    return this.#limiter(target.name, rate, now).allows(now, rate);
  }

  /** Returns the rate of a target that names a limit. */
  #limitedRate(target: TargetView): SharedRate | undefined {
    const { limits, limitSharers } = this.#options;
    const limit = limits.of(target.name);
    if (!limit) return undefined;
    return {
      perSecond: Math.max(minimumPerSecond, limit.perSecond),
      gateways: limitSharers(target),
    };
  }

  // The first request is sent at a random time within the interval, as all
  // gateways may learn of the limit at the same time.
  #limiter(target: string, rate: SharedRate, now: number): SharedRateLimiter {
    const existing = this.#limiters.get(target);
    if (existing) return existing;
    const elapsed = this.#options.random() * intervalMilliseconds(rate);
    const limiter = new SharedRateLimiter(now - elapsed);
    this.#limiters.set(target, limiter);
    return limiter;
  }

  #coldLimiter(target: string): SharedRateLimiter {
    const existing = this.#coldLimiters.get(target);
    if (existing) return existing;
    const limiter = new SharedRateLimiter();
    this.#coldLimiters.set(target, limiter);
    return limiter;
  }
}

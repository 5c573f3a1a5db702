import type { TargetLimitReport, TargetView } from "@kingcupglade/fleet";
import type { Clock } from "@kingcupglade/tasks";
import type { Logger } from "@kingcupglade/telemetry";
import type { GatewayTable } from "../table/gateway_table.ts";

/** Limit of the requests that a target accepts from all gateways together. */
export interface TargetLimit {
  readonly perSecond: number;
  /** Time at which this VM learned of it, on its clock, in milliseconds. */
  readonly learnedAt: number;
}

/** What a target's response says about its limit. */
export interface LimitObservation {
  readonly target: string;
  /** ID of the request that was answered; empty if this VM did not send it. */
  readonly request: string;
  /** Requests per second; null if the response names no limit. */
  readonly perSecond: number | null;
  /**
   * Whether a response without a limit ends an earlier one: rejections and
   * failures need not name it.
   */
  readonly isConclusive: boolean;
  /** Time at which the answered request was sent. */
  readonly sentAt: number;
}

/**
 * Limits of requests that targets name in their responses, as known from
 * responses to this VM and, through the leader, to others.
 */
export class TargetLimits {
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #limits = new Map<string, TargetLimit>();
  /** Targets whose limits changed since the last report to the leader. */
  readonly #unreported = new Set<string>();
  /** Limits in the table as last applied. */
  #published: ReadonlyMap<string, number> = new Map();
  /** Term of the leader that sent this table. */
  #term = 0;

  constructor(options: { readonly clock: Clock; readonly logger: Logger }) {
    this.#clock = options.clock;
    this.#logger = options.logger;
  }

  /** Returns the limit of a target; undefined when it names none. */
  of(target: string): TargetLimit | undefined {
    return this.#limits.get(target);
  }

  /** Records what a response says. */
  record(observation: LimitObservation): void {
    const { target, request, perSecond, isConclusive, sentAt } = observation;
    const known = this.#limits.get(target);
    if (perSecond === (known?.perSecond ?? null)) return;
    // The response may have been sent before the target named its limit.
    const isOutdated = known !== undefined && sentAt < known.learnedAt;
    if (perSecond === null && (!isConclusive || isOutdated)) return;
    this.#set(target, perSecond);
    this.#unreported.add(target);
    this.#logger.info("target-limit-changed", {
      target,
      request,
      perSecond,
      before: known?.perSecond ?? null,
    });
  }

  /** Applies the limits that the leader published; called after each update. */
  applyTable(
    table: Pick<GatewayTable, "position" | "target" | "targets">,
  ): void {
    const published = new Map<string, number>();
    for (const { name, maximumPerSecond } of table.targets) {
      if (maximumPerSecond !== null) published.set(name, maximumPerSecond);
    }
    // A new leader does not know the limits yet that it has no reports of.
    const isSameTerm = table.position.term === this.#term;
    for (const name of [...this.#limits.keys()]) {
      if (!table.target(name)) this.#forget(name);
      else if (isSameTerm && this.#published.has(name)) {
        if (!published.has(name)) this.#applyPublished(name, null);
      }
    }
    for (const [name, perSecond] of published) {
      if (this.#published.get(name) !== perSecond) {
        this.#applyPublished(name, perSecond);
      }
    }
    this.#published = published;
    this.#term = table.position.term;
  }

  /** Returns and resets the limits to report; all of them for a new leader. */
  takeReports(isNewLeader: boolean): readonly TargetLimitReport[] {
    const targets = new Set(this.#unreported);
    if (isNewLeader) {
      for (const target of this.#limits.keys()) targets.add(target);
    }
    this.#unreported.clear();
    return [...targets].map((target) => ({
      target,
      perSecond: this.#limits.get(target)?.perSecond ?? null,
    }));
  }

  // What this VM has seen itself and not reported yet is newer.
  #applyPublished(target: string, perSecond: number | null): void {
    const known = this.#limits.get(target)?.perSecond ?? null;
    if (perSecond === known || this.#unreported.has(target)) return;
    this.#set(target, perSecond);
    this.#logger.info("target-limit-published", {
      target,
      perSecond,
      before: known,
    });
  }

  #set(target: string, perSecond: number | null): void {
    if (perSecond === null) this.#limits.delete(target);
    else {
      this.#limits.set(target, { perSecond, learnedAt: this.#clock.now() });
    }
  }

  #forget(target: string): void {
    this.#limits.delete(target);
    this.#unreported.delete(target);
  }
}

/**
 * Returns the number of gateways that share the limit of a target which they
 * choose themselves; 0 if the gateway may not send to it, or does not know how
 * many share it. The manager of a target keeps its limit alone.
 */
export function limitSharers(
  table: Pick<GatewayTable, "pools" | "gatewayCount">,
  { target, gateway }: {
    readonly target: TargetView;
    readonly gateway: string;
  },
): number {
  if (table.pools.managerOf(target)) return 0;
  const { limitGateways } = target;
  // Until the leader has chosen some gateways, all share the limit.
  if (limitGateways.length === 0) return table.gatewayCount;
  return limitGateways.includes(gateway) ? limitGateways.length : 0;
}

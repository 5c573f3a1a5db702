import { hasDeparted } from "@kingcupglade/fleet";
import type {
  ListedTarget,
  RegisteredTarget,
  RevisionCounter,
  TargetRegistry,
  TargetView,
} from "@kingcupglade/fleet";
import type { LimitDirectory } from "./limit_directory.ts";
import type { ManagerDirectory } from "./manager_directory.ts";
import type { TargetDepartures } from "./target_departures.ts";

/** Time for which a cold target assigned by an earlier leader may be used. */
const coldLeaseMilliseconds = 2500;

/** Options of {@link TargetViews}. */
export interface TargetViewsOptions {
  readonly departures: TargetDepartures;
  readonly registry: TargetRegistry;
  readonly revisions: RevisionCounter;
  readonly managers: ManagerDirectory;
  readonly limits: LimitDirectory;
  /** Time at which this replica became leader. */
  readonly startedAt: number;
}

/** The targets as published to gateways. */
export class TargetViews {
  readonly #options: TargetViewsOptions;
  #coldGatewayCount = 0;

  constructor(options: TargetViewsOptions) {
    this.#options = options;
  }

  /**
   * Publishes a new revision if gateways have been chosen for a cold target
   * after it was published; called periodically.
   */
  update(now: number): void {
    const { registry, managers, revisions } = this.#options;
    if (!this.#mayChooseColdGateways(now)) return;
    let count = 0;
    for (const target of registry.all()) {
      if (!target.isCold) continue;
      count += managers.coldGateways(target, now).length;
    }
    if (count !== this.#coldGatewayCount) revisions.next();
    this.#coldGatewayCount = count;
  }

  /** Returns the targets that have changed after a revision; -1 for all. */
  changesSince(revision: number, now: number): readonly TargetView[] {
    return [...this.#options.registry.all()].filter((target) =>
      target.revision > revision ||
      (target.isCold && this.#mayChooseColdGateways(now))
    ).map((target) => this.#viewOf(target, now));
  }

  #mayChooseColdGateways(now: number): boolean {
    return now - this.#options.startedAt >= coldLeaseMilliseconds;
  }

  /** Returns what rarely changes of a target. */
  listedOf(target: RegisteredTarget): ListedTarget {
    const { incarnation, service, address, dataCentre, slots } = target;
    const { target: name } = incarnation;
    const departure = this.#options.departures.certainOf(name);
    return {
      name,
      bornAt: incarnation.bornAt,
      service,
      address,
      dataCentre,
      slots,
      isLeaving: target.isLeaving || hasDeparted(incarnation, departure),
      maximumPerSecond: target.maximumPerSecond,
    };
  }

  #viewOf(target: RegisteredTarget, now: number): TargetView {
    const { managers, limits } = this.#options;
    return {
      ...this.listedOf(target),
      isCold: target.isCold || target.isUnconfirmed,
      coldGateways: target.isCold && this.#mayChooseColdGateways(now)
        ? managers.coldGateways(target, now)
        : [],
      limitGateways: limits.gatewaysOf(target.incarnation.target),
    };
  }
}

import type {
  Announcement,
  AnnouncementResponse,
} from "@kingcupglade/membership";
import {
  coordinate,
  LeavingOwnerTracker,
  LoadEstimator,
  RangeIndex,
} from "@kingcupglade/ownership";
import type {
  ControlCommand,
  ControlState,
  CoordinatorPlan,
  GroupLoadReport,
  LeaderView,
  LoadView,
  VmRecord,
} from "@kingcupglade/ownership";
import type { Clock } from "@kingcupglade/tasks";
import { describeFailure } from "@kingcupglade/telemetry";
import type { Logger, Metrics } from "@kingcupglade/telemetry";
import type { GrantSender } from "./grant_sender.ts";
import type { ReplicaTask } from "./replica_task.ts";
import { TargetTracker } from "./target_tracker.ts";
import { VmTracker } from "./vm_tracker.ts";

/** Minimum time between two coordination rounds. */
const coordinationIntervalMilliseconds = 5;
/** Minimum time between two plans that balance the load. */
const balancePeriodMilliseconds = 1000;

/** A VM's request to renew its routing lease. */
export interface VmRenewal {
  readonly vm: Omit<VmRecord, "changedAt">;
  readonly appliedVersion: number;
  readonly quiescentVersion: number;
  /** Requests counted since the last report. */
  readonly load?: readonly GroupLoadReport[];
}

/** Options of a {@link LeaderSession}. */
export interface LeaderSessionOptions {
  readonly replica: ReplicaTask;
  readonly grants: GrantSender;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly routingLeaseMilliseconds: number;
  readonly targetLeaseMilliseconds: number;
}

/**
 * Leads control from one replica: grants leases to VMs and targets, tracks the
 * grants that targets confirmed, and carries out the next steps of each range.
 */
export class LeaderSession {
  readonly #options: LeaderSessionOptions;
  readonly #vms: VmTracker;
  readonly #targets: TargetTracker;
  readonly #estimator: LoadEstimator;
  readonly #rangeIndex = new RangeIndex();
  readonly #leavingOwners = new LeavingOwnerTracker();
  /** Pending removals by VM name: proposed, but not known to be committed. */
  readonly #removals = new Map<string, Promise<unknown>>();
  #loads: LoadView = new Map();
  #balancedAt: number;
  #coordinatedAt = -Infinity;
  #timer: NodeJS.Timeout | undefined;
  #isCoordinating = false;
  #isCoordinationRequested = false;
  #pushSequence = 0;
  #hasEnded = false;

  constructor(options: LeaderSessionOptions) {
    this.#options = options;
    const since = options.clock.now();
    this.#vms = new VmTracker(options.routingLeaseMilliseconds, since);
    this.#targets = new TargetTracker(options.targetLeaseMilliseconds, since);
    this.#estimator = new LoadEstimator(since);
    this.#balancedAt = since;
  }

  /** Ends the session; nothing more is planned, proposed or pushed. */
  end(): void {
    this.#hasEnded = true;
    clearTimeout(this.#timer);
  }

  /**
   * Renews a VM's routing lease, after registering the VM if it is new. Returns
   * the lease in milliseconds, or 0 if the VM gets none because it does not
   * apply the tables that it is sent.
   */
  async renewVm(renewal: VmRenewal): Promise<number> {
    const { vm, load } = renewal;
    // The lease starts before the VM is registered, so that its removal is not
    // planned in the meantime.
    const isRenewed = this.#vms.renew(renewal, this.#now);
    if (load) this.#estimator.addReports(load);
    if (!isRenewed) return 0;
    await this.#removals.get(vm.name);
    const known = this.#state.vms.get(vm.name);
    if (!known || known.boot !== vm.boot || known.leaving !== vm.leaving) {
      await this.#propose({ kind: "putVm", vm });
    }
    return this.#options.routingLeaseMilliseconds;
  }

  /** Records that a table version is sent to a VM. */
  recordSent(vm: string, version: number): void {
    this.#vms.recordSent(vm, version, this.#now);
  }

  /** Renews a target's lease, after registering the target if it changed. */
  async renewTarget(announcement: Announcement): Promise<AnnouncementResponse> {
    const refusal = this.#findRefusal(announcement);
    if (refusal !== null) return createRefusal(refusal);
    const { load: _load, actsOn: _actsOn, ...described } = announcement;
    const known = this.#state.targets.get(announcement.target);
    const target = { ...described, region: this.#findRegion(announcement) };
    const isChanged = !known || !matchesRecord(known, target);
    if (isChanged && !this.#targets.allowsChange(target.target, this.#now)) {
      return createRefusal("the target changes its description too often");
    }
    this.#targets.renew(announcement, this.#now);
    const grantsFrom = {
      version: this.#state.version,
      sequence: this.#pushSequence + 1,
    };
    if (isChanged) await this.#propose({ kind: "putTarget", target });
    return {
      accepted: true,
      reason: "",
      leaseMilliseconds: this.#options.targetLeaseMilliseconds,
      grantsFrom,
    };
  }

  /** Schedules a coordination round; calls in quick succession share one. */
  coordinate(): void {
    this.#isCoordinationRequested = true;
    if (this.#timer || this.#isCoordinating || this.#hasEnded) return;
    const delay = this.#coordinatedAt + coordinationIntervalMilliseconds -
      this.#now;
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      void this.#coordinate();
    }, Math.max(0, delay));
  }

  async #coordinate(): Promise<void> {
    if (this.#hasEnded) return;
    this.#isCoordinating = true;
    this.#isCoordinationRequested = false;
    this.#coordinatedAt = this.#now;
    try {
      const plan = coordinate(this.#state, this.view, {
        index: this.#rangeIndex,
        leaving: this.#leavingOwners,
        balance: this.#estimateLoadsIfDue(),
      });
      for (const push of plan.pushes) void this.#push(push);
      await Promise.all(plan.commands.map((each) => this.#execute(each)));
    } catch (failure) {
      this.#options.logger.warn("coordination-interrupted", {
        reason: describeFailure(failure),
      });
    } finally {
      this.#isCoordinating = false;
      if (this.#isCoordinationRequested) this.coordinate();
    }
  }

  // Returns true, with a new estimate, if a plan that balances the load is due.
  #estimateLoadsIfDue(): boolean {
    if (this.#now < this.#balancedAt + balancePeriodMilliseconds) return false;
    this.#balancedAt = this.#now;
    this.#loads = this.#estimator.estimate(this.#now);
    return true;
  }

  /** The leader's state that is not replicated. */
  get view(): LeaderView {
    const now = this.#now;
    return {
      vm: (name) => this.#vms.view(name, now),
      target: (id) => this.#targets.view(id, now),
      now,
      lastVmLossAt: this.#vms.lastLossAt,
      loads: this.#loads,
    };
  }

  get #state(): ControlState {
    return this.#options.replica.control;
  }

  get #now(): number {
    return this.#options.clock.now();
  }

  #propose(command: ControlCommand) {
    return this.#options.replica.propose(command);
  }

  async #execute(command: ControlCommand): Promise<void> {
    if (command.kind === "removeVm") return await this.#removeVm(command);
    if (command.kind === "removeTarget") this.#targets.forget(command.target);
    if (command.kind === "changeRanges") {
      for (const { kind } of command.changes) {
        this.#options.metrics.rangeChanges.inc({ kind });
      }
    }
    await this.#propose(command);
  }

  // A VM that renews its lease in the meantime waits for the removal, so that
  // it is registered afterwards and not removed while it holds a lease.
  async #removeVm(
    command: Extract<ControlCommand, { readonly kind: "removeVm" }>,
  ): Promise<void> {
    this.#vms.recordRemoval(command.name);
    const removal = this.#propose(command);
    this.#removals.set(command.name, removal);
    try {
      await removal;
    } finally {
      this.#removals.delete(command.name);
    }
  }

  #findRefusal(announcement: Announcement): string | null {
    const bundle = this.#state.bundle?.bundle;
    if (!bundle) return "no bundle is in force yet";
    const { service, dataCentre } = announcement;
    if (!bundle.services.some((each) => each.name === service)) {
      return `the bundle in force names no service "${service}"`;
    }
    if (!bundle.dataCentres.some((each) => each.name === dataCentre)) {
      return `the bundle in force names no data centre "${dataCentre}"`;
    }
    return this.#targets.findRefusal(
      announcement,
      this.#state.targets,
      this.#now,
    );
  }

  #findRegion(announcement: Announcement): string {
    return this.#state.bundle?.bundle.dataCentres.find((each) =>
      each.name === announcement.dataCentre
    )?.region ?? "";
  }

  async #push(push: CoordinatorPlan["pushes"][number]): Promise<void> {
    const sequenced = {
      ...push,
      version: this.#state.version,
      sequence: this.#pushSequence + 1,
    };
    if (!this.#targets.mayPush(push.target, this.#now)) return;
    if (!this.#targets.beginPush(sequenced)) return;
    this.#pushSequence = sequenced.sequence;
    const confirmed = await this.#options.grants.push(sequenced);
    this.#targets.endPush(sequenced, { confirmed, now: this.#now });
    if (!confirmed) {
      this.#options.logger.warn("grants-not-confirmed", {
        target: push.target,
      });
    }
    this.coordinate();
  }
}

function createRefusal(reason: string): AnnouncementResponse {
  const grantsFrom = { version: 0, sequence: 0 };
  return { accepted: false, reason, leaseMilliseconds: 0, grantsFrom };
}

function matchesRecord(
  known: object,
  described: Readonly<Record<string, unknown>>,
): boolean {
  const fields = known as Readonly<Record<string, unknown>>;
  return Object.keys(described).every((key) => fields[key] === described[key]);
}

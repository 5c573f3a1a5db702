import { LeaseTable } from "@kingcupglade/membership";
import type { Announcement, AnnouncementReply } from "@kingcupglade/membership";
import { coordinate } from "@kingcupglade/ownership";
import type {
  ControlCommand,
  ControlState,
  CoordinatorPlan,
  Grant,
  LeaderView,
  VmRecord,
} from "@kingcupglade/ownership";
import type { Clock } from "@kingcupglade/tasks";
import { describeFailure } from "@kingcupglade/telemetry";
import type { Logger } from "@kingcupglade/telemetry";
import type { GrantSender } from "./grant_sender.ts";
import type { ReplicaTask } from "./replica_task.ts";

/** What a VM says when it renews its routing lease. */
export interface VmRenewal {
  readonly vm: Omit<VmRecord, "changedAt">;
  readonly appliedVersion: number;
  readonly quiescentVersion: number;
}

/** Options of a {@link LeaderSession}. */
export interface LeaderSessionOptions {
  readonly replica: ReplicaTask;
  readonly grants: GrantSender;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly routingLeaseMilliseconds: number;
  readonly targetLeaseMilliseconds: number;
}

interface KnownVm {
  readonly boot: string;
  readonly appliedVersion: number;
  readonly quiescentVersion: number;
}

interface KnownTarget {
  readonly boot: string;
  readonly held: readonly Grant[] | null;
  readonly pushing: boolean;
}

/**
 * What a control replica knows and does while it leads: the leases that it has
 * given, the grants that targets confirmed, and the next steps of every range.
 */
export class LeaderSession {
  readonly #options: LeaderSessionOptions;
  readonly #vmLeases: LeaseTable;
  readonly #targetLeases: LeaseTable;
  readonly #vms = new Map<string, KnownVm>();
  readonly #targets = new Map<string, KnownTarget>();
  #coordinating = false;
  #ended = false;

  constructor(options: LeaderSessionOptions) {
    this.#options = options;
    const since = options.clock.now();
    this.#vmLeases = new LeaseTable({
      leaseMilliseconds: options.routingLeaseMilliseconds,
    }, since);
    this.#targetLeases = new LeaseTable({
      leaseMilliseconds: options.targetLeaseMilliseconds,
    }, since);
  }

  /** Ends the session; nothing is proposed or pushed any more. */
  end(): void {
    this.#ended = true;
  }

  /** Renews a VM's routing lease, registering the VM first when it is new. */
  async renewVm(renewal: VmRenewal): Promise<void> {
    const { vm, appliedVersion, quiescentVersion } = renewal;
    const known = this.#state.vms.get(vm.name);
    if (!known || known.boot !== vm.boot || known.leaving !== vm.leaving) {
      await this.#propose({ kind: "putVm", vm });
    }
    this.#vmLeases.renew(vm.name, vm.boot, this.#now);
    this.#vms.set(vm.name, {
      boot: vm.boot,
      appliedVersion,
      quiescentVersion,
    });
  }

  /** Renews a target's lease, registering the target first when it changed. */
  async renewTarget(announcement: Announcement): Promise<AnnouncementReply> {
    const refusal = this.#refuseAnnouncement(announcement);
    if (refusal !== null) {
      return { accepted: false, reason: refusal, leaseMilliseconds: 0 };
    }
    const { load: _load, ...described } = announcement;
    const known = this.#state.targets.get(announcement.target);
    const target = { ...described, region: this.#regionOf(announcement) };
    if (!known || !describesSame(known, target)) {
      await this.#propose({ kind: "putTarget", target });
    }
    this.#noteBoot(announcement);
    this.#targetLeases.renew(
      announcement.target,
      announcement.boot,
      this.#now,
    );
    return {
      accepted: true,
      reason: "",
      leaseMilliseconds: this.#options.targetLeaseMilliseconds,
    };
  }

  /** Plans and proposes the next steps, unless the last ones are under way. */
  async coordinate(): Promise<void> {
    if (this.#coordinating || this.#ended) return;
    this.#coordinating = true;
    try {
      const plan = coordinate(this.#state, this.#view);
      for (const push of plan.pushes) void this.#push(push);
      await Promise.all(plan.commands.map((each) => this.#propose(each)));
    } catch (failure) {
      this.#options.logger.warn("coordination-interrupted", {
        reason: describeFailure(failure),
      });
    } finally {
      this.#coordinating = false;
    }
  }

  /** What the session knows beyond the replicated state. */
  get view(): LeaderView {
    return this.#view;
  }

  get #view(): LeaderView {
    const now = this.#now;
    return {
      vm: (name) => ({
        lapsed: this.#vmLeases.hasLapsed(name, now),
        lapsesAt: this.#vmLeases.lapsesAt(name),
        appliedVersion: this.#vms.get(name)?.appliedVersion ?? 0,
        quiescentVersion: this.#vms.get(name)?.quiescentVersion ?? 0,
      }),
      target: (id) => ({
        lapsed: this.#targetLeases.hasLapsed(id, now),
        held: this.#targets.get(id)?.held ?? null,
      }),
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

  #refuseAnnouncement(announcement: Announcement): string | null {
    const bundle = this.#state.bundle?.bundle;
    if (!bundle) return "no bundle is in force yet";
    const { service, dataCentre } = announcement;
    if (!bundle.services.some((each) => each.name === service)) {
      return `the bundle in force names no service "${service}"`;
    }
    if (!bundle.dataCentres.some((each) => each.name === dataCentre)) {
      return `the bundle in force names no data centre "${dataCentre}"`;
    }
    return null;
  }

  #regionOf(announcement: Announcement): string {
    return this.#state.bundle?.bundle.dataCentres.find((each) =>
      each.name === announcement.dataCentre
    )?.region ?? "";
  }

  // A new incarnation, or one whose lease lapsed, holds nothing.
  #noteBoot(announcement: Announcement): void {
    const { target, boot } = announcement;
    const known = this.#targets.get(target);
    const lapsed = this.#targetLeases.hasLapsed(target, this.#now);
    if (known?.boot === boot && !lapsed) return;
    const held = lapsed ? [] : null;
    this.#targets.set(target, { boot, held, pushing: false });
  }

  async #push(push: CoordinatorPlan["pushes"][number]): Promise<void> {
    const known = this.#targets.get(push.target);
    if (!known || known.boot !== push.boot || known.pushing) return;
    this.#targets.set(push.target, { ...known, pushing: true });
    const confirmed = await this.#options.grants.push(push);
    const current = this.#targets.get(push.target);
    if (!current || current.boot !== push.boot) return;
    this.#targets.set(push.target, {
      ...current,
      held: confirmed ? push.grants : current.held,
      pushing: false,
    });
    if (!confirmed) {
      this.#options.logger.warn("grants-not-confirmed", {
        target: push.target,
      });
    }
    void this.coordinate();
  }
}

function describesSame(
  known: object,
  described: Readonly<Record<string, unknown>>,
): boolean {
  const fields = known as Readonly<Record<string, unknown>>;
  return Object.keys(described).every((key) => fields[key] === described[key]);
}

import { create } from "@bufbuild/protobuf";
import type { MessageInitShape } from "@bufbuild/protobuf";
import { roleId, RoleKind } from "@kingcupglade/ownership";
import type { RoleAssignment, RoutingTable } from "@kingcupglade/ownership";
import {
  Credit,
  ExchangeResponseSchema,
  RecallRequestSchema,
} from "@kingcupglade/protocol";
import type {
  ExchangeRequest,
  ExchangeResponse,
  RecallRequest,
  RoleAsk,
  RoleGrantSchema,
} from "@kingcupglade/protocol";
import { CreditAllocator } from "@kingcupglade/routing";
import type {
  CreditRecall,
  CreditReport,
  CreditTarget,
} from "@kingcupglade/routing";
import type { Clock } from "@kingcupglade/tasks";
import type { Metrics } from "@kingcupglade/telemetry";
import type { PeerDirectory } from "../control/peers.ts";
import type { RoutingTask } from "../control/routing_task.ts";
import { creditRoleOf, holderEpoch, vmIdentity } from "./credit_roles.ts";
import { isUnsatisfied, PendingReports } from "./pending_reports.ts";

/** Validity of credits, counted from the time of the VM's report. */
export const creditLeaseMilliseconds = 4000;

const sweepIntervalMilliseconds = 50;
/** Long, because a call that times out closes its connection. */
const recallTimeoutMilliseconds = 1000;
/**
 * Pause after a recall, as a multiple of its duration. Credits that move more
 * often spend most of their time in transit.
 */
const recallPauseFactor = 3;

/** Options of a {@link CreditHolderTask}. */
export interface CreditHolderTaskOptions {
  readonly vm: string;
  readonly routing: RoutingTask;
  readonly peers: PeerDirectory;
  readonly metrics: Pick<Metrics, "creditMessages">;
  readonly clock: Clock;
  readonly routingLeaseMilliseconds: number;
  /** Performs a recall on this VM. */
  readonly recallLocally: (recall: RecallRequest) => ExchangeRequest;
}

interface HeldRole {
  readonly epoch: number;
  readonly role: CreditAllocator;
  readonly pendingReports: PendingReports;
  /** Time until which a VM gets no further recall, by VM identity. */
  readonly pausedUntil: Map<string, number>;
}

/** Grants the credits of the shards that this VM holds. */
export class CreditHolderTask {
  readonly #options: CreditHolderTaskOptions;
  readonly #roles = new Map<string, HeldRole>();
  readonly #timer: NodeJS.Timeout;
  #table: RoutingTable | undefined;
  /** Identities of the VMs in the current table. */
  #vms: ReadonlySet<string> = new Set();
  #lossesKnownSince = Infinity;
  /** Times of recent VM losses; requests of those VMs may still be running. */
  #lossTimes: readonly number[] = [];

  constructor(options: CreditHolderTaskOptions) {
    this.#options = options;
    this.#timer = setInterval(() => this.#sweep(), sweepIntervalMilliseconds);
  }

  /** The shards that this VM holds, by role ID. */
  get roles(): ReadonlyMap<string, HeldRole> {
    return this.#roles;
  }

  /** Answers a report of a VM; waits for recalled credits if none are free. */
  async exchange(request: ExchangeRequest): Promise<ExchangeResponse> {
    this.#refresh();
    const vm = vmIdentity(request);
    return create(ExchangeResponseSchema, {
      leaseMilliseconds: creditLeaseMilliseconds,
      roles: await Promise.all(
        request.roles.map((roleReport) =>
          this.#handleReport(roleReport, { vm, sequence: request.sequence })
        ),
      ),
    });
  }

  async #handleReport(
    roleReport: RoleAsk,
    sender: Pick<CreditReport, "vm" | "sequence">,
  ): Promise<MessageInitShape<typeof RoleGrantSchema>> {
    const { clock, routing } = this.#options;
    const held = this.#roles.get(roleReport.role);
    const report: CreditReport = { ...sender, targets: roleReport.targets };
    const credits = held?.epoch === roleReport.epoch && routing.hasLease
      ? held.role.report(report, clock.now())
      : null;
    if (!held || !credits) return { accepted: false };
    const targets = roleReport.targets.map((each) => each.target);
    held.pendingReports.reevaluateFor(targets);
    void this.#recall(
      roleReport.role,
      held,
      held.role.selectRecalls(clock.now(), targets),
    );
    const granted = isUnsatisfied(report, credits)
      ? await held.pendingReports.wait(report, credits)
      : credits;
    return {
      accepted: true,
      settled: held.role.isSettled(clock.now()),
      credits: [...granted],
    };
  }

  /** Stops granting credits. */
  stop(): void {
    clearInterval(this.#timer);
    this.#roles.clear();
  }

  #sweep(): void {
    this.#refresh();
    const now = this.#options.clock.now();
    for (const [id, held] of this.#roles) {
      held.pendingReports.sweep();
      void this.#recall(id, held, held.role.selectRecalls(now));
    }
  }

  /** Applies the current routing table. */
  #refresh(): void {
    const { table } = this.#options.routing;
    if (table === this.#table || table.version === 0) return;
    const now = this.#options.clock.now();
    this.#recordLosses(table, now);
    this.#table = table;
    const held = [...table.roles.values()].filter((role) =>
      role.kind === RoleKind.credit && role.holder === this.#options.vm
    );
    const ids = new Set(held.map(roleId));
    for (const id of this.#roles.keys()) {
      if (!ids.has(id)) this.#roles.delete(id);
    }
    for (const role of held) this.#refreshRole(table, { role, now });
  }

  // Losses of VMs before the first table are unknown.
  #recordLosses(table: RoutingTable, now: number): void {
    const vms = new Set([...table.vms.values()].map(vmIdentity));
    const lost = [...this.#vms].filter((vm) => !vms.has(vm));
    const since = now - longestRequestMilliseconds(table, this.#options);
    this.#lossTimes = [
      ...this.#lossTimes.filter((lostAt) => lostAt > since),
      ...lost.map(() => now),
    ];
    this.#lossesKnownSince = Math.min(this.#lossesKnownSince, now);
    this.#vms = vms;
  }

  #refreshRole(
    table: RoutingTable,
    context: { readonly role: RoleAssignment; readonly now: number },
  ): void {
    const { role, now } = context;
    const id = roleId(role);
    const known = this.#roles.get(id);
    const times = {
      leaseMilliseconds: creditLeaseMilliseconds,
      requestMilliseconds: longestRequestMilliseconds(table, this.#options),
    };
    const epoch = holderEpoch(table, role);
    const current = known?.epoch === epoch ? known : this.#createHeldRole({
      epoch,
      role: new CreditAllocator(times, {
        startedAt: now,
        // No credits were granted before the first holder.
        watchedSince: role.epoch === role.foundedAt
          ? -Infinity
          : this.#lossesKnownSince,
        losses: this.#lossTimes,
      }),
    });
    this.#roles.set(id, current);
    current.role.update({
      targets: targetsOf(table, id),
      vms: this.#vms,
      times,
    }, now);
  }

  #createHeldRole(held: Pick<HeldRole, "epoch" | "role">): HeldRole {
    const { clock, routing } = this.#options;
    const pendingReports = new PendingReports({
      clock,
      reevaluate: (report, credits) =>
        routing.hasLease
          ? held.role.reevaluate(report, { credits, now: clock.now() })
          : null,
    });
    return { ...held, pendingReports, pausedUntil: new Map() };
  }

  /** Recalls credits from VMs and records the returned ones. */
  async #recall(
    id: string,
    held: HeldRole,
    recalls: readonly CreditRecall[],
  ): Promise<void> {
    const sentAt = this.#options.clock.now();
    const byVm = new Map<string, { targets: string[]; cold: boolean }>();
    for (const { vms, target, isOverLimit: overLimit } of recalls) {
      for (const vm of vms) {
        if (!overLimit && sentAt < (held.pausedUntil.get(vm) ?? 0)) continue;
        const recall = byVm.get(vm) ?? { targets: [], cold: false };
        byVm.set(vm, recall);
        recall.targets.push(target);
        recall.cold ||= overLimit;
      }
    }
    await Promise.all([...byVm].map(async ([identity, recall]) => {
      held.pausedUntil.set(identity, Infinity);
      const report = await this.#sendRecall(
        identity.slice(0, identity.indexOf("/")),
        create(RecallRequestSchema, { ...recall, role: id, epoch: held.epoch }),
      );
      const now = this.#options.clock.now();
      held.pausedUntil.set(
        identity,
        now + recallPauseFactor * (now - sentAt),
      );
      const returned = report?.roles[0];
      if (!report || !returned || vmIdentity(report) !== identity) return;
      held.role.returnCredits(
        { vm: identity, sequence: report.sequence, targets: returned.targets },
        this.#options.clock.now(),
      );
      held.pendingReports.reevaluateFor(recall.targets);
    }));
  }

  // A recall that is lost is sent again by a later sweep.
  async #sendRecall(
    vm: string,
    recall: RecallRequest,
  ): Promise<ExchangeRequest | undefined> {
    const { peers, recallLocally } = this.#options;
    if (vm === this.#options.vm) return recallLocally(recall);
    this.#options.metrics.creditMessages.inc({ kind: "recall" });
    try {
      const response = await peers.client(vm, Credit)?.recall(recall, {
        timeoutMs: recallTimeoutMilliseconds,
      });
      return response?.report;
    } catch {
      return undefined;
    }
  }
}

function targetsOf(table: RoutingTable, role: string): CreditTarget[] {
  return [...table.targets.values()].filter((target) => {
    const assigned = creditRoleOf(table, target);
    return assigned !== undefined && roleId(assigned) === role;
  }).map((target) => ({
    target: target.target,
    boot: target.boot,
    slots: target.slots,
    coldSlots: target.coldSlots,
    cold: target.condition === "cold",
    requestMilliseconds: longestDeadlineMilliseconds(table, target.service),
  }));
}

function longestRequestMilliseconds(
  table: RoutingTable,
  options: Pick<CreditHolderTaskOptions, "routingLeaseMilliseconds">,
): number {
  const services = table.bundle?.bundle.services ?? [];
  return Math.max(
    options.routingLeaseMilliseconds,
    ...services.map((each) => longestDeadlineMilliseconds(table, each.name)),
  );
}

function longestDeadlineMilliseconds(
  table: RoutingTable,
  service: string,
): number {
  const bundle = table.bundle?.bundle;
  const serviceEntry = bundle?.services.find((each) => each.name === service);
  const routes = bundle?.routes.filter((each) => each.service === service);
  return Math.max(
    serviceEntry?.deadlineMilliseconds ?? 0,
    ...(routes ?? []).map((each) => each.deadlineMilliseconds ?? 0),
  );
}

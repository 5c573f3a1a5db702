import { create } from "@bufbuild/protobuf";
import { roleId, RoleKind } from "@kingcupglade/ownership";
import type { RoleAssignment, RoutingTable } from "@kingcupglade/ownership";
import { Credit, ExchangeResponseSchema } from "@kingcupglade/protocol";
import type { ExchangeRequest, ExchangeResponse } from "@kingcupglade/protocol";
import { CreditRole } from "@kingcupglade/routing";
import type { CreditRecall, CreditTarget } from "@kingcupglade/routing";
import type { Clock } from "@kingcupglade/tasks";
import type { PeerDirectory } from "../control/peers.ts";
import type { RoutingTask } from "../control/routing_task.ts";
import { creditRoleOf, holderEpoch, vmIdentity } from "./credit_directory.ts";

/** Credits last this long from the moment that they are asked for. */
export const creditLeaseMilliseconds = 4000;

const sweepMilliseconds = 50;
const recallTimeoutMilliseconds = 500;

/** Options of a {@link CreditHolderTask}. */
export interface CreditHolderTaskOptions {
  readonly vm: string;
  readonly routing: RoutingTask;
  readonly peers: PeerDirectory;
  readonly clock: Clock;
  readonly routingLeaseMilliseconds: number;
  /** Carries a recall out on this VM. */
  readonly recallHere: (
    targets: readonly string[],
    options: { readonly cold: boolean },
  ) => void;
}

interface HeldRole {
  readonly epoch: number;
  readonly role: CreditRole;
}

/** Hands out the credits of the shards that this VM holds. */
export class CreditHolderTask {
  readonly #options: CreditHolderTaskOptions;
  readonly #roles = new Map<string, HeldRole>();
  readonly #timer: NodeJS.Timeout;
  #table: RoutingTable | undefined;
  #vms: ReadonlySet<string> = new Set();
  #watchedSince = Infinity;
  #losses: readonly number[] = [];

  constructor(options: CreditHolderTaskOptions) {
    this.#options = options;
    this.#timer = setInterval(() => this.#sweep(), sweepMilliseconds);
  }

  /** The shards that it holds, by role. */
  get roles(): ReadonlyMap<string, HeldRole> {
    return this.#roles;
  }

  /** Answers a report of a VM. */
  exchange(request: ExchangeRequest): ExchangeResponse {
    this.#refresh();
    const now = this.#options.clock.now();
    const recalls: CreditRecall[] = [];
    const vm = vmIdentity({ name: request.vm, boot: request.boot });
    const roles = request.roles.map((ask) => {
      const held = this.#roles.get(ask.role);
      const isHeld = held?.epoch === ask.epoch &&
        this.#options.routing.hasLease;
      const { sequence } = request;
      const credits = isHeld
        ? held.role.report({ vm, sequence, targets: ask.targets }, now)
        : null;
      if (!credits) return { accepted: false, settled: false, credits: [] };
      recalls.push(
        ...held!.role.recalls(now, ask.targets.map((each) => each.target)),
      );
      const settled = held!.role.isSettled(now);
      return { accepted: true, settled, credits: [...credits] };
    });
    this.#recall(recalls);
    return create(ExchangeResponseSchema, {
      leaseMilliseconds: creditLeaseMilliseconds,
      roles,
    });
  }

  /** Stops handing out credits. */
  stop(): void {
    clearInterval(this.#timer);
    this.#roles.clear();
  }

  #sweep(): void {
    this.#refresh();
    const now = this.#options.clock.now();
    this.#recall(
      [...this.#roles.values()].flatMap(({ role }) => role.recalls(now)),
    );
  }

  /** Takes over the table in use. */
  #refresh(): void {
    const { table } = this.#options.routing;
    if (table === this.#table || table.version === 0) return;
    const now = this.#options.clock.now();
    this.#noteLosses(table, now);
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

  // What happened before the first table is not known.
  #noteLosses(table: RoutingTable, now: number): void {
    const vms = new Set([...table.vms.values()].map(vmIdentity));
    const lost = [...this.#vms].filter((vm) => !vms.has(vm));
    const since = now - longestRequest(table, this.#options);
    this.#losses = [
      ...this.#losses.filter((lostAt) => lostAt > since),
      ...lost.map(() => now),
    ];
    this.#watchedSince = Math.min(this.#watchedSince, now);
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
      requestMilliseconds: longestRequest(table, this.#options),
    };
    const epoch = holderEpoch(table, role);
    const current = known?.epoch === epoch ? known : {
      epoch,
      role: new CreditRole(times, {
        startedAt: now,
        // Nothing was granted before the first holder.
        watchedSince: role.epoch === role.foundedAt
          ? -Infinity
          : this.#watchedSince,
        losses: this.#losses,
      }),
    };
    this.#roles.set(id, current);
    current.role.describe({
      targets: targetsOf(table, id),
      vms: this.#vms,
      times,
    }, now);
  }

  #recall(recalls: readonly CreditRecall[]): void {
    for (const cold of [false, true]) {
      const byVm = new Map<string, string[]>();
      for (const recall of recalls) {
        if (recall.overLimit !== cold) continue;
        for (const identity of recall.vms) {
          const vm = identity.slice(0, identity.indexOf("/"));
          byVm.set(vm, [...byVm.get(vm) ?? [], recall.target]);
        }
      }
      for (const [vm, targets] of byVm) this.#send(vm, { targets, cold });
    }
  }

  #send(
    vm: string,
    recall: { readonly targets: string[]; readonly cold: boolean },
  ): void {
    if (vm === this.#options.vm) {
      return this.#options.recallHere(recall.targets, recall);
    }
    // A recall that is lost is sent again by a later sweep.
    this.#options.peers.client(vm, Credit)
      ?.recall(recall, { timeoutMs: recallTimeoutMilliseconds })
      .catch(() => {});
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
    requestMilliseconds: longestDeadline(table, target.service),
  }));
}

function longestRequest(
  table: RoutingTable,
  options: Pick<CreditHolderTaskOptions, "routingLeaseMilliseconds">,
): number {
  const services = table.bundle?.bundle.services ?? [];
  return Math.max(
    options.routingLeaseMilliseconds,
    ...services.map((each) => longestDeadline(table, each.name)),
  );
}

function longestDeadline(table: RoutingTable, service: string): number {
  const bundle = table.bundle?.bundle;
  const described = bundle?.services.find((each) => each.name === service);
  const routes = bundle?.routes.filter((each) => each.service === service);
  return Math.max(
    described?.deadlineMilliseconds ?? 0,
    ...(routes ?? []).map((each) => each.deadlineMilliseconds ?? 0),
  );
}

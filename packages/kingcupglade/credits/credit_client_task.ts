import { create } from "@bufbuild/protobuf";
import { roleId, RoleKind } from "@kingcupglade/ownership";
import type { RoleAssignment, RoutingTable } from "@kingcupglade/ownership";
import { Credit, ExchangeRequestSchema } from "@kingcupglade/protocol";
import type {
  ExchangeRequest,
  ExchangeResponse,
  RecallRequest,
} from "@kingcupglade/protocol";
import type {
  CreditAccount,
  CreditAccountReport,
  CreditGate,
} from "@kingcupglade/routing";
import type { Clock } from "@kingcupglade/tasks";
import type { Metrics } from "@kingcupglade/telemetry";
import type { PeerDirectory } from "../control/peers.ts";
import type { RoutingTask } from "../control/routing_task.ts";
import { creditRoleOf, holderEpoch } from "./credit_directory.ts";
import { creditLeaseMilliseconds } from "./credit_holder_task.ts";

const tickMilliseconds = 50;
const exchangeTimeoutMilliseconds = 500;
const dueTimes = {
  pauseMilliseconds: 500,
  renewMilliseconds: creditLeaseMilliseconds / 3,
} as const;

/** Options of a {@link CreditClientTask}. */
export interface CreditClientTaskOptions {
  readonly vm: string;
  readonly boot: string;
  readonly gate: CreditGate;
  readonly routing: RoutingTask;
  readonly peers: PeerDirectory;
  readonly metrics: Pick<Metrics, "creditMessages">;
  readonly clock: Clock;
  /** Answers reports on the shards that this VM holds itself. */
  readonly exchangeHere: (
    request: ExchangeRequest,
  ) => Promise<ExchangeResponse>;
}

type Report = CreditAccountReport;

interface RoleReport {
  readonly epoch: number;
  readonly accounts: CreditAccount[];
}

interface SentReport {
  readonly accounts: readonly CreditAccount[];
  readonly reports: readonly Report[];
}

/** Keeps this VM's credits: reports to the holders and takes their answers. */
export class CreditClientTask {
  readonly #options: CreditClientTaskOptions;
  readonly #timer: NodeJS.Timeout;
  readonly #busy = new Set<string>();
  readonly #greeted = new Map<string, number>();
  #table: RoutingTable | undefined;
  #sequence = 0;
  #scheduled = false;
  #isReady = false;

  constructor(options: CreditClientTaskOptions) {
    this.#options = options;
    this.#timer = setInterval(() => this.#run(), tickMilliseconds);
  }

  /** Whether every holder has been able to grant since this VM started. */
  get isReady(): boolean {
    return this.#isReady;
  }

  /** Reports soon, together with what else becomes due in this turn. */
  schedule(): void {
    if (this.#scheduled) return;
    this.#scheduled = true;
    setImmediate(() => {
      this.#scheduled = false;
      this.#run();
    });
  }

  /** Gives up what is not used of some targets, and reports it. */
  recall(request: RecallRequest): ExchangeRequest {
    const { vm, boot, clock, gate } = this.#options;
    const now = clock.now();
    const named = new Set(request.targets);
    const reports: Report[] = [];
    for (const account of gate.accounts()) {
      if (named.has(account.target)) reports.push(account.recall(now, request));
    }
    this.schedule();
    return create(ExchangeRequestSchema, {
      vm,
      boot,
      sequence: ++this.#sequence,
      roles: [{ role: request.role, epoch: request.epoch, targets: reports }],
    });
  }

  /** Stops reporting; the credits lapse. */
  stop(): void {
    clearInterval(this.#timer);
  }

  #run(): void {
    const { routing, gate } = this.#options;
    if (routing.table !== this.#table) {
      this.#table = routing.table;
      gate.meet(routing.table.targets);
    }
    this.#isReady ||= this.#areAllGreeted(routing.table);
    for (const [holder, reports] of this.#dueReports(routing.table)) {
      if (!this.#busy.has(holder)) void this.#exchange(holder, reports);
    }
  }

  /** What each holder must hear: due accounts, and that this VM is there. */
  #dueReports(
    table: RoutingTable,
  ): ReadonlyMap<string, ReadonlyMap<string, RoleReport>> {
    const holders = new Map<string, Map<string, RoleReport>>();
    const reportOf = (role: RoleAssignment) => {
      const roles = holders.get(role.holder!) ?? new Map<string, RoleReport>();
      holders.set(role.holder!, roles);
      const epoch = holderEpoch(table, role);
      const report = roles.get(roleId(role)) ?? { epoch, accounts: [] };
      roles.set(roleId(role), report);
      return report;
    };
    for (const role of creditRoles(table)) {
      if (!this.#isGreeted(table, role)) reportOf(role);
    }
    const now = this.#options.clock.now();
    for (const account of this.#options.gate.accounts()) {
      const target = table.targets.get(account.target);
      const role = target && creditRoleOf(table, target);
      if (role?.holder && account.isDue(now, dueTimes)) {
        reportOf(role).accounts.push(account);
      }
    }
    return holders;
  }

  #isGreeted(table: RoutingTable, role: RoleAssignment): boolean {
    return this.#greeted.get(roleId(role)) === holderEpoch(table, role);
  }

  #areAllGreeted(table: RoutingTable): boolean {
    const roles = creditRoles(table);
    return roles.length > 0 &&
      roles.every((role) => this.#isGreeted(table, role));
  }

  async #exchange(
    holder: string,
    roles: ReadonlyMap<string, RoleReport>,
  ): Promise<void> {
    const { vm, boot, clock } = this.#options;
    const sentAt = clock.now();
    const sent = [...roles.values()].map(({ accounts }): SentReport => ({
      accounts,
      reports: accounts.map((each) => each.report(sentAt)),
    }));
    const request = create(ExchangeRequestSchema, {
      vm,
      boot,
      sequence: ++this.#sequence,
      roles: [...roles].map(([role, report], index) => ({
        role,
        epoch: report.epoch,
        targets: [...sent[index]!.reports],
      })),
    });
    this.#busy.add(holder);
    const answer = await this.#ask(holder, request);
    this.#busy.delete(holder);
    [...roles].forEach(([id, { epoch }], index) => {
      const granted = answer?.roles[index];
      if (granted?.settled) this.#greeted.set(id, epoch);
      this.#take(sent[index]!, {
        credits: granted?.accepted ? granted.credits : undefined,
        validUntil: sentAt + (answer?.leaseMilliseconds ?? 0),
      });
    });
    if (answer?.roles.every((each) => each.accepted)) this.schedule();
  }

  async #ask(
    holder: string,
    request: ExchangeRequest,
  ): Promise<ExchangeResponse | undefined> {
    const { vm, peers, exchangeHere } = this.#options;
    if (holder === vm) return exchangeHere(request);
    this.#options.metrics.creditMessages.inc({ kind: "exchange" });
    try {
      return await peers.client(holder, Credit)?.exchange(request, {
        timeoutMs: exchangeTimeoutMilliseconds,
      });
    } catch {
      return undefined;
    }
  }

  #take(
    sent: SentReport,
    answer: {
      readonly credits: readonly number[] | undefined;
      readonly validUntil: number;
    },
  ): void {
    sent.accounts.forEach((account, index) => {
      const credits = answer.credits?.[index];
      if (credits === undefined) account.reportFailed(sent.reports[index]!);
      else {
        const { validUntil } = answer;
        this.#options.gate.grant(account.target, { credits, validUntil });
      }
    });
  }
}

function creditRoles(table: RoutingTable): readonly RoleAssignment[] {
  return [...table.roles.values()].filter((role) =>
    role.kind === RoleKind.credit && role.holder
  );
}

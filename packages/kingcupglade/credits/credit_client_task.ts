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
import { creditRoleOf, holderEpoch } from "./credit_roles.ts";
import { creditLeaseMilliseconds } from "./credit_holder_task.ts";

const tickIntervalMilliseconds = 50;
const exchangeTimeoutMilliseconds = 2000;
/**
 * Maximum number of unanswered messages per holder; calls to a VM share few
 * connections.
 */
const maximumPendingMessages = 3;
const reportIntervals = {
  changeIntervalMilliseconds: 500,
  renewIntervalMilliseconds: creditLeaseMilliseconds / 3,
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
  readonly exchangeLocally: (
    request: ExchangeRequest,
  ) => Promise<ExchangeResponse>;
}

type Report = CreditAccountReport;

interface RoleAccounts {
  readonly epoch: number;
  readonly accounts: CreditAccount[];
}

/** Reports to one holder on targets of the shards that it holds, by role. */
interface HolderMessage {
  readonly holder: string;
  readonly roles: Map<string, RoleAccounts>;
}

interface DueAccount {
  readonly account: CreditAccount;
  readonly role: RoleAssignment;
}

interface SentReports {
  readonly accounts: readonly CreditAccount[];
  readonly reports: readonly Report[];
}

/**
 * Maintains this VM's credits: reports its use of them to holders and applies
 * the credits that they grant.
 */
export class CreditClientTask {
  readonly #options: CreditClientTaskOptions;
  readonly #timer: NodeJS.Timeout;
  /** Holders with an unanswered report that lists no accounts. */
  readonly #pendingHellos = new Set<string>();
  /** Number of unanswered messages by holder. */
  readonly #pendingMessages = new Map<string, number>();
  /** Holder and its epoch of the last unanswered report, by account. */
  readonly #sent = new Map<
    CreditAccount,
    { readonly holder: string }
  >();
  /** Holder epoch in which each role last had no credits of earlier holders. */
  readonly #settledEpochs = new Map<string, number>();
  #table: RoutingTable | undefined;
  /** Credit roles of the current table. */
  #roles: readonly RoleAssignment[] = [];
  /** Cached role by target, in the current table. */
  readonly #roleOfTarget = new Map<string, RoleAssignment | undefined>();
  #sequence = 0;
  #isScheduled = false;
  #isReady = false;

  constructor(options: CreditClientTaskOptions) {
    this.#options = options;
    this.#timer = setInterval(() => this.#run(), tickIntervalMilliseconds);
  }

  /** Whether all holders could grant at some time since this VM started. */
  get isReady(): boolean {
    return this.#isReady;
  }

  /** Reports all due accounts once, after this turn of the event loop. */
  schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    setImmediate(() => {
      this.#isScheduled = false;
      this.#run();
    });
  }

  /** Returns the unused credits for some targets and reports them. */
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

  /** Stops reporting; the credits end with their lease. */
  stop(): void {
    clearInterval(this.#timer);
  }

  #run(): void {
    const { routing, gate } = this.#options;
    if (routing.table !== this.#table) {
      this.#table = routing.table;
      this.#roles = creditRoles(routing.table);
      this.#roleOfTarget.clear();
      gate.updateTargets(routing.table.targets);
    }
    this.#isReady ||= this.#areAllSettled(routing.table);
    for (const message of this.#dueMessages(routing.table)) {
      void this.#exchange(message);
    }
  }

  /**
   * Collects the messages that are due: empty reports that introduce this VM
   * to holders, and reports on due accounts. Accounts that need more credits
   * are reported separately, because that response may take longer.
   */
  #dueMessages(table: RoutingTable): readonly HolderMessage[] {
    const messages = new Map<string, HolderMessage>();
    const messageTo = (role: RoleAssignment, kind: "needs" | "other") => {
      const id = `${role.holder}/${kind}`;
      const message = messages.get(id) ??
        { holder: role.holder!, roles: new Map() };
      messages.set(id, message);
      return message;
    };
    for (const role of this.#roles) {
      if (
        !this.#isSettled(table, role) && !this.#pendingHellos.has(role.holder!)
      ) {
        ensureRoleAccounts(messageTo(role, "other"), { table, role });
      }
    }
    for (const { account, role } of this.#dueAccounts(table)) {
      const message = messageTo(role, account.needsMore ? "needs" : "other");
      ensureRoleAccounts(message, { table, role }).accounts.push(account);
    }
    return [...messages.values()];
  }

  #dueAccounts(table: RoutingTable): readonly DueAccount[] {
    const now = this.#options.clock.now();
    const accounts = [...this.#options.gate.accounts()].flatMap((account) => {
      const role = this.#roleOf(table, account.target);
      return role?.holder ? [{ account, role }] : [];
    });
    const due = accounts.filter((each) =>
      each.account.isReportDue(now, reportIntervals) &&
      this.#mayReport(each, table)
    );
    const saturated = new Set(
      due.filter(({ account, role }) =>
        account.needsMore &&
        this.#pendingMessageCount(role) >= maximumPendingMessages
      ).map(({ role }) => role.holder),
    );
    if (saturated.size === 0) return due;
    // A report on every unanswered account replaces the pending reports, which
    // the holder then answers at once.
    const unanswered = accounts.filter(({ account, role }) =>
      saturated.has(role.holder) && this.#sent.has(account)
    );
    return [
      ...new Map([...unanswered, ...due].map((each) => [each.account, each]))
        .values(),
    ];
  }

  #roleOf(table: RoutingTable, target: string): RoleAssignment | undefined {
    if (this.#roleOfTarget.has(target)) return this.#roleOfTarget.get(target);
    const record = table.targets.get(target);
    const role = record && creditRoleOf(table, record);
    this.#roleOfTarget.set(target, role);
    return role;
  }

  /** Returns the number of messages that a holder has not answered. */
  #pendingMessageCount({ holder }: RoleAssignment): number {
    return this.#pendingMessages.get(holder ?? "") ?? 0;
  }

  /** Whether to report on an account although a report may be unanswered. */
  #mayReport({ account, role }: DueAccount, table: RoutingTable): boolean {
    const sent = this.#sent.get(account);
    return sent === undefined ||
      account.isUrgent(this.#options.clock.now()) ||
      sent.holder !== holderId(table, role);
  }

  #isSettled(table: RoutingTable, role: RoleAssignment): boolean {
    return this.#settledEpochs.get(roleId(role)) === holderEpoch(table, role);
  }

  #areAllSettled(table: RoutingTable): boolean {
    return this.#roles.length > 0 &&
      this.#roles.every((role) => this.#isSettled(table, role));
  }

  async #exchange({ holder, roles }: HolderMessage): Promise<void> {
    const { vm, boot, clock } = this.#options;
    const sentAt = clock.now();
    const sent = [...roles.values()].map(({ accounts }): SentReports => ({
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
    const tracking = this.#trackPending({ holder, roles });
    const response = await this.#send(holder, request);
    tracking.end();
    [...roles].forEach(([id, { epoch }], index) => {
      const granted = response?.roles[index];
      if (granted?.settled) this.#settledEpochs.set(id, epoch);
      this.#applyResponse(sent[index]!, {
        credits: granted?.accepted ? granted.credits : undefined,
        validUntil: sentAt + (response?.leaseMilliseconds ?? 0),
      });
    });
    if (response?.roles.every((each) => each.accepted)) this.schedule();
  }

  /** Tracks the accounts and holder of an unanswered message until its end. */
  #trackPending(
    { holder, roles }: HolderMessage,
  ): { readonly end: () => void } {
    const isHello = [...roles.values()].some((each) =>
      each.accounts.length === 0
    );
    if (isHello) this.#pendingHellos.add(holder);
    this.#pendingMessages.set(
      holder,
      (this.#pendingMessages.get(holder) ?? 0) + 1,
    );
    const pending = [...roles.values()].flatMap(({ accounts, epoch }) =>
      accounts.map((account) => ({
        account,
        message: { holder: `${holder}/${epoch}` },
      }))
    );
    for (const each of pending) this.#sent.set(each.account, each.message);
    return {
      end: () => {
        if (isHello) this.#pendingHellos.delete(holder);
        this.#pendingMessages.set(
          holder,
          this.#pendingMessages.get(holder)! - 1,
        );
        for (const { account, message } of pending) {
          if (this.#sent.get(account) === message) this.#sent.delete(account);
        }
      },
    };
  }

  async #send(
    holder: string,
    request: ExchangeRequest,
  ): Promise<ExchangeResponse | undefined> {
    const { vm, peers, exchangeLocally } = this.#options;
    if (holder === vm) return exchangeLocally(request);
    this.#options.metrics.creditMessages.inc({ kind: "exchange" });
    try {
      return await peers.client(holder, Credit)?.exchange(request, {
        timeoutMs: exchangeTimeoutMilliseconds,
      });
    } catch {
      return undefined;
    }
  }

  #applyResponse(
    sent: SentReports,
    response: {
      readonly credits: readonly number[] | undefined;
      readonly validUntil: number;
    },
  ): void {
    sent.accounts.forEach((account, index) => {
      const report = sent.reports[index]!;
      const credits = response.credits?.[index];
      if (credits === undefined) account.recordReportFailure(report);
      else {
        const { validUntil } = response;
        this.#options.gate.applyGrant(report, { credits, validUntil });
      }
    });
  }
}

function ensureRoleAccounts(
  message: HolderMessage,
  to: { readonly table: RoutingTable; readonly role: RoleAssignment },
): RoleAccounts {
  const id = roleId(to.role);
  const roleAccounts = message.roles.get(id) ??
    { epoch: holderEpoch(to.table, to.role), accounts: [] };
  message.roles.set(id, roleAccounts);
  return roleAccounts;
}

function holderId(table: RoutingTable, role: RoleAssignment): string {
  return `${role.holder}/${holderEpoch(table, role)}`;
}

function creditRoles(table: RoutingTable): readonly RoleAssignment[] {
  return [...table.roles.values()].filter((role) =>
    role.kind === RoleKind.credit && role.holder
  );
}

import type { TargetRecord } from "@kingcupglade/ownership";
import type { Clock } from "@kingcupglade/tasks";
import { CapacityGate } from "./capacity.ts";
import type {
  CapacityRequest,
  ExchangeReport,
  Permit,
  TargetChanged,
} from "./capacity.ts";
import { CreditAccount } from "./credit_account.ts";
import type { CreditAccountReport } from "./credit_account.ts";
import { FairQueue } from "./fair_queue.ts";
import { notRun, Reason } from "./outcome.ts";
import type { Refusal } from "./outcome.ts";
import type { TargetObservations } from "./target_observations.ts";

/** Maximum number of requests that wait for one target. */
const maximumQueueLength = 256;
/** Time after which a target is assumed to have stopped a cancelled request. */
const cancellationMilliseconds = 50;

/** Options of a {@link CreditGate}. */
export interface CreditGateOptions {
  readonly clock: Clock;
  readonly observations: TargetObservations;
  /** Returns the weight of a tenant relative to the others. */
  readonly tenantWeight: (tenant: string) => number;
  /** Returns the number of VMs that share the connections of a target. */
  readonly sharingVms: () => number;
  /** Called when a report to the holder of a target's shard is due. */
  readonly onReportDue: (target: string) => void;
  /** Called on a sign that a target has become cold. */
  readonly onPossiblyCold: (target: string) => void;
}

interface Waiter {
  readonly admit: () => void;
  /** Ends the wait unless the request still belongs to the target. */
  readonly recheck: (target: TargetRecord | undefined) => void;
}

interface TargetGate {
  readonly account: CreditAccount;
  readonly queue: FairQueue<Waiter>;
  readonly waiters: Set<Waiter>;
  target: TargetRecord;
}

/** Admits requests to targets within this VM's credits, using fair queues. */
export class CreditGate extends CapacityGate {
  readonly #options: CreditGateOptions;
  readonly #gates = new Map<string, TargetGate>();

  constructor(options: CreditGateOptions) {
    super();
    this.#options = options;
  }

  /** Iterates over the accounts of all targets that this VM has used. */
  *accounts(): Iterable<CreditAccount> {
    for (const gate of this.#gates.values()) yield gate.account;
  }

  override available(target: TargetRecord): number {
    const gate = this.#gates.get(target.target);
    return gate ? this.#limit(gate) - gate.account.inProgress : 0;
  }

  override load(target: TargetRecord): number {
    const gate = this.#gates.get(target.target);
    return gate ? gate.account.inProgress + gate.queue.size : 0;
  }

  override queued(target: TargetRecord): number {
    return this.#gates.get(target.target)?.queue.size ?? 0;
  }

  override acquire(
    request: CapacityRequest,
  ): Promise<Permit | Refusal | TargetChanged> {
    const gate = this.#gateOf(request.target);
    const now = this.#options.clock.now();
    if (gate.queue.size === 0 && this.#mayAdmit(gate)) {
      return Promise.resolve(this.#admit(gate, now));
    }
    const wait = this.#estimatedWait(gate);
    if (
      gate.queue.size >= maximumQueueLength || now + wait >= request.deadlineAt
    ) {
      return Promise.resolve(refuse(wait));
    }
    return this.#enqueue(gate, request);
  }

  /** Applies a holder's response to a report and admits waiting requests. */
  applyGrant(
    report: CreditAccountReport,
    response: { readonly credits: number; readonly validUntil: number },
  ): void {
    const gate = this.#gates.get(report.target);
    if (!gate) return;
    gate.account.applyGrant(report, response);
    this.#admitWaiting(gate);
  }

  /** Applies the targets of a new table. */
  updateTargets(targets: ReadonlyMap<string, TargetRecord>): void {
    const now = this.#options.clock.now();
    for (const [name, gate] of this.#gates) {
      const target = targets.get(name);
      for (const waiter of [...gate.waiters]) waiter.recheck(target);
      if (target) {
        gate.target = target;
        gate.account.updateTarget(target);
      } else if (gate.queue.size === 0 && gate.account.isIdle(now)) {
        this.#gates.delete(name);
      }
    }
  }

  #gateOf(target: TargetRecord): TargetGate {
    const known = this.#gates.get(target.target);
    if (known) return known;
    const gate = {
      account: new CreditAccount(target),
      queue: new FairQueue<Waiter>(),
      waiters: new Set<Waiter>(),
      target,
    };
    this.#gates.set(target.target, gate);
    return gate;
  }

  #enqueue(
    gate: TargetGate,
    request: CapacityRequest,
  ): Promise<Permit | Refusal | TargetChanged> {
    const { clock, tenantWeight } = this.#options;
    return new Promise((resolve) => {
      const finish = (result: Refusal | TargetChanged) => {
        clearTimeout(timer);
        gate.waiters.delete(waiter);
        remove();
        gate.account.recordQueueLength(gate.queue.size, clock.now());
        resolve(result);
      };
      const timer = setTimeout(
        () => finish(refuse(this.#estimatedWait(gate))),
        Math.max(0, request.deadlineAt - clock.now()),
      );
      const waiter: Waiter = {
        admit: () => {
          clearTimeout(timer);
          gate.waiters.delete(waiter);
          resolve(this.#admit(gate, clock.now()));
        },
        recheck: (target) => {
          const isCurrent = target?.boot === request.target.boot &&
            request.isCurrent?.() !== false;
          if (!isCurrent) finish({ kind: "moved" });
        },
      };
      gate.waiters.add(waiter);
      const remove = gate.queue.add(waiter, {
        class: request.class,
        tenant: request.tenant,
        weight: tenantWeight(request.tenant),
      });
      this.#recordQueueLength(gate);
    });
  }

  #recordQueueLength(gate: TargetGate): void {
    gate.account.recordQueueLength(gate.queue.size, this.#options.clock.now());
    if (gate.account.needsMore) this.#options.onReportDue(gate.account.target);
  }

  #admit(gate: TargetGate, now: number): Permit {
    gate.account.begin(now);
    return {
      kind: "permit",
      release: (report) => this.#release(gate, report),
    };
  }

  #release(gate: TargetGate, report: ExchangeReport): void {
    const { account } = gate;
    const { clock, observations, onPossiblyCold } = this.#options;
    const end = () => {
      account.end({ answered: report.result === "answered" });
      this.#admitWaiting(gate);
      if (account.mustReturn(clock.now())) {
        this.#options.onReportDue(account.target);
      }
    };
    observations.record(account.target, report, clock.now());
    if (report.result === "shed" || report.result === "failed") {
      account.recordPossiblyCold();
      onPossiblyCold(account.target);
    }
    // The target continues to work on a cancelled request until it notices.
    if (report.result === "cancelled" && report.milliseconds > 0) {
      setTimeout(end, cancellationMilliseconds).unref();
    } else end();
  }

  #admitWaiting(gate: TargetGate): void {
    if (gate.queue.size === 0) return;
    while (this.#mayAdmit(gate)) {
      const next = gate.queue.take();
      if (!next) break;
      next.admit();
    }
    this.#recordQueueLength(gate);
  }

  #mayAdmit(gate: TargetGate): boolean {
    return gate.account.inProgress < this.#limit(gate);
  }

  #limit(gate: TargetGate): number {
    const connections = Math.floor(
      gate.target.connections / Math.max(1, this.#options.sharingVms()),
    );
    return Math.min(
      gate.account.credits(this.#options.clock.now()),
      Math.max(1, connections),
    );
  }

  #estimatedWait(gate: TargetGate): number {
    const { milliseconds = 0 } =
      this.#options.observations.get(gate.account.target) ?? {};
    const ahead = gate.queue.size + gate.account.inProgress;
    return milliseconds * ahead / Math.max(1, this.#limit(gate));
  }
}

function refuse(waitMilliseconds: number): Refusal {
  const seconds = Math.ceil(waitMilliseconds / 1000);
  return notRun(Reason.overload, { retryAfterSeconds: Math.max(1, seconds) });
}

import { packAnswer, packReport } from "./messages.ts";
import type { QuotaReport } from "./messages.ts";
import { QuotaAdmissions } from "./quota_admissions.ts";
import { QuotaLender } from "./quota_lender.ts";
import { loanMilliseconds } from "./quota_settings.ts";
import type { QuotaSettings } from "./quota_settings.ts";
import { DriftingClock } from "./simulated_network_fixture.ts";
import {
  callTimeoutMilliseconds,
  electionMilliseconds,
  gatewayName,
  SimulatedPolicy,
} from "./simulated_policy_fixture.ts";
import type {
  SimulatedFleetOptions,
  SimulatedUse,
} from "./simulated_policy_fixture.ts";

/** Longest time for which the leader holds a watch. */
const watchHoldMilliseconds = 1000;
/** Shortest time between two updates that a debtor is sent. */
const wakeIntervalMilliseconds = 100;

/** Leader of one term, which may go on after it was replaced. */
class SimulatedLeader {
  readonly name: string;
  readonly lender: QuotaLender;
  /** Ends the wait of a gateway's watch. */
  readonly waiters = new Map<string, () => void>();
  readonly wokenAt = new Map<string, number>();
  /** When a quorum last confirmed it; undefined while it is confirmed. */
  confirmedAt: number | undefined;

  constructor(term: number, lender: QuotaLender) {
    this.name = `control-${term}`;
    this.lender = lender;
  }
}

class SimulatedGateway {
  readonly name: string;
  readonly admissions: QuotaAdmissions;
  readonly incarnation: string;
  leader = "";
  isStopped = false;

  constructor(name: string, admissions: QuotaAdmissions, incarnation: string) {
    this.name = name;
    this.admissions = admissions;
    this.incarnation = incarnation;
  }
}

/** The allowances that the product uses. */
export class LentAllowances extends SimulatedPolicy {
  readonly #gateways: SimulatedGateway[] = [];
  #leader: SimulatedLeader;
  /** A leader that was replaced and does not know it. */
  #former: SimulatedLeader | undefined;
  #term = 1;
  #incarnations = 0;

  constructor(options: SimulatedFleetOptions) {
    super(options);
    this.#leader = this.#startLeader(() => 0);
    for (let index = 0; index < options.gateways; index += 1) {
      this.#gateways.push(this.#startGateway(index));
    }
  }

  /** Returns the sum of the allowances that gateways hold under a lease. */
  held(workspace: string): number {
    return this.#gateways.reduce(
      (sum, { admissions: { quotas } }) =>
        sum + (quotas.hasLease ? quotas.state(workspace).allowance : 0),
      0,
    );
  }

  override request(
    { gateway, workspace }: {
      readonly gateway: number;
      readonly workspace: string;
    },
    decide: (use: SimulatedUse | undefined) => void,
  ): void {
    const { admissions } = this.#gateways[gateway]!;
    admissions.admit(
      workspace,
      (decision) =>
        decide(decision.kind === "admitted" ? decision.use : undefined),
    );
    this.#drive(this.#gateways[gateway]!);
  }

  override limitsChanged(): void {
    for (const wake of [...this.#leader.waiters.values()]) wake();
  }

  override loseLeader(): void {
    this.options.network.isolated.add(this.#leader.name);
    this.#elect();
  }

  /**
   * Replaces the leader, which does not know it and goes on to answer half of the
   * gateways for a time.
   */
  replaceUnnoticed(milliseconds: number): void {
    const { schedule } = this.options.network;
    const former = this.#leader;
    former.confirmedAt = schedule.now();
    this.#former = former;
    this.#elect();
    schedule.after(milliseconds, () => {
      if (this.#former === former) this.#former = undefined;
    });
  }

  override restart(gateway: number): void {
    this.#gateways[gateway]!.isStopped = true;
    this.#gateways[gateway] = this.#startGateway(gateway);
  }

  #leaderOf(gateway: SimulatedGateway): SimulatedLeader {
    const followsFormer = gateway.name.endsWith("-");
    return followsFormer && this.#former ? this.#former : this.#leader;
  }

  #elect(): void {
    const { network } = this.options;
    network.schedule.after(electionMilliseconds, () => {
      const totals = new Map(
        [...this.options.limits.keys()].map((name) => [name, this.total(name)]),
      );
      this.#leader = this.#startLeader((name) => totals.get(name) ?? 0);
    });
  }

  #startLeader(lentBefore: (workspace: string) => number): SimulatedLeader {
    const { network, settings } = this.options;
    return new SimulatedLeader(
      this.#term,
      new QuotaLender({
        term: this.#term++,
        windowMilliseconds: settings.windowMilliseconds,
        startedAt: network.schedule.now(),
        lentBefore,
        total: (workspace) => this.total(workspace),
      }),
    );
  }

  #startGateway(index: number): SimulatedGateway {
    const { network, settings, drift = 0 } = this.options;
    const { schedule } = network;
    const incarnation = `i${this.#incarnations++}`;
    const clock = new DriftingClock(
      schedule,
      1 + (network.random() - 0.5) * drift,
    );
    const gateway = new SimulatedGateway(
      gatewayName(index),
      new QuotaAdmissions({
        incarnation,
        windowMilliseconds: settings.windowMilliseconds,
        clock,
        elapsedClock: clock,
      }),
      incarnation,
    );
    network.at(gateway.name, 1 + network.random() * 100, () => {
      this.#watch(gateway);
    });
    return gateway;
  }

  #watch(gateway: SimulatedGateway): void {
    if (gateway.isStopped) return;
    const { network } = this.options;
    const leader = this.#leaderOf(gateway);
    const isNewLeader = gateway.leader !== leader.name;
    gateway.leader = leader.name;
    const report = gateway.admissions.quotas.report(isNewLeader);
    let isDone = false;
    const end = () => {
      if (isDone) return;
      isDone = true;
      this.#watch(gateway);
    };
    network.sendAlong(gateway.name, leader.name, packReport(report), () => {
      this.#record(leader, gateway, report);
      const wake = () => {
        if (leader.waiters.get(gateway.name) === wake) {
          leader.waiters.delete(gateway.name);
        }
        if (isAnswered) return;
        isAnswered = true;
        const answer = this.#answer(leader, gateway, report);
        network.sendAlong(leader.name, gateway.name, packAnswer(answer), () => {
          gateway.admissions.apply(answer);
          this.#drive(gateway);
          end();
        });
      };
      let isAnswered = false;
      leader.waiters.set(gateway.name, wake);
      network.at(leader.name, isNewLeader ? 1 : watchHoldMilliseconds, wake);
    });
    network.at(gateway.name, watchHoldMilliseconds + 400, () => {
      if (!isDone) gateway.leader = "";
      end();
    });
  }

  #drive(gateway: SimulatedGateway): void {
    const { admissions } = gateway;
    const { network } = this.options;
    admissions.expire();
    if (admissions.isCallDue) this.#call(gateway);
    const next = admissions.nextAt;
    if (next === undefined || gateway.isStopped) return;
    network.at(
      gateway.name,
      Math.max(1, next - network.schedule.now()),
      () => this.#drive(gateway),
    );
  }

  #call(gateway: SimulatedGateway): void {
    const { network } = this.options;
    const leader = this.#leaderOf(gateway);
    const report = gateway.admissions.startCall();
    let isDone = false;
    network.send(gateway.name, leader.name, packReport(report), () => {
      this.#record(leader, gateway, report);
      const answer = this.#answer(leader, gateway, report);
      network.send(leader.name, gateway.name, packAnswer(answer), () => {
        if (isDone) return;
        isDone = true;
        gateway.admissions.endCall(answer);
        this.#drive(gateway);
      });
    });
    network.at(gateway.name, callTimeoutMilliseconds, () => {
      if (isDone) return;
      isDone = true;
      gateway.admissions.endCall(null);
      this.#drive(gateway);
    });
  }

  #record(
    leader: SimulatedLeader,
    gateway: SimulatedGateway,
    report: QuotaReport,
  ): void {
    leader.lender.record(
      gateway.name,
      report,
      this.options.network.schedule.now(),
    );
  }

  #answer(
    leader: SimulatedLeader,
    gateway: SimulatedGateway,
    report: QuotaReport,
  ) {
    const now = this.options.network.schedule.now();
    const answer = leader.lender.answer(gateway.name, report, {
      now,
      confirmedAgeMilliseconds: now - (leader.confirmedAt ?? now),
    });
    for (const name of leader.lender.takeDebtors()) {
      if (
        now - (leader.wokenAt.get(name) ?? -Infinity) < wakeIntervalMilliseconds
      ) {
        continue;
      }
      leader.wokenAt.set(name, now);
      this.options.network.at(
        leader.name,
        1,
        () => leader.waiters.get(name)?.(),
      );
    }
    return answer;
  }
}

/** Returns the time after which nothing of a lost VM is in use. */
export function lapseMilliseconds(settings: QuotaSettings): number {
  return loanMilliseconds + settings.windowMilliseconds;
}

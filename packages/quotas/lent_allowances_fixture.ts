import { BorrowerRecorder } from "./borrower_recorder.ts";
import type { BorrowerRecorderOptions } from "./borrower_recorder.ts";
import { packAnswer, packReport } from "./messages.ts";
import type { QuotaReport } from "./messages.ts";
import { QuotaAdmissions } from "./quota_admissions.ts";
import { QuotaLender } from "./quota_lender.ts";
import { loanMilliseconds } from "./quota_settings.ts";
import type { QuotaSettings } from "./quota_settings.ts";
import { SimulatedLeader, SimulatedLog } from "./simulated_leader_fixture.ts";
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

/** Time between the decisions of a leader. */
const tickMilliseconds = 100;

class SimulatedGateway {
  readonly name: string;
  readonly admissions: QuotaAdmissions;
  readonly incarnation: string;
  /** The leader that it watches. */
  leader: SimulatedLeader | undefined;
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
  readonly #create: (options: BorrowerRecorderOptions) => BorrowerRecorder;
  #leader: SimulatedLeader;
  /** A leader that was replaced and does not know it. */
  #former: SimulatedLeader | undefined;
  /** Whether gateways choose between the two anew with each watch. */
  #isFlapping = false;
  #term = 1;
  #incarnations = 0;
  readonly log: SimulatedLog;
  /** When the present leader sent its first response. */
  respondingSince = Infinity;

  constructor(
    options: SimulatedFleetOptions,
    /** Tests inject faults by recorders of their own. */
    create = (options: BorrowerRecorderOptions) =>
      new BorrowerRecorder(options),
  ) {
    super(options);
    this.#create = create;
    this.log = new SimulatedLog(options.network, () => this.#leader);
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
  replaceUnnoticed(milliseconds: number, isFlapping = false): void {
    const { schedule } = this.options.network;
    const former = this.#leader;
    former.confirmedAt ??= schedule.now();
    this.#former = former;
    this.#isFlapping = isFlapping;
    this.#elect();
    schedule.after(milliseconds, () => {
      if (this.#former === former) this.#former = undefined;
    });
  }

  /** The leader goes on, but cannot commit entries. */
  stallCommits(milliseconds: number): void {
    this.log.stall(milliseconds);
  }

  /** The leader stands still, and is replaced meanwhile. */
  freezeLeader(milliseconds: number): void {
    const { schedule, pausedUntil } = this.options.network;
    this.#leader.confirmedAt ??= schedule.now();
    pausedUntil.set(this.#leader.name, schedule.now() + milliseconds);
    this.#elect();
  }

  override restart(gateway: number): void {
    this.#gateways[gateway]!.isStopped = true;
    this.#gateways[gateway] = this.#startGateway(gateway);
  }

  #leaderOf(gateway: SimulatedGateway): SimulatedLeader {
    const followsFormer = this.#isFlapping
      ? this.options.network.random() < 0.5
      : gateway.name.endsWith("-");
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
    const startedAt = network.schedule.now();
    this.log.endTerm();
    const term = this.#term++;
    const leader = new SimulatedLeader(
      `control-${term}`,
      this.log.borrowers,
      (self) => {
        const recorder = this.#createRecorder(self);
        const lender = new QuotaLender({
          term,
          windowMilliseconds: settings.windowMilliseconds,
          startedAt,
          lentBefore,
          total: (workspace) => this.total(workspace),
          recorder,
        });
        return { recorder, lender };
      },
    );
    this.respondingSince = Infinity;
    network.at(leader.name, tickMilliseconds, () => this.#tick(leader));
    return leader;
  }

  #createRecorder(leader: SimulatedLeader): BorrowerRecorder {
    return this.#create({
      committed: () => leader.borrowers,
      isNeeded: () => true,
      propose: (change, done) => this.log.propose({ leader, change, done }),
      onExtended: (gateways) => {
        for (const gateway of gateways) leader.waiters.get(gateway)?.();
      },
    });
  }

  #tick(leader: SimulatedLeader): void {
    const { network } = this.options;
    if (network.isolated.has(leader.name)) return;
    const now = network.schedule.now();
    leader.lender.tick(now);
    leader.recorder.tick(now);
    network.at(leader.name, tickMilliseconds, () => this.#tick(leader));
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
    const isNewLeader = gateway.leader !== leader;
    gateway.leader = leader;
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
      if (!isDone) gateway.leader = undefined;
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
    const report = gateway.admissions.startCall();
    // As in the product, a gateway calls the leader that it watches.
    const { leader } = gateway;
    let isDone = false;
    const sendCall = (leader: SimulatedLeader) =>
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
    if (leader) sendCall(leader);
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
    const now = this.options.network.schedule.now();
    leader.lender.record(gateway.name, report, now);
    leader.recorder.tick(now);
  }

  #answer(
    leader: SimulatedLeader,
    gateway: SimulatedGateway,
    report: QuotaReport,
  ) {
    const now = this.options.network.schedule.now();
    if (leader === this.#leader) {
      this.respondingSince = Math.min(this.respondingSince, now);
    }
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

import { emptyFleetState, FleetMachine } from "@kingcupglade/fleet";
import type {
  Announcement,
  FleetCommand,
  FleetState,
} from "@kingcupglade/fleet";
import { decodeWatchAnswer } from "@kingcupglade/fleet_control";
import type { Watch } from "@kingcupglade/fleet_control";
import { ManualClock } from "@kingcupglade/tasks";
import { vi } from "vitest";
import { LeaderSession } from "../../fleet_control/leader_session.ts";
import { GatewayTable } from "./gateway_table.ts";

const logger = { debug() {}, info() {}, warn() {}, error() {} };
const names = ["a", "b", "c"];
const addresses = ["10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"];
const dataCentre = "hsinchu-a";
const stepCount = 400;

/** The log that all leaders share. */
class SharedLog {
  readonly #machine = new FleetMachine();
  state: FleetState = emptyFleetState;
  appliedIndex = 1;

  append(command: FleetCommand): void {
    this.appliedIndex += 1;
    this.state =
      this.#machine.apply(this.state, command, this.appliedIndex).state;
  }
}

/** The replica of one leader; one that was replaced keeps what it had applied. */
class LeaderReplica {
  readonly consensus: { readonly term: number };
  readonly #log: SharedLog;
  #kept: { readonly state: FleetState; readonly appliedIndex: number } | null =
    null;

  constructor(log: SharedLog, term: number) {
    this.#log = log;
    this.consensus = { term };
  }

  get state(): FleetState {
    return (this.#kept ?? this.#log).state;
  }

  get appliedIndex(): number {
    return (this.#kept ?? this.#log).appliedIndex;
  }

  replace(): void {
    const { state, appliedIndex } = this.#log;
    this.#kept = { state, appliedIndex };
  }

  propose(command: FleetCommand): Promise<unknown> {
    if (this.#kept) return Promise.reject(new Error("this VM does not lead"));
    this.#log.append(command);
    return Promise.resolve({ kind: "applied" });
  }

  confirmLeadership(): Promise<boolean> {
    return Promise.resolve(this.#kept === null);
  }
}

interface Leader {
  readonly replica: LeaderReplica;
  readonly session: LeaderSession;
}

interface Target {
  readonly name: string;
  readonly bornAt: number;
  readonly address: string;
  sequence: number;
  isDraining: boolean;
}

/** A departure whose acknowledgement was received. */
interface Acknowledged {
  readonly name: string;
  readonly bornAt: number;
  /** Last log entry at the leader when it acknowledged. */
  readonly index: number;
}

/** Options of {@link DeparturePlay}. */
export interface DeparturePlayOptions {
  /** Returns a number between 0 and 1. */
  readonly random: () => number;
  /** Whether a target that ends names its start. */
  readonly namesStart: boolean;
  /**
   * Whether one that names none may end before a leader has heard from it, with
   * clocks that agree and heartbeats that are late by less than a minute.
   */
  readonly mayBeUnheard?: boolean;
}

/** Plays one random sequence of what targets, leaders and gateways do. */
export class DeparturePlay {
  readonly #random: () => number;
  readonly #namesStart: boolean;
  readonly #mayBeUnheard: boolean;
  readonly #log = new SharedLog();
  readonly #clock = new ManualClock(1000);
  readonly #leaders: Leader[] = [];
  readonly #targets = new Map<string, Target>();
  #sent: { readonly at: number; readonly announcement: Announcement }[] = [];
  readonly #gateways = ["g1", "g2"].map((name) => ({
    name,
    table: new GatewayTable(),
  }));
  readonly #acknowledged: Acknowledged[] = [];
  #bornAt = 10_000;
  /**
   * Departures that a gateway used although its table covers them, and tables
   * that differ from the leader's.
   */
  readonly violations: string[] = [];
  departureCount = 0;
  /** Departures of names that the leader had not heard. */
  unheardCount = 0;
  /** Updates after which the digest of the table was compared. */
  digestCount = 0;

  constructor(
    { random, namesStart, mayBeUnheard = false }: DeparturePlayOptions,
  ) {
    this.#random = random;
    this.#namesStart = namesStart;
    this.#mayBeUnheard = mayBeUnheard;
  }

  async run(): Promise<void> {
    this.#replaceLeader();
    for (let step = 0; step < stepCount; step += 1) {
      await this.#step();
      this.#check(step);
    }
    for (const { session } of this.#leaders) session.end();
  }

  #pick<Item>(items: readonly Item[]): Item | undefined {
    return items[Math.floor(this.#random() * items.length)];
  }

  // Calls reach a leader that was replaced now and then.
  get #calledLeader(): Leader {
    const at = this.#random() < 0.15 ? this.#random() : 0.999;
    return this.#leaders[Math.floor(at * this.#leaders.length)]!;
  }

  async #step(): Promise<void> {
    const chance = this.#random();
    const target = this.#pick([...this.#targets.values()]);
    if (chance < 0.08) this.#start();
    else if (chance < 0.3) await this.#beat(target);
    else if (chance < 0.4) await this.#repeat();
    else if (chance < 0.47) await this.#drain(target);
    else if (chance < 0.53) await this.#delete(target);
    else if (chance < 0.57) this.#replaceLeader();
    else if (chance < 0.6) await this.#evacuate();
    else if (chance < 0.66) this.#tick();
    else await this.#watch();
  }

  #start(): void {
    const name = this.#pick(names)!;
    const address = this.#pick(addresses)!;
    for (const [other, each] of this.#targets) {
      if (each.address === address) this.#targets.delete(other);
    }
    this.#targets.set(name, {
      name,
      address,
      bornAt: this.#bornAt += 10,
      sequence: 0,
      isDraining: false,
    });
    if (this.#mayBeUnheard) vi.setSystemTime(this.#bornAt);
  }

  async #beat(target: Target | undefined): Promise<void> {
    if (!target) return;
    target.sequence += 1;
    const announcement: Announcement = {
      incarnation: { target: target.name, bornAt: target.bornAt },
      service: "catalogue",
      address: target.address,
      dataCentre,
      slots: 4,
      isDraining: target.isDraining,
      coldMilliseconds: 0,
      sequence: target.sequence,
      holds: [],
      freed: [],
    };
    this.#sent.push({ at: this.#clock.now(), announcement });
    // It may be late, or lost.
    if (this.#random() < 0.8) await this.#announce(announcement);
  }

  async #repeat(): Promise<void> {
    if (this.#mayBeUnheard) {
      const now = this.#clock.now();
      this.#sent = this.#sent.filter(({ at }) => now - at < 60_000);
    }
    const sent = this.#pick(this.#sent);
    if (sent) await this.#announce(sent.announcement);
  }

  async #announce(announcement: Announcement): Promise<void> {
    const leader = this.#calledLeader;
    const answer = await leader.session.handleHeartbeat(announcement)
      .catch(() => null);
    if (answer === null || !announcement.isDraining) return;
    const { target: name, bornAt } = announcement.incarnation;
    this.#acknowledge(name, bornAt, leader);
  }

  async #drain(target: Target | undefined): Promise<void> {
    if (!target) return;
    target.isDraining = true;
    await this.#beat(target);
  }

  async #delete(target: Target | undefined): Promise<void> {
    if (!target) return;
    const { name, bornAt } = target;
    const leader = this.#calledLeader;
    if (!this.#namesStart && !this.#mayOmitStart(target, leader)) return;
    const isHeard = [...leader.session.targets].some(
      ({ incarnation }) => incarnation.target === name,
    );
    const depart = () =>
      leader.session.handleDeparture(name, this.#namesStart ? bornAt : null)
        .catch(() => false);
    let isDone = await depart();
    if (!isDone && this.#mayBeUnheard) {
      this.#clock.advance(2600);
      isDone = this.#mayOmitStart(target, leader) && await depart();
    }
    if (!isDone) return;
    this.#acknowledge(name, bornAt, leader);
    if (this.#mayBeUnheard) this.#targets.delete(name);
    if (!isHeard) this.unheardCount += 1;
  }

  // A leader hears of a start within some heartbeats, before the target leaves.
  #mayOmitStart({ name, bornAt }: Target, { session }: Leader): boolean {
    const known = [...session.targets].find(({ incarnation }) =>
      incarnation.target === name
    );
    return !session.isComplete || known?.incarnation.bornAt === bornAt ||
      (this.#mayBeUnheard && !known);
  }

  #acknowledge(name: string, bornAt: number, { replica }: Leader): void {
    this.departureCount += 1;
    this.#acknowledged.push({ name, bornAt, index: replica.appliedIndex });
  }

  async #evacuate(): Promise<void> {
    const isOut = this.#random() < 0.5;
    await this.#calledLeader.session.evacuate({
      dataCentre,
      isOut,
      knownIndex: null,
    }).catch(() => {});
  }

  #tick(): void {
    this.#clock.advance(this.#random() < 0.1 ? 30_000 : 700);
    this.#leaders.at(-1)!.session.tick();
  }

  #replaceLeader(): void {
    this.#leaders.at(-1)?.replica.replace();
    const replica = new LeaderReplica(this.#log, this.#leaders.length + 1);
    const session = new LeaderSession({
      replica: replica as never,
      clock: this.#clock,
      logger,
      heartbeatMilliseconds: 1000,
      controlAddress: "127.0.0.3:8300",
      region: "north",
      regionOf: () => "north",
      controlAddresses: () => [],
      listeners: () => [],
    });
    this.#leaders.push({ replica, session });
  }

  async #watch(): Promise<void> {
    const { name, table } = this.#pick(this.#gateways)!;
    const { session } = this.#calledLeader;
    const watch: Watch = {
      gateway: name,
      dataCentre,
      region: "north",
      address: "127.0.0.2:8390",
      isLeaving: false,
      isCutOff: false,
      position: table.position,
      isSearch: false,
      features: [],
      quotas: [],
      demand: [],
      durations: [],
      limits: [],
      leaving: [],
      suspects: [],
    };
    const answering = session.watch(watch);
    session.end();
    const answer = decodeWatchAnswer((await answering).answer);
    if (answer.kind !== "news") return;
    const { delta } = answer;
    table.apply(delta, this.#clock.now());
    if (delta.tableDigest === null || table.position !== delta.position) return;
    this.digestCount += 1;
    if (delta.tableDigest !== table.digest) {
      this.violations.push(`${name} differs at index ${delta.position.index}`);
    }
  }

  #check(step: number): void {
    for (const { name: gateway, table } of this.#gateways) {
      for (const { name, bornAt, index } of this.#acknowledged) {
        const target = table.target(name);
        const isUsed = target?.bornAt === bornAt &&
          table.position.index >= index && table.mayServe(target);
        if (!isUsed) continue;
        this.violations.push(
          `step ${step}: ${gateway} uses ${name}/${bornAt} at index ` +
            `${table.position.index}, which left at ${index}`,
        );
      }
    }
  }
}
